package transport

import (
	"net"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ErrReadLimit means that the other end has sent more than Conn.LimitReads allows.
var ErrReadLimit = protocol.Errors.NewType("read_limit")

// limitedConn is a connection whose reads can be limited to a number of bytes. It is not
// safe for concurrent reads.
type limitedConn struct {
	net.Conn
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (c *limitedConn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(p)
	}
	if c.remaining == 0 {
		return 0, ErrReadLimit.New("the peer has sent more bytes than the reader accepts")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, err
}

// LimitReads makes reads from the connection fail with ErrReadLimit after n more bytes.
// Bytes that Reader has buffered are not counted.
func (c *Conn) LimitReads(n int) {
	c.limits.limited = true
	c.limits.remaining = n
}

// ReadLimitReached reports whether the limit of LimitReads is used up.
func (c *Conn) ReadLimitReached() bool { return c.limits.limited && c.limits.remaining == 0 }

// UnlimitReads ends the limit of LimitReads.
func (c *Conn) UnlimitReads() { c.limits.limited = false }
