package backend

import (
	"bytes"
	"context"
	"errors"
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

// writeEndTimeout is how long the end of what a target sends waits for a write to return.
const writeEndTimeout = 100 * time.Millisecond

// deadlineConn is a connection to a target. Its writes fail after the deadline of the
// request body that it is sending, if that has one.
//
// A reset is reported once, by a read or by a write. If a write has got it, reads find an end that
// looks like that of a whole answer. So there is no end while the request is not written.
type deadlineConn struct {
	net.Conn
	body atomic.Pointer[deadlineBody]
	// writing holds a token while a write is in progress. failed is set once one has failed.
	writing chan struct{}
	failed  atomic.Bool
}

// Read implements io.Reader. It fails with io.ErrUnexpectedEOF if the target has ended the
// connection and a write has failed or is still in progress.
func (c *deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.isWritten() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// isWritten reports whether every write has succeeded.
func (c *deadlineConn) isWritten() bool {
	select {
	case c.writing <- struct{}{}:
		<-c.writing
		return !c.failed.Load()
	case <-time.After(writeEndTimeout):
		return false
	}
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
	return &deadlineConn{Conn: conn, writing: make(chan struct{}, 1)}, nil
}

// Write implements io.Writer. It fails with ErrNotSent once the body's deadline has
// passed.
func (c *deadlineConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.writeInTime(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// writeInTime writes within the deadline of the body.
func (c *deadlineConn) writeInTime(p []byte) (int, error) {
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
