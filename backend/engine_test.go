package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/relay"
	"github.com/sycamoretally/sycamoretally/standin/service"
)

const stall = protocol.HeartbeatTimeout

const chatBody = `{"model":"m","max_tokens":6,"messages":[{"role":"user","content":"q"}]}`

func startEngine(t *testing.T, f engine.Faults) (*engine.Engine, string) {
	t.Helper()
	e := engine.New(engine.Params{Width: 4, RestartTime: time.Second})
	e.SetFaults(f)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.URL
}

func generate(t *testing.T, url, body string, resume []string) ([]string, error) {
	t.Helper()
	client := backend.NewEngine(url, stall)
	t.Cleanup(client.Close)
	var tokens []string
	err := client.Generate(t.Context(), backend.Generation{ID: "g", Body: []byte(body), Resume: resume}, func(token string) error {
		tokens = append(tokens, token)
		return nil
	})
	return tokens, err
}

// TestBrokenStreams breaks a stream off in several ways. The call must fail, and
// resuming after the received tokens must yield the complete answer.
func TestBrokenStreams(t *testing.T) {
	cases := []struct {
		name   string
		faults engine.Faults
	}{
		{"cut in the middle", engine.Faults{Cuts: 1, CutAfter: 3}},
		{"cut before the first token", engine.Faults{Cuts: 1}},
		{"cut before the end marker", engine.Faults{OmittedEndMarkers: 1}},
		{"silent in the middle", engine.Faults{Stalls: 1, CutAfter: 3}},
		{"never answers", engine.Faults{Stalls: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, url := startEngine(t, c.faults)
			tokens, err := generate(t, url, chatBody, nil)
			assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown)
			assert.Equal(t, backend.IsStall(err), c.faults.Stalls > 0, "%v", err)
			rest, err := generate(t, url, chatBody, tokens)
			assert.NilError(t, err)
			assert.Equal(t, strings.Join(append(tokens, rest...), ""), engine.Answer("q", 6))
		})
	}
}

// TestLargeTokens reads tokens larger than bufio.Scanner's default limit of 64 KB, and
// resumes after more text than HTTP headers may hold.
func TestLargeTokens(t *testing.T) {
	const size = 400 << 10
	_, url := startEngine(t, engine.Faults{TokenBytes: size})
	tokens, err := generate(t, url, chatBody, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(strings.Join(tokens, "")), 6*size)
	rest, err := generate(t, url, chatBody, tokens[:4])
	assert.NilError(t, err)
	assert.DeepEqual(t, rest, tokens[4:])
}

// TestSilentEngineConnection makes the connection of a call that has ended half-open. No
// later call may use it; until it noticed, the call would wait for the stall timeout.
func TestSilentEngineConnection(t *testing.T) {
	_, url := startEngine(t, engine.Faults{})
	r, err := relay.New(strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	client := backend.NewEngine("http://"+r.Address(), stall)
	t.Cleanup(client.Close)
	generateOnce := func() error {
		return client.Generate(t.Context(), backend.Generation{ID: "g", Body: []byte(chatBody)}, func(string) error { return nil })
	}
	assert.NilError(t, generateOnce())
	r.SilenceOpen()
	assert.NilError(t, generateOnce())
	assert.NilError(t, generateOnce())
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	_ = l.Close()
	err = backend.NewEngine("http://"+addr, stall).Cancel(t.Context(), "g")
	assert.Assert(t, backend.IsConnectionRefused(err), "%v", err)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent))
}

// TestDamagedServiceAnswers checks that a damaged answer of a plain service is an
// error with an unknown outcome, because the call has run.
func TestDamagedServiceAnswers(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		for range 17 {
			_, _ = w.Write(make([]byte, 1<<20))
		}
	}
	cutting := service.New()
	cutting.SetFaults(service.Faults{CutAnswers: 2})
	cases := []struct {
		name    string
		handler http.Handler
	}{
		{"content length mismatch", cutting.Handler()},
		{"body cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})},
		{"too large", http.HandlerFunc(large)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			call := &protocol.Call{Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"slot":"s"}`)}
			_, err := backend.NewPlainService(server.URL).Do(context.Background(), "key", call)
			assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown, "%v", err)
		})
	}
}

// TestEngineThatReadsSlowly checks that an engine that reads a long request body, such
// as that of a resumed answer, for longer than the stall timeout does not count as
// stalled while it makes progress. The body is much larger than the connection's buffers.
func TestEngineThatReadsSlowly(t *testing.T) {
	const stallTimeout, readInterval, pieces = 300 * time.Millisecond, 20 * time.Millisecond, 40
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			n, err := io.CopyN(io.Discard, r.Body, 1<<20)
			if n == 0 || err != nil {
				break
			}
			<-time.After(readInterval)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	client := backend.NewEngine(server.URL, stallTimeout)
	defer client.Close()
	var resume []string
	for range pieces {
		resume = append(resume, strings.Repeat("x", 1<<20))
	}
	begun := time.Now()
	err := client.Generate(t.Context(), backend.Generation{ID: "g", Body: []byte("{}"), Resume: resume}, func(string) error { return nil })
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begun) > 2*stallTimeout, "%v", time.Since(begun))
}
