package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// TestHeadThatStopsIsNoAnswer lets an engine and a plain service stop after each byte of their
// head and close. Taken for a whole answer, it would reach the caller as an empty success.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n",
	} {
		for cut := 1; cut < len(head); cut++ {
			url := "http://" + rawtarget.Start(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head[:cut])
				}
			})
			e := NewEngine(url, 0)
			err := e.Generate(t.Context(), Generation{ID: "r", Body: []byte("{}")}, func(string) error { return nil })
			e.Close()
			assert.Assert(t, err != nil, "generation, cut after %q", head[:cut])
			result, err := NewPlainService(url).Do(t.Context(), "k", &protocol.Call{Method: http.MethodGet, Path: "/"})
			assert.Assert(t, err != nil, "call, cut after %q: %+v", head[:cut], result)
		}
	}
}
