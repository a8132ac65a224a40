package client

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// startEndingEntry starts an entry that answers one request and keeps the connection
// open. When the next request arrives on it, the entry closes listener and connection.
// It returns the entry's URL.
func startEndingEntry(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1<<12)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
		_, _ = conn.Read(buffer)
		_ = l.Close()
		_ = conn.Close()
	}()
	return "http://" + l.Addr().String()
}

// TestKeyedRequestIsResentWhenEntryEnds sends requests over a connection whose entry ends
// when it receives them. A request with a key and a read are sent to another entry; a
// request without a key fails, because it may have run.
func TestKeyedRequestIsResentWhenEntryEnds(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer other.Close()
	for _, key := range []string{"k", ""} {
		c := New(settings.Client{Entries: []string{startEndingEntry(t), other.URL}})
		_, err := c.Call(t.Context(), "s", http.MethodPost, "/warm", nil, CallOptions{Key: "warm"})
		assert.NilError(t, err)
		a, err := c.Call(t.Context(), "s", http.MethodPost, "/x", bytes.Repeat([]byte("x"), 8), CallOptions{Key: key})
		if key == "" {
			assert.Assert(t, errorx.IsOfType(err, protocol.ErrAnswerLost), "%v", err)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, a.Status, http.StatusOK)
		}
		c.Close()
	}
	c := New(settings.Client{Entries: []string{startEndingEntry(t), other.URL}})
	defer c.Close()
	_, err := c.Call(t.Context(), "s", http.MethodPost, "/warm", nil, CallOptions{Key: "warm"})
	assert.NilError(t, err)
	_, err = c.Result(t.Context(), "k")
	assert.NilError(t, err)
}
