package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// serveChat serves an OpenAI-compatible chat completion, streamed or as one
// response.
func (e *Entry) serveChat(w http.ResponseWriter, r bunrouter.Request) error {
	body, err := readBody(w, r, e.settings.Entry.MaxBodyBytes)
	if err != nil {
		return err
	}
	chat, err := protocol.ParseChat(body)
	if err != nil {
		return err
	}
	service, err := e.findService(r.Context(), chat.Model, protocol.ServiceModel)
	if err != nil {
		return err
	}
	key := r.Header.Get(headerKey)
	if key == "" {
		key = protocol.NewID()
	}
	req := newRequest(scopedKey(workspaceOf(r), key), traceOf(r.Request), chatCall(chat.Model, workspaceOf(r), body), service)
	req.callerKey = r.Header.Get(headerKey) != ""
	req.call.MaxTokens = chat.MaxTokens
	req.affinity = routing.AffinityKey(req.call.Workspace, chat.Model, promptOf(chat))
	e.ring.Add(req.trace, "request received", "service", chat.Model)
	if wantsAsync(r.Request) {
		return e.acceptAsync(w, r, key, req)
	}
	if chat.Stream {
		return e.streamChat(w, r, key, req)
	}
	result, retained, err := e.execute(r.Context(), req)
	if err != nil {
		return err
	}
	writeResult(w, result, key, retained)
	return nil
}

// promptOf joins the messages of a chat up to the length that affinity routing
// takes into account.
func promptOf(chat *protocol.ChatRequest) string {
	var b strings.Builder
	for _, m := range chat.Messages {
		b.WriteString(m.Content)
		if b.Len() >= routing.PrefixBytes {
			break
		}
	}
	return b.String()
}

// chatPath is the path of chat completions, both of this entry and of the
// engines.
const chatPath = "/v1/chat/completions"

func chatCall(service, workspace string, body []byte) protocol.Call {
	return protocol.Call{
		Service:     service,
		Workspace:   workspace,
		Method:      http.MethodPost,
		Path:        chatPath,
		ContentType: "application/json",
		Body:        body,
		Model:       true,
	}
}

// chatResult builds the complete response that is stored, and that is sent to
// callers that do not stream.
func chatResult(req *request, tokens []string) *protocol.Result {
	body, _ := json.Marshal(protocol.ChatChunk{
		ID:     req.trace,
		Object: "chat.completion",
		Model:  req.call.Service,
		Choices: []protocol.ChatChoice{{
			Message:      &protocol.ChatMessage{Role: "assistant", Content: strings.Join(tokens, "")},
			FinishReason: "stop",
		}},
	})
	return &protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        body,
	}
}

// streamChat sends the tokens as server-sent events. An error after the first
// token ends the stream with a problem event and without the end marker. Tokens
// are buffered, so that a caller that reads slowly delays neither the attempt
// nor other callers.
func (e *Entry) streamChat(w http.ResponseWriter, r bunrouter.Request, key string, req *request) error {
	s := &chatStream{w: w, key: key, request: req, controller: http.NewResponseController(w)}
	tokens := newTokenBuffer()
	req.onToken = func(token string) error {
		tokens.add(token)
		return nil
	}
	done := make(chan chatOutcome, 1)
	go func() {
		result, retained, err := e.execute(r.Context(), req)
		done <- chatOutcome{result, retained, err}
	}()
	for {
		select {
		case <-tokens.ready:
			s.sendAll(tokens.take())
		case outcome := <-done:
			s.sendAll(tokens.take())
			return s.finish(outcome)
		}
	}
}

// tokenBuffer holds the tokens of one response that have not been sent to the
// caller yet. Its size is bounded by the length of the response.
type tokenBuffer struct {
	ready chan struct{}

	mu     sync.Mutex
	tokens []string
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{ready: make(chan struct{}, 1)} }

func (b *tokenBuffer) add(token string) {
	b.mu.Lock()
	b.tokens = append(b.tokens, token)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *tokenBuffer) take() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.tokens
	b.tokens = nil
	return tokens
}

type chatOutcome struct {
	result   *protocol.Result
	retained bool
	err      error
}

// chatStream is the streamed response to one caller.
type chatStream struct {
	w          http.ResponseWriter
	key        string
	request    *request
	controller *http.ResponseController
	// sent is the text that has been sent to the caller.
	sent    strings.Builder
	started bool
}

// callerWriteTimeout bounds one write to a caller that does not read.
const callerWriteTimeout = 30 * time.Second

func (s *chatStream) writeHeader() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set(headerKey, s.key)
	s.w.WriteHeader(http.StatusOK)
}

func (s *chatStream) sendAll(tokens []string) {
	for _, token := range tokens {
		s.send(token)
	}
}

func (s *chatStream) send(token string) {
	if !s.started {
		s.started = true
		s.writeHeader()
	}
	s.sent.WriteString(token)
	s.writeEvent("", s.chunk(protocol.ChatChoice{Delta: &protocol.ChatMessage{Content: token}}))
}

func (s *chatStream) chunk(choice protocol.ChatChoice) *protocol.ChatChunk {
	return &protocol.ChatChunk{
		ID:      s.request.trace,
		Object:  "chat.completion.chunk",
		Model:   s.request.call.Service,
		Choices: []protocol.ChatChoice{choice},
	}
}

func (s *chatStream) writeEvent(name string, v any) {
	_ = s.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if name != "" {
		_, _ = fmt.Fprintf(s.w, "event: %s\n", name)
	}
	data, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", data)
	_ = s.controller.Flush()
}

// finish ends the stream. A result that was read from the log, or that was
// streamed to another request with the same key, is sent as one chunk. If the
// stored result differs from the text already sent, the stream ends with a
// problem: the caller can read the stored result under its key.
func (s *chatStream) finish(outcome chatOutcome) error {
	if outcome.err == nil && outcome.result.Outcome != protocol.OutcomeCompleted {
		if !s.started {
			writeResult(s.w, outcome.result, s.key, outcome.retained)
			return nil
		}
		outcome.err = protocol.ErrOutcomeUnknown.New("the request failed after part of its response was sent: %s", outcome.result.Body)
	}
	if outcome.err != nil {
		return s.fail(outcome.err)
	}
	rest, found := strings.CutPrefix(contentOf(outcome.result), s.sent.String())
	if !found {
		return s.fail(protocol.ErrTruncated.New("the text already sent differs from the result stored under the key"))
	}
	if rest != "" || !s.started {
		s.send(rest)
	}
	last := s.chunk(protocol.ChatChoice{Delta: &protocol.ChatMessage{}, FinishReason: "stop"})
	last.Retained = &outcome.retained
	s.writeEvent("", last)
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", protocol.ChatDone)
	_ = s.controller.Flush()
	return nil
}

// fail returns the error if nothing has been sent yet; otherwise it ends the
// stream with a problem event.
func (s *chatStream) fail(err error) error {
	if !s.started {
		return err
	}
	p := protocol.ProblemOf(err)
	p.Key = s.key
	s.writeEvent("error", p)
	return nil
}

func contentOf(result *protocol.Result) string {
	var completion protocol.ChatChunk
	if err := json.Unmarshal(result.Body, &completion); err != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return ""
	}
	return completion.Choices[0].Message.Content
}
