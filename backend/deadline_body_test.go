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

// sendLimit is the time until a request's send deadline in the tests.
const sendLimit = 200 * time.Millisecond

// newCountingServer starts an engine that counts the requests received completely and
// answers none of them.
func newCountingServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			received.Add(1)
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, &received
}

func generateBy(t *testing.T, e *Engine, by time.Time) error {
	t.Helper()
	t.Cleanup(e.Close)
	g := Generation{ID: "g", Body: []byte(`{"model":"m"}`), SendBefore: by}
	return e.Generate(t.Context(), g, func(string) error { return nil })
}

// TestSuspendedBeforeWrite delays the sender while its body is read, after the deadline
// check. The request must not be sent.
func TestSuspendedBeforeWrite(t *testing.T) {
	t.Parallel()
	url, received := newCountingServer(t)
	e := NewEngine(url, time.Minute)
	body := newDeadlineBody([]byte(`{"model":"m"}`), time.Now().Add(sendLimit))
	body.onRead = func() { time.Sleep(2 * sendLimit) }
	_, err := e.startRequest(t.Context(), "g", body)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent), "%v", err)
	time.Sleep(sendLimit)
	assert.Equal(t, received.Load(), int64(0))
}

// slowConn delays the start of each write.
type slowConn struct {
	net.Conn
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(2 * sendLimit)
	return c.Conn.Write(p)
}

// TestSuspendedInWrite delays the sender after its last deadline check. The request
// can't be withdrawn, so its error must not claim that it was never sent.
func TestSuspendedInWrite(t *testing.T) {
	t.Parallel()
	url, received := newCountingServer(t)
	e := NewEngine(url, time.Minute)
	e.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialTarget(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		deadlined := conn.(*deadlineConn)
		deadlined.Conn = slowConn{deadlined.Conn}
		return deadlined, nil
	}
	begun := time.Now()
	err := generateBy(t, e, time.Now().Add(sendLimit))
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrCancelled), "%v", err)
	assert.Assert(t, time.Since(begun) < time.Minute, "the request was cancelled only after a stall")
	assert.Assert(t, received.Load() <= 1)
}

// TestDeadlineEndsWithItsRequest sends a request without a deadline after one whose deadline
// has passed since. It must be sent, on a connection of its own.
func TestDeadlineEndsWithItsRequest(t *testing.T) {
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
	assert.Equal(t, dialed.Load(), int64(2))
}
