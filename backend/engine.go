package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Names in the engine's HTTP interface.
const (
	// HeaderRequestID is the header with the request's ID, by which it is cancelled or
	// resumed.
	HeaderRequestID = "X-Request-Id"
	// MemberResume is the member of the request's body with the array of tokens after
	// which generation resumes. It is no header because long answers exceed the size
	// limit of headers.
	MemberResume = "resume_tokens"
)

// LoadOrder instructs an engine to load a model.
type LoadOrder struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Fence is the fencing token. An engine that checks it rejects a token lower than
	// the highest it has seen.
	Fence uint64 `json:"fence"`
}

// EngineLoad is an engine's report of its load. The report lags behind.
type EngineLoad struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Boot changes with each start of the engine. It does not lag.
	Boot string `json:"boot"`
	// CacheHitTokens and CacheMissTokens count the prompt tokens that were found in the
	// prefix cache and those that were not.
	CacheHitTokens  uint64 `json:"cache_hit_tokens"`
	CacheMissTokens uint64 `json:"cache_miss_tokens"`
}

// Engine is the client of one model engine.
type Engine struct {
	base         string
	stallTimeout time.Duration
	client       *http.Client
	// reports keeps connections open, for load reports alone.
	reports *http.Client
}

// NewEngine returns a client of the engine at the URL base. A request on which the
// engine makes no progress for stallTimeout is cancelled; zero means
// protocol.HeartbeatTimeout.
func NewEngine(base string, stallTimeout time.Duration) *Engine {
	if stallTimeout <= 0 {
		stallTimeout = protocol.HeartbeatTimeout
	}
	return &Engine{base: base, stallTimeout: stallTimeout, client: newTargetClient(), reports: newReportClient()}
}

// newTargetClient returns a client that uses each connection for one request. Answers of
// targets do not name their request, and a target may send an answer once more, late: on a
// connection in use again it would be taken for the answer to the next request. net/http
// also repeats some requests when a reused connection fails.
func newTargetClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialTarget, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// newReportClient returns a client for load reports, which come often. A late copy of one is
// only an older report.
func newReportClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialTarget, IdleConnTimeout: idleTargetTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

const (
	// targetDialTimeout bounds the opening of a connection to a target.
	targetDialTimeout = time.Second
	// idleTargetTimeout is how long an unused connection to a target is kept.
	idleTargetTimeout = 30 * time.Second
	// maxHeadBytes is the size limit of the head of a target's answer.
	maxHeadBytes = 64 << 10
)

// Close closes idle connections.
func (e *Engine) Close() { e.reports.CloseIdleConnections() }

// Generation is a request to an engine.
type Generation struct {
	ID     string
	Body   []byte
	Resume []string
	// SendBefore is the deadline for sending the request; zero means none.
	SendBefore time.Time
}

// Generate runs a chat completion and passes each token to sink in order. It
// returns nil only if the engine ended the stream itself. It fails with ErrNotSent
// if the engine was not reached in time, with ErrCancelled if the request was sent
// after its deadline because the process was suspended, with ErrBadRequest if the
// engine rejected the request permanently, with ErrBusy if it rejected it
// temporarily, and with ErrTargetFailed or ErrTruncated otherwise.
func (e *Engine) Generate(ctx context.Context, g Generation, sink func(token string) error) error {
	body, err := withResume(g.Body, g.Resume)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.stallTimeout, func() {
		cancel(errEngineStalled.New("engine %s neither read nor sent any bytes for %v", e.base, e.stallTimeout))
	})
	defer watchdog.Stop()
	content := newDeadlineBody(body, g.SendBefore)
	content.onRead = func() { watchdog.Reset(e.stallTimeout) }
	content.onOverrun = func() { cancel(protocol.ErrCancelled.New("request was sent after its deadline")) }
	resp, err := e.startRequest(ctx, g.ID, content)
	if err != nil {
		return e.requestError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp)
	}
	stream := &notifyingReader{body: resp.Body, onRead: func() { watchdog.Reset(e.stallTimeout) }}
	return e.requestError(ctx, readTokens(stream, func(token string) error {
		watchdog.Stop() // the time spent in sink does not count as a stall of the engine
		return sink(token)
	}))
}

// errEngineStalled is the cancellation cause of a request on which the engine made
// no progress within the stall timeout.
var errEngineStalled = protocol.Errors.NewType("engine_stalled")

// IsStall reports whether Generate failed because the engine stalled.
func IsStall(err error) bool {
	typed := errorx.Cast(err)
	return typed != nil && errorx.IsOfType(typed.Cause(), errEngineStalled)
}

// requestError returns the reason why this process cancelled the request, and err if
// it did not. After a stall it closes the idle connections, since the cause may affect
// all of them.
func (e *Engine) requestError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && errorx.IsOfType(cause, protocol.ErrCancelled) {
		return cause
	}
	if err == nil || !errorx.IsOfType(cause, errEngineStalled) {
		return err
	}
	e.reports.CloseIdleConnections()
	return protocol.ErrTruncated.Wrap(cause, "generate")
}

// notifyingReader calls onRead before each read of body.
type notifyingReader struct {
	body   io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *notifyingReader) Read(p []byte) (int, error) {
	r.onRead()
	return r.body.Read(p)
}

