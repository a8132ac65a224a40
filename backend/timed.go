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

// timedBody gives nothing to send after its time; a zero time is never over.
type timedBody struct {
	content []byte
	data    *bytes.Reader
	by      time.Time
	// late is set once something was held back because the time was over.
	late *atomic.Bool
	// overran, if set, is called where a piece went out although the time was over
	// by then: the process was suspended between the look at the clock and the write.
	overran func()
	// taken, if set, is called for each piece that goes out until answered is set.
	taken    func()
	answered *atomic.Bool
}

func newTimedBody(content []byte, by time.Time) *timedBody {
	return &timedBody{content: content, data: bytes.NewReader(content), by: by, late: new(atomic.Bool), answered: new(atomic.Bool)}
}

// again returns the body once more, for a connection that took nothing of it.
func (b *timedBody) again() (io.ReadCloser, error) {
	copied := *b
	copied.data = bytes.NewReader(b.content)
	return io.NopCloser(&copied), nil
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	if err := b.holdBack(); err != nil {
		return 0, err
	}
	if b.taken != nil && !b.answered.Load() {
		b.taken()
	}
	return b.data.Read(p)
}

// guard returns a context for the request that has this body. Its connection
// writes nothing after the body's time: the process may have been suspended since
// the body was read.
func (b *timedBody) guard(ctx context.Context) context.Context {
	var conn *timedConn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ = info.Conn.(*timedConn)
			conn.hold(b)
		},
		GotFirstResponseByte: func() { conn.hold(nil) },
	})
}

// over reports whether the time to send is over.
func (b *timedBody) over() bool { return !b.by.IsZero() && time.Now().After(b.by) }

// holdBack fails with ErrNotSent once the time to send is over.
func (b *timedBody) holdBack() error {
	if !b.over() {
		return nil
	}
	b.late.Store(true)
	return protocol.ErrNotSent.New("it is too late to send")
}

// timedConn is a connection to a target that knows the body it sends at the moment,
// if that one has a time.
type timedConn struct {
	net.Conn
	sends atomic.Pointer[timedBody]
}

// hold sets the body that the connection sends, nil for none with a time.
func (c *timedConn) hold(b *timedBody) {
	if c != nil {
		c.sends.Store(b)
	}
}

func dialTarget(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &timedConn{Conn: conn}, nil
}

// Write implements io.Writer. It fails with ErrNotSent once the request's time is over.
func (c *timedConn) Write(p []byte) (int, error) {
	sends := c.sends.Load()
	if sends == nil {
		return c.Conn.Write(p)
	}
	if err := sends.holdBack(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if sends.overran != nil && sends.over() {
		sends.overran()
	}
	return n, err
}
