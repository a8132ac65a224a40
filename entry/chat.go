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

// serveChat answers an OpenAI-compatible chat completion, streamed or whole.
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
	o := newRequest(scopedKey(workspaceOf(r), key), traceOf(r.Request), chatCall(chat.Model, workspaceOf(r), body), service)
	o.callerKey = r.Header.Get(headerKey) != ""
	o.call.MaxTokens = chat.MaxTokens
	o.affinity = routing.AffinityKey(o.call.Workspace, chat.Model, promptOf(chat))
	e.ring.Add(o.trace, "request received", "service", chat.Model)
	if wantsAsync(r.Request) {
		return e.acceptAsync(w, r, key, o)
	}
	if chat.Stream {
		return e.streamChat(w, r, key, o)
	}
	result, retained, err := e.execute(r.Context(), o)
	if err != nil {
		return err
	}
	writeResult(w, result, key, retained)
	return nil
}

// promptOf joins the messages of a chat up to where they can still decide where
// it goes.
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

// chatPath is the path of chat completions, here and at the engines.
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

// chatResult builds the whole completion that is stored and that callers who do
// not stream get.
func chatResult(o *request, tokens []string) *protocol.Result {
	body, _ := json.Marshal(protocol.ChatChunk{
		ID:     o.trace,
		Object: "chat.completion",
		Model:  o.call.Service,
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
// token ends the stream with a problem event and without the end marker. A
// caller that reads slowly holds up neither the attempt nor other callers: its
// tokens wait in the stream's buffer.
func (e *Entry) streamChat(w http.ResponseWriter, r bunrouter.Request, key string, o *request) error {
	s := &chatStream{w: w, key: key, request: o, controller: http.NewResponseController(w)}
	tokens := newTokenBuffer()
	o.onToken = func(token string) error {
		tokens.add(token)
		return nil
	}
	ended := make(chan chatOutcome, 1)
	go func() {
		result, retained, err := e.execute(r.Context(), o)
		ended <- chatOutcome{result, retained, err}
	}()
	for {
		select {
		case <-tokens.ready:
			s.sendAll(tokens.take())
		case end := <-ended:
			s.sendAll(tokens.take())
			return s.finish(end)
		}
	}
}

// tokenBuffer holds the tokens of one answer that its caller has not yet got.
// It is bounded by the length of the answer.
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

// chatStream is the answer to one caller.
type chatStream struct {
	w          http.ResponseWriter
	key        string
	request    *request
	controller *http.ResponseController
	// sent is what the caller has got.
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

// finish ends the stream. A result that was read back, or that another request
// with the key streamed, goes out as one chunk. Where the kept result is another
// one than the text sent, the stream ends with a problem: the caller reads the
// kept one under its key.
func (s *chatStream) finish(end chatOutcome) error {
	if end.err == nil && end.result.Outcome != protocol.OutcomeCompleted {
		if !s.started {
			writeResult(s.w, end.result, s.key, end.retained)
			return nil
		}
		end.err = protocol.ErrOutcomeUnknown.New("the request failed after a part of its answer: %s", end.result.Body)
	}
	if end.err != nil {
		return s.fail(end.err)
	}
	rest, found := strings.CutPrefix(contentOf(end.result), s.sent.String())
	if !found {
		return s.fail(protocol.ErrTruncated.New("another answer is kept under the key"))
	}
	if rest != "" || !s.started {
		s.send(rest)
	}
	last := s.chunk(protocol.ChatChoice{Delta: &protocol.ChatMessage{}, FinishReason: "stop"})
	last.Retained = &end.retained
	s.writeEvent("", last)
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", protocol.ChatDone)
	_ = s.controller.Flush()
	return nil
}

// fail answers with the error, or ends a stream that has begun with it.
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
	var whole protocol.ChatChunk
	if err := json.Unmarshal(result.Body, &whole); err != nil || len(whole.Choices) == 0 || whole.Choices[0].Message == nil {
		return ""
	}
	return whole.Choices[0].Message.Content
}
