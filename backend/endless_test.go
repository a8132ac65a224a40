package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// maxAllocated bounds what one endless answer may allocate, in bytes. A sidecar has 128 MB and
// as many calls in flight as its targets have slots.
const maxAllocated = 8 << 20

// startEndlessTarget starts a target that answers each request with the beginning and then
// repeats the filler until the connection is closed.
func startEndlessTarget(t *testing.T, beginning, filler string) string {
	t.Helper()
	repeated := []byte(filler) // io.WriteString would allocate a copy each time
	return "http://" + rawtarget.Start(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, beginning)
		for err == nil {
			_, err = conn.Write(repeated)
		}
	})
}

func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestEndlessAnswersCostLittleMemory lets an engine and a plain service send a head, an event
// or a report that never ends. A sidecar that keeps what it is sent until its caller leaves
// runs out of memory, and all its calls end with it.
func TestEndlessAnswersCostLittleMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 8<<10)
	for name, beginning := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"header line": head + "X-Long: ",
		"event":       head + "Content-Type: text/event-stream\r\n\r\ndata: ",
		"failure":     "HTTP/1.1 500 Oops\r\n\r\n",
	} {
		url := startEndlessTarget(t, beginning, filler)
		e := NewEngine(url, 0)
		for what, call := range map[string]func() error{
			"generation": func() error {
				return e.Generate(t.Context(), Generation{ID: "r", Body: []byte("{}")}, func(string) error { return nil })
			},
			"order":  func() error { return e.SendOrder(t.Context(), LoadOrder{Model: "m"}) },
			"report": func() error { _, err := e.Load(t.Context()); return err },
			"call": func() error {
				if name == "event" || name == "failure" {
					return protocol.ErrTargetFailed.New("not tried: the body of a plain service may have 16 MB")
				}
				_, err := NewPlainService(url).Do(t.Context(), "k", &protocol.Call{Method: http.MethodGet, Path: "/"})
				return err
			},
		} {
			before, begun := allocated(), time.Now()
			err := call()
			confirmed := what == "order" && name == "event" // a status of 200 confirms it
			assert.Equal(t, err == nil, confirmed, "%s, %s: %v", name, what, err)
			assert.Assert(t, allocated()-before < maxAllocated, "%s, %s: %d bytes", name, what, allocated()-before)
			assert.Assert(t, time.Since(begun) < 5*time.Second, "%s, %s: %v", name, what, time.Since(begun))
		}
		e.Close()
	}
}
