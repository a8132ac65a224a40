package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// deadlineBody is a request body that provides no data after its deadline.
type deadlineBody struct {
	content    []byte
	data       *bytes.Reader
	sendBefore time.Time
	// withheld is set once data was withheld because the deadline had passed.
	withheld *atomic.Bool
	// onOverrun, if set, is called if data was sent after the deadline because the
	// process was suspended between the deadline check and the write.
	onOverrun func()
	// onRead, if set, is called for each read until answered is set.
	onRead   func()
	answered *atomic.Bool
}

func newDeadlineBody(content []byte, sendBefore time.Time) *deadlineBody {
	return &deadlineBody{content: content, data: bytes.NewReader(content), sendBefore: sendBefore, withheld: new(atomic.Bool), answered: new(atomic.Bool)}
}

// copyFromStart returns a copy that starts at the beginning. It is for
// http.Request.GetBody, if a connection failed before it sent any of the body.
func (b *deadlineBody) copyFromStart() (io.ReadCloser, error) {
	copied := *b
	copied.data = bytes.NewReader(b.content)
	return io.NopCloser(&copied), nil
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if err := b.checkDeadline(); err != nil {
		return 0, err
	}
	if b.onRead != nil && !b.answered.Load() {
		b.onRead()
	}
	return b.data.Read(p)
}

// withWriteDeadline returns a context for the request with this body. Its connection
// writes nothing after the body's deadline. Checking in Read alone is not enough,
// because the process may be suspended between the read and the write.
func (b *deadlineBody) withWriteDeadline(ctx context.Context) context.Context {
	var conn *deadlineConn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ = info.Conn.(*deadlineConn)
			conn.setBody(b)
		},
		GotFirstResponseByte: func() { conn.setBody(nil) },
	})
}

// isPastDeadline reports whether the deadline has passed.
func (b *deadlineBody) isPastDeadline() bool {
	return !b.sendBefore.IsZero() && time.Now().After(b.sendBefore)
}

// checkDeadline fails with ErrNotSent, and sets withheld, once the deadline has passed.
func (b *deadlineBody) checkDeadline() error {
	if !b.isPastDeadline() {
		return nil
	}
	b.withheld.Store(true)
	return protocol.ErrNotSent.New("deadline for sending has passed")
}

// deadlineConn is a connection to a target. Its writes fail after the deadline of the
// request body that it is sending, if that has one.
type deadlineConn struct {
	net.Conn
	body atomic.Pointer[deadlineBody]
}

// setBody sets the body that the connection is sending, nil for none with a deadline.
func (c *deadlineConn) setBody(b *deadlineBody) {
	if c != nil {
		c.body.Store(b)
	}
}

func dialTarget(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn}, nil
}

// Write implements io.Writer. It fails with ErrNotSent once the body's deadline has
// passed.
func (c *deadlineConn) Write(p []byte) (int, error) {
	body := c.body.Load()
	if body == nil {
		return c.Conn.Write(p)
	}
	if err := body.checkDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if body.onOverrun != nil && body.isPastDeadline() {
		body.onOverrun()
	}
	return n, err
}
