package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// copyDelay is the time after which the target sends its first answer once more, and workTime
// the longer time that it takes for each later answer.
const (
	copyDelay = 50 * time.Millisecond
	workTime  = 100 * time.Millisecond
)

// startRepeatingTarget starts a target that answers each request with its number, as answerOf
// puts it, and sends the first answer once more, late, on the same connection.
func startRepeatingTarget(t *testing.T, answerOf func(n int) string) string {
	t.Helper()
	var mu sync.Mutex
	requests := 0
	return "http://" + rawtarget.Start(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			requests++
			n := requests
			mu.Unlock()
			if n > 1 {
				time.Sleep(workTime)
			}
			_, _ = io.WriteString(conn, answerOf(n))
			if n == 1 {
				time.AfterFunc(copyDelay, func() { _, _ = io.WriteString(conn, answerOf(1)) })
			}
		}
	})
}

// TestLateCopyReachesNoOtherCall lets a plain service send its answer to one call once more,
// late, when the next call waits. Answers of plain services name no call, so that the next
// caller would get an answer that isn't its own.
func TestLateCopyReachesNoOtherCall(t *testing.T) {
	s := NewPlainService(startRepeatingTarget(t, func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer %d", n)
	}))
	for n := 1; n <= 3; n++ {
		result, err := s.Do(t.Context(), fmt.Sprint("key-", n), &protocol.Call{Method: http.MethodGet, Path: "/status"})
		assert.NilError(t, err)
		assert.Equal(t, string(result.Body), fmt.Sprint("answer ", n))
	}
}

// TestLateCopyReachesNoOtherGeneration does the same with the stream of an engine.
func TestLateCopyReachesNoOtherGeneration(t *testing.T) {
	e := NewEngine(startRepeatingTarget(t, func(n int) string {
		body := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"answer %d\"}}]}\n\ndata: [DONE]\n\n", n)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}), 0)
	defer e.Close()
	for n := 1; n <= 3; n++ {
		var got string
		err := e.Generate(t.Context(), Generation{ID: fmt.Sprint("r", n), Body: []byte("{}")}, func(token string) error {
			got += token
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint("answer ", n))
	}
}
