package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Handler serves the engine's interface and what tests use: GET /runs and
// POST /faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /engine/cancel", e.serveCancel)
	mux.HandleFunc("POST /engine/orders", e.serveOrder)
	mux.HandleFunc("GET /engine/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.loadReport()) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Orders()) })
	mux.HandleFunc("POST /faults", e.serveFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() && r.URL.Path != "/runs" {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	chat, err := protocol.ParseChat(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var resume struct {
		Tokens []string `json:"resume_tokens"`
	}
	if err := json.Unmarshal(body, &resume); err != nil {
		http.Error(w, "malformed resume tokens", http.StatusBadRequest)
		return
	}
	e.run(w, r, chat, len(resume.Tokens))
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request, chat *protocol.ChatRequest, from int) {
	prompt := Prompt(chat.Messages)
	faults, _ := e.takeFault(nil)
	caller := r.Context()
	if faults.KeepsRunning {
		caller = context.WithoutCancel(caller)
	}
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	crashed := e.currentCrashSignal()
	go func() {
		select {
		case <-crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	id, active := r.Header.Get(backend.HeaderRequestID), &activeRun{cancel: cancel, released: make(chan struct{})}
	if !e.register(id, active) {
		http.Error(w, "the request was told to stop", http.StatusConflict)
		return
	}
	defer e.unregister(id, active)
	if !e.acquireSlot(ctx) {
		panic(http.ErrAbortHandler)
	}
	run := e.startRun(id, prompt)
	how := "crashed"
	defer func() { e.endRun(run, how) }()
	switch {
	case strings.Contains(prompt, MarkerImpossible):
		how = "refused"
		http.Error(w, "the request can never be done", http.StatusUnprocessableEntity)
		return
	case strings.Contains(prompt, MarkerCrash):
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if e.stream(ctx, w, chat, prompt, from) {
		how = "done"
		return
	}
	if !isClosed(crashed) {
		how = "cancelled"
	}
	panic(http.ErrAbortHandler) // cuts the stream without its end marker
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, chat *protocol.ChatRequest, prompt string, from int) bool {
	if !e.sleep(ctx, time.Duration(e.uncachedTokens(prompt))*e.params.PrefillTime) {
		return false
	}
	limit := chat.MaxTokens
	if limit == 0 {
		limit = DefaultMaxTokens
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	faults, stalls := e.takeFault(func(f *Faults) *int { return &f.Stalls })
	cuts := false
	if !stalls {
		_, cuts = e.takeFault(func(f *Faults) *int { return &f.Cuts })
	}
	for i := from; i < limit; i++ {
		if !e.sleep(ctx, e.params.TokenTime) {
			return false
		}
		if i == from+faults.CutAfter && (stalls || cuts) {
			if stalls {
				<-ctx.Done()
			}
			return false
		}
		chunk := protocol.ChatChunk{Object: "chat.completion.chunk", Choices: []protocol.ChatChoice{{
			Delta: &protocol.ChatMessage{Content: pad(Token(prompt, i), faults.TokenBytes)},
		}}}
		data, _ := json.Marshal(chunk)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil && !faults.KeepsRunning {
			return false
		}
		_ = flush.Flush()
	}
	if _, cut := e.takeFault(func(f *Faults) *int { return &f.OmittedEndMarkers }); cut {
		return true // the connection ends as if all had been sent
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", protocol.ChatDone)
	return err == nil
}

// pad lengthens a token to size bytes.
func pad(token string, size int) string {
	return token + strings.Repeat("x", max(0, size-len(token)))
}

func (e *Engine) uncachedTokens(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.lookup(strings.Fields(prompt))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var want struct {
		ID string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&want); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if f, _ := e.takeFault(nil); f.KeepsRunning && e.isActive(want.ID) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.cancel(r.Context(), want.ID) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o backend.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := e.executeOrder(r.Context(), o); err != nil {
		w.WriteHeader(orderStatus(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Slowdown float64 `json:"slowdown"`
		Crash    bool    `json:"crash"`
		Faults
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.SetFaults(f.Faults)
	if f.Slowdown > 0 {
		e.SetSlowdown(f.Slowdown)
	}
	if f.Crash {
		e.Crash()
	}
	w.WriteHeader(http.StatusNoContent)
}

func orderStatus(err error) int {
	if errorx.IsOfType(err, protocol.ErrVersionConflict) {
		return http.StatusConflict
	}
	return http.StatusInternalServerError
}
