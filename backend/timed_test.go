package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// sendLimit is the time that the tests give a request to be sent.
const sendLimit = 200 * time.Millisecond

// newCountingServer serves an engine that counts the requests that arrive whole, and
// answers none.
func newCountingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	var whole atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			whole.Add(1)
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, &whole
}

func generateBy(t *testing.T, e *Engine, by time.Time) error {
	t.Helper()
	t.Cleanup(e.Close)
	g := Generation{ID: "g", Body: []byte(`{"model":"m"}`), SendBefore: by}
	return e.Generate(t.Context(), g, func(string) error { return nil })
}

// TestSuspendedBeforeWrite suspends the sender while its body is read, after the look
// at the clock.
func TestSuspendedBeforeWrite(t *testing.T) {
	t.Parallel()
	url, whole := newCountingServer(t)
	e := NewEngine(url, time.Minute)
	body := newDeadlineBody([]byte(`{"model":"m"}`), time.Now().Add(sendLimit))
	body.onRead = func() { time.Sleep(2 * sendLimit) }
	_, err := e.startRequest(t.Context(), "g", body)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent), "%v", err)
	time.Sleep(sendLimit)
	assert.Equal(t, whole.Load(), int64(0))
}

// slowConn takes a while to begin each write.
type slowConn struct {
	net.Conn
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(2 * sendLimit)
	return c.Conn.Write(p)
}

// TestSuspendedInWrite suspends the sender after its last look at the clock. The
// request can't be called back, so that it must not count as never sent.
func TestSuspendedInWrite(t *testing.T) {
	t.Parallel()
	url, whole := newCountingServer(t)
	e := NewEngine(url, time.Minute)
	e.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialTarget(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		timed := conn.(*deadlineConn)
		timed.Conn = slowConn{timed.Conn}
		return timed, nil
	}
	begun := time.Now()
	err := generateBy(t, e, time.Now().Add(sendLimit))
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrCancelled), "%v", err)
	assert.Assert(t, time.Since(begun) < time.Minute, "the request was given up only after a stall")
	assert.Assert(t, whole.Load() <= 1)
}

// TestConnectionOutlivesTime sends a request without a time over the connection of
// one whose time has passed meanwhile.
func TestConnectionOutlivesTime(t *testing.T) {
	t.Parallel()
	var dialed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "data: "+protocol.ChatDone+"\n\n")
	}))
	t.Cleanup(server.Close)
	e := NewEngine(server.URL, time.Minute)
	dial := e.client.Transport.(*http.Transport).DialContext
	e.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialed.Add(1)
		return dial(ctx, network, addr)
	}
	assert.NilError(t, generateBy(t, e, time.Now().Add(sendLimit)))
	time.Sleep(2 * sendLimit)
	assert.NilError(t, generateBy(t, e, time.Time{}))
	assert.Equal(t, dialed.Load(), int64(1))
}
