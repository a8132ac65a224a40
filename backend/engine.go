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

// Names of the engine interface's header and member.
const (
	// HeaderRequestID names a request to cancel or resume.
	HeaderRequestID = "X-Request-Id"
	// MemberResume is the member of the request's body that holds the array of
	// tokens after which generation goes on. A long answer fits no header.
	MemberResume = "resume_tokens"
)

// LoadOrder tells an engine to load a model.
type LoadOrder struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Fence is the fencing number; an engine that checks refuses a lower one
	// than it has seen.
	Fence uint64 `json:"fence"`
}

// EngineLoad is an engine's report of its load, which lags.
type EngineLoad struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Boot changes with each start of the engine; it does not lag.
	Boot string `json:"boot"`
	// CacheHitTokens and CacheMissTokens count prompt tokens found in the prefix cache or not.
	CacheHitTokens  uint64 `json:"cache_hit_tokens"`
	CacheMissTokens uint64 `json:"cache_miss_tokens"`
}

// Engine is the client of one model engine.
type Engine struct {
	base         string
	stallTimeout time.Duration
	client       *http.Client
}

// NewEngine returns a client of the engine at the URL base. An answer of which
// nothing comes for the time stall is given up; zero stands for
// protocol.HeartbeatTimeout.
func NewEngine(base string, stall time.Duration) *Engine {
	if stall <= 0 {
		stall = protocol.HeartbeatTimeout
	}
	return &Engine{base: base, stallTimeout: stall, client: newTargetClient()}
}

func newTargetClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialTarget,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTargetTimeout,
		DisableCompression:  true,
	}}
}

const (
	// targetDialTimeout bounds the making of a connection to a target.
	targetDialTimeout = time.Second
	// idleTargetTimeout is how long an unused connection to a target is kept.
	idleTargetTimeout = 30 * time.Second
)

// Close closes idle connections.
func (e *Engine) Close() { e.client.CloseIdleConnections() }

const maxIdlePerTarget = 64

// Generation is a request to an engine.
type Generation struct {
	ID     string
	Body   []byte
	Resume []string
	// SendBefore is the time by when the request must be sent; zero for any time.
	SendBefore time.Time
}

// Generate runs a chat completion and passes each token to sink in order. It
// returns nil only where the engine ended the stream itself. It fails with
// ErrNotSent where the engine was not reached in time, ErrCancelled where the request
// went out too late because the process was suspended meanwhile, ErrBadRequest where
// the engine refused the request for good, ErrBusy where it did for now,
// ErrTargetFailed or ErrTruncated otherwise.
func (e *Engine) Generate(ctx context.Context, g Generation, sink func(token string) error) error {
	body, err := withResume(g.Body, g.Resume)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.stallTimeout, func() {
		cancel(errEngineStalled.New("engine %s took and sent nothing for %v", e.base, e.stallTimeout))
	})
	defer watchdog.Stop()
	timed := newDeadlineBody(body, g.SendBefore)
	timed.onRead = func() { watchdog.Reset(e.stallTimeout) }
	timed.onOverrun = func() { cancel(protocol.ErrCancelled.New("the request was sent too late")) }
	resp, err := e.startRequest(ctx, g.ID, timed)
	if err != nil {
		return e.requestError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusalError(resp)
	}
	alive := &notifyingReader{body: resp.Body, onRead: func() { watchdog.Reset(e.stallTimeout) }}
	return e.requestError(ctx, readTokens(alive, func(token string) error {
		watchdog.Stop() // the time of the sink is not the engine's
		return sink(token)
	}))
}

// errEngineStalled is the reason to give up an engine that sends nothing.
var errEngineStalled = protocol.Errors.NewType("engine_stalled")

// IsStall reports whether Generate gave the engine up because it sent nothing.
func IsStall(err error) bool {
	typed := errorx.Cast(err)
	return typed != nil && errorx.IsOfType(typed.Cause(), errEngineStalled)
}

// requestError returns why the request was given up, where that was done here. After a
// stall it drops the idle connections: what silenced one may have silenced all.
func (e *Engine) requestError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && errorx.IsOfType(cause, protocol.ErrCancelled) {
		return cause
	}
	if err == nil || !errorx.IsOfType(cause, errEngineStalled) {
		return err
	}
	e.client.CloseIdleConnections()
	return protocol.ErrTruncated.Wrap(cause, "generate")
}

// notifyingReader calls active before each read.
type notifyingReader struct {
	body   io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *notifyingReader) Read(p []byte) (int, error) {
	r.onRead()
	return r.body.Read(p)
}

func (e *Engine) startRequest(ctx context.Context, id string, timed *deadlineBody) (*http.Response, error) {
	defer timed.answered.Store(true)
	req, err := http.NewRequestWithContext(timed.withWriteDeadline(ctx), http.MethodPost, e.base+"/v1/chat/completions", timed)
	if err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "generate")
	}
	req.ContentLength = int64(len(timed.content))
	req.GetBody = timed.copyFromStart
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, id)
	resp, err := e.client.Do(req)
	if timed.withheld.Load() {
		drainResponse(resp)
		return nil, protocol.ErrNotSent.New("the request was not sent in time")
	}
	if err != nil {
		return nil, classifyTargetError(err, "generate")
	}
	return resp, nil
}

// withResume puts the tokens to resume after into the body. It fails with
// ErrBadRequest where the body is no JSON object.
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

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 16 << 20

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
	return protocol.ErrTruncated.New("stream ended without its end marker")
}

// Cancel stops the request with the given ID, and returns once the engine has freed
// its place. An unknown ID is no error: its request may be on its way over another
// connection, and the engine refuses it when it arrives.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.post(ctx, "/engine/cancel", map[string]string{"id": id})
}

// SendOrder gives the engine an order. It fails with ErrVersion where the engine
// refused the fencing number.
func (e *Engine) SendOrder(ctx context.Context, o LoadOrder) error {
	return e.post(ctx, "/engine/orders", o)
}

// SendOrderBefore gives the order unless it is past the time by when it must be sent. It
// then fails with ErrNotSent. The time is checked when the body is written, and
// without its body the engine has no order.
func (e *Engine) SendOrderBefore(ctx context.Context, by time.Time, o LoadOrder) error {
	data, err := json.Marshal(o)
	if err != nil {
		return protocol.ErrInternal.Wrap(err, "encode")
	}
	body := newDeadlineBody(data, by)
	err = e.postBody(body.withWriteDeadline(ctx), "/engine/orders", body, int64(len(data)))
	if body.withheld.Load() {
		return protocol.ErrNotSent.New("the order was not sent in time")
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
		return protocol.ErrVersionConflict.New("%s: fencing number refused", path)
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
	resp, err := e.client.Do(req)
	if err != nil {
		return load, classifyTargetError(err, "load")
	}
	defer drainBody(resp.Body)
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil {
		return load, protocol.ErrTargetFailed.Wrap(err, "load")
	}
	return load, nil
}