func (e *Engine) startRequest(ctx context.Context, id string, body *deadlineBody) (*http.Response, error) {
	defer body.answered.Store(true)
	req, err := http.NewRequestWithContext(body.withWriteDeadline(ctx), http.MethodPost, e.base+"/v1/chat/completions", body)
	if err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "generate")
	}
	req.ContentLength = int64(len(body.content))
	req.GetBody = body.copyFromStart
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, id)
	resp, err := e.client.Do(req)
	if body.withheld.Load() {
		drainResponse(resp)
		return nil, protocol.ErrNotSent.New("request was not sent before its deadline")
	}
	if err != nil {
		return nil, classifyTargetError(err, "generate")
	}
	return resp, nil
}

// withResume adds the tokens after which to resume to the body. It fails with
// ErrBadRequest if the body is not a JSON object.
func withResume(body []byte, resume []string) ([]byte, error) {
	if len(resume) == 0 {
		return body, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "generate")
	}
	tokens, err := json.Marshal(resume)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "encode resume")
	}
	members[MemberResume] = tokens
	extended, err := json.Marshal(members)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "encode resume")
	}
	return extended, nil
}

func classifyTargetError(err error, what string) error {
	if IsDialError(err) {
		return protocol.ErrNotSent.Wrap(err, "%s", what)
	}
	return protocol.ErrTargetFailed.Wrap(err, "%s", what)
}

func refusalError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	detail := strings.TrimSpace(string(text))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return protocol.ErrBusy.New("engine status %d: %s", resp.StatusCode, detail)
	case resp.StatusCode < http.StatusInternalServerError:
		return protocol.ErrBadRequest.New("engine status %d: %s", resp.StatusCode, detail)
	default:
		return protocol.ErrTargetFailed.New("engine status %d: %s", resp.StatusCode, detail)
	}
}

// maxLoadBytes is the size limit of an engine's load report.
const maxLoadBytes = 64 << 10

// maxEventBytes is the maximum size of an event of an engine's stream, which holds a few
// tokens.
const maxEventBytes = 1 << 20

func readTokens(body io.Reader, sink func(string) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		data = strings.TrimPrefix(data, " ")
		if data == protocol.ChatDone {
			return nil
		}
		var chunk protocol.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return protocol.ErrTargetFailed.Wrap(err, "malformed chunk")
		}
		for _, c := range chunk.Choices {
			if c.Delta == nil || c.Delta.Content == "" {
				continue
			}
			if err := sink(c.Delta.Content); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return protocol.ErrTargetFailed.Wrap(err, "read stream")
	}
	return protocol.ErrTruncated.New("stream ended without the end marker")
}

// Cancel cancels the request with the given ID, and returns once the engine has freed
// its slot. An unknown ID is not an error: the request may be in transit on another
// connection, and the engine rejects it when it arrives.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.post(ctx, "/engine/cancel", map[string]string{"id": id})
}

// SendOrder sends a load order to the engine. It fails with ErrVersionConflict if the
// engine rejected the fencing token.
func (e *Engine) SendOrder(ctx context.Context, o LoadOrder) error {
	return e.post(ctx, "/engine/orders", o)
}

// SendOrderBefore sends a load order unless the deadline has passed; it then fails
// with ErrNotSent. The deadline is checked when the body is written, and the engine
// does not execute an order without its body.
func (e *Engine) SendOrderBefore(ctx context.Context, deadline time.Time, o LoadOrder) error {
	data, err := json.Marshal(o)
	if err != nil {
		return protocol.ErrInternal.Wrap(err, "encode")
	}
	body := newDeadlineBody(data, deadline)
	err = e.postBody(body.withWriteDeadline(ctx), "/engine/orders", body, int64(len(data)))
	if body.withheld.Load() {
		return protocol.ErrNotSent.New("load order was not sent before its deadline")
	}
	return err
}

func drainResponse(resp *http.Response) {
	if resp != nil {
		drainBody(resp.Body)
	}
}

func (e *Engine) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return protocol.ErrInternal.Wrap(err, "encode")
	}
	return e.postBody(ctx, path, bytes.NewReader(data), int64(len(data)))
}

func (e *Engine) postBody(ctx context.Context, path string, body io.Reader, size int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, body)
	if err != nil {
		return protocol.ErrBadRequest.Wrap(err, "%s", path)
	}
	req.ContentLength = size
	resp, err := e.client.Do(req)
	if err != nil {
		return classifyTargetError(err, path)
	}
	defer drainBody(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return protocol.ErrVersionConflict.New("%s: engine rejected the fencing token", path)
	default:
		return protocol.ErrTargetFailed.New("%s: status %d", path, resp.StatusCode)
	}
}

// Load reads the engine's load report. It fails with ErrNotSent or ErrTargetFailed.
func (e *Engine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/engine/load", nil)
	if err != nil {
		return load, protocol.ErrBadRequest.Wrap(err, "load")
	}
	resp, err := e.reports.Do(req)
	if err != nil {
		return load, classifyTargetError(err, "load")
	}
	defer drainBody(resp.Body)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return load, protocol.ErrTargetFailed.Wrap(err, "load")
	}
	return load, nil
}
