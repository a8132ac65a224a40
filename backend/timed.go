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

// deadlineBody gives nothing to send after its time; a zero time is never over.
type deadlineBody struct {
	content    []byte
	data       *bytes.Reader
	sendBefore time.Time
	// withheld is set once something was held back because the time was over.
	withheld *atomic.Bool
	// onOverrun, if set, is called where a piece went out although the time was over
	// by then: the process was suspended between the look at the clock and the write.
	onOverrun func()
	// onRead, if set, is called for each piece that goes out until answered is set.
	onRead   func()
	answered *atomic.Bool
}

func newDeadlineBody(content []byte, by time.Time) *deadlineBody {
	return &deadlineBody{content: content, data: bytes.NewReader(content), sendBefore: by, withheld: new(atomic.Bool), answered: new(atomic.Bool)}
}

// copyFromStart returns the body once more, for a connection that took nothing of it.
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

// withWriteDeadline returns a context for the request that has this body. Its connection
// writes nothing after the body's time: the process may have been suspended since
// the body was read.
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

// isPastDeadline reports whether the time to send is over.
func (b *deadlineBody) isPastDeadline() bool {
	return !b.sendBefore.IsZero() && time.Now().After(b.sendBefore)
}

// checkDeadline fails with ErrNotSent once the time to send is over.
func (b *deadlineBody) checkDeadline() error {
	if !b.isPastDeadline() {
		return nil
	}
	b.withheld.Store(true)
	return protocol.ErrNotSent.New("it is too late to send")
}

// deadlineConn is a connection to a target that knows the body it sends at the moment,
// if that one has a time.
type deadlineConn struct {
	net.Conn
	body atomic.Pointer[deadlineBody]
}

// setBody sets the body that the connection sends, nil for none with a time.
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

// Write implements io.Writer. It fails with ErrNotSent once the request's time is over.
func (c *deadlineConn) Write(p []byte) (int, error) {
	sends := c.body.Load()
	if sends == nil {
		return c.Conn.Write(p)
	}
	if err := sends.checkDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if sends.onOverrun != nil && sends.isPastDeadline() {
		sends.onOverrun()
	}
	return n, err
}
