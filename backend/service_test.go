package backend

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

func booking() *protocol.Call {
	return &protocol.Call{Method: http.MethodPost, Path: "/bookings", Body: []byte("x")}
}

// TestRedirectIsNotFollowed checks that a redirect is returned as the answer. Following
// it would send the call again.
func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "http://127.0.0.1:1/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	result, err := NewPlainService(server.URL).Do(t.Context(), "k", booking())
	assert.NilError(t, err)
	assert.Equal(t, result.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, calls.Load(), int32(1))
}

// TestBrokenConnectionIsNotRepeated answers one call and closes the connection during
// the second one, a case in which net/http retries some requests.
func TestBrokenConnectionIsNotRepeated(t *testing.T) {
	var calls atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go breakSecondCall(l, &calls)
	s := NewPlainService("http://" + l.Addr().String())
	_, err = s.Do(t.Context(), "k1", booking())
	assert.NilError(t, err)
	_, err = s.Do(t.Context(), "k2", booking())
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTargetFailed), "%v", err)
	assert.Equal(t, calls.Load(), int32(2))
}

// breakSecondCall answers one call, and closes the listener and the connection during
// the next one.
func breakSecondCall(l net.Listener, calls *atomic.Int32) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				break
			}
			_, _ = in.Discard(1)
			if calls.Add(1) == 2 {
				_ = l.Close()
				break
			}
			_, _ = conn.Write([]byte("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"))
		}
		_ = conn.Close()
	}
}
