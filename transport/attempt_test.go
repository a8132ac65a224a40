package transport

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// frames returns the frames that a FrameWriter sends for the attempt "a".
func frames(t *testing.T, write func(f *FrameWriter)) []protocol.Frame {
	t.Helper()
	rec := httptest.NewRecorder()
	w := NewFrameWriter(rec, "a", func() uint64 { return 7 })
	write(w)
	w.Close()
	var all []protocol.Frame
	dec := msgpack.NewDecoder(rec.Body)
	for {
		var f protocol.Frame
		if err := dec.Decode(&f); err != nil {
			return all
		}
		all = append(all, f)
	}
}

func stream(t *testing.T, tokens ...string) []protocol.Frame {
	return frames(t, func(f *FrameWriter) {
		_ = f.Head(http.StatusOK, "", nil)
		for _, token := range tokens {
			_ = f.Token(token)
		}
		_ = f.End(nil)
	})
}

// fakeSidecar answers every attempt with the frames.
func fakeSidecar(t *testing.T, all []protocol.Frame) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		enc := msgpack.NewEncoder(w)
		for i := range all {
			_ = enc.Encode(&all[i])
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func run(t *testing.T, addr string, model bool) (string, error) {
	t.Helper()
	client := NewAttemptClient("secret", func(uint64) {})
	t.Cleanup(client.Close)
	var text strings.Builder
	a := &protocol.AttemptRequest{Attempt: "a", Call: protocol.Call{Model: model}}
	_, err := client.Execute(t.Context(), addr, a, func(f *protocol.Frame) error {
		text.WriteString(f.Token)
		text.Write(f.Body)
		return nil
	})
	return text.String(), err
}

// TestDamagedAnswers checks that the client rejects incomplete, reordered and
// altered answers, and frames of other attempts.
func TestDamagedAnswers(t *testing.T) {
	whole := stream(t, "x", "y", "z")
	other := frames(t, func(f *FrameWriter) { f.attempt = "b"; _ = f.Token("x") })
	body := frames(t, func(f *FrameWriter) { _ = f.Head(http.StatusOK, "text/plain", []byte("answer")); _ = f.End(nil) })
	changed := append([]protocol.Frame(nil), body...)
	changed[0].Body = []byte("answes")
	token := append([]protocol.Frame(nil), whole...)
	token[2].Token = "q"
	cases := []struct {
		name   string
		frames []protocol.Frame
		model  bool
		whole  bool
	}{
		{"whole stream", whole, true, true},
		{"whole body", body, false, true},
		{"no end", whole[:4], true, false},
		{"nothing", nil, true, false},
		{"token missing", append(whole[:2:2], whole[3:]...), true, false},
		{"token twice", append(whole[:3:3], whole[2:]...), true, false},
		{"tokens crossed", []protocol.Frame{whole[0], whole[2], whole[1], whole[3], whole[4]}, true, false},
		{"token changed", token, true, false},
		{"head twice", append(whole[:1:1], whole...), true, false},
		{"other attempt's token", append(whole[:1:1], append(other, whole[1:]...)...), true, false},
		{"early end", []protocol.Frame{whole[0], whole[1], whole[4]}, true, false},
		{"body changed", changed, false, false},
		{"body without head", body[1:], false, false},
		{"error frame without problem", []protocol.Frame{{Kind: protocol.FrameError, Attempt: "a"}}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := run(t, fakeSidecar(t, c.frames), c.model)
			if c.whole {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errorx.IsOfType(err, protocol.ErrTruncated), "%v", err)
			assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown)
		})
	}
}

func TestTruncatedFrames(t *testing.T) {
	var wire bytes.Buffer
	enc := msgpack.NewEncoder(&wire)
	for _, f := range stream(t, "x", "y") {
		assert.NilError(t, enc.Encode(&f))
	}
	all := wire.Bytes()
	for cut := range all {
		reader := newFrameReader(&protocol.AttemptRequest{Attempt: "a", Call: protocol.Call{Model: true}},
			bytes.NewReader(all[:cut]), func(uint64) {}, func(*protocol.Frame) error { return nil })
		var end *protocol.Frame
		var err error
		for end == nil && err == nil {
			end, err = reader.next()
		}
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrTruncated), "cut at %d: %v", cut, err)
	}
}

func TestConnectionIsReused(t *testing.T) {
	conns := 0
	all := stream(t, "x")
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		enc := msgpack.NewEncoder(w)
		for i := range all {
			_ = enc.Encode(&all[i])
		}
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns++
		}
	}
	server.Start()
	client := NewAttemptClient("secret", func(uint64) {})
	for range 5 {
		a := &protocol.AttemptRequest{Attempt: "a", Call: protocol.Call{Model: true}}
		_, err := client.Execute(t.Context(), server.Listener.Addr().String(), a, func(*protocol.Frame) error { return nil })
		assert.NilError(t, err)
	}
	client.Close()
	server.Close()
	assert.Equal(t, conns, 1)
}
