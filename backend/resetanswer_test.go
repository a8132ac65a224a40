package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// TestServiceAnswerCutByResetIsNotWhole guards against a part of an answer that is taken for all of it:
// the service answers without a length before it has read a long call, sends a part of its body
// and resets the connection, while the call is still being written or after that.
func TestServiceAnswerCutByResetIsNotWhole(t *testing.T) {
	for _, size := range []int{0, 100, 64 << 10, 1 << 20, 4 << 20} {
		for _, delay := range []time.Duration{0, 200 * time.Microsecond, 3 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " bytes, ", delay), func(t *testing.T) {
				addr := rawtarget.Start(t, func(conn net.Conn) {
					_, _ = io.ReadFull(conn, make([]byte, 20))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the body")
					time.Sleep(delay)
					_ = conn.(*net.TCPConn).SetLinger(0) // Close resets the connection
				})
				for range 10 {
					result, err := NewPlainService("http://"+addr).Do(t.Context(), "k", &protocol.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, size)})
					assert.Assert(t, err != nil, "whole answer with the body %q", result.Body)
				}
			})
		}
	}
}
