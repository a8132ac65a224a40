// Package client is a typed client of the entries' HTTP API, used by the command line,
// the demo and tests.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Client sends requests to the first entry that answers. It is safe for concurrent use.
// Errors are of the types of package protocol.
type Client struct {
	settings settings.Client
	http     *http.Client
}

// New returns a client of the entries in s.
func New(s settings.Client) *Client {
	return &Client{settings: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is an entry's answer to a request.
type Answer struct {
	Status int
	Body   []byte
	// Key is the idempotency key of the request.
	Key string
	// Retained reports whether the answer can be read again with the key.
	Retained bool
}

// request is one HTTP request to an entry.
type request struct {
	method   string
	path     string
	key      string
	token    string
	body     []byte
	async    bool
	trace    string
	mimeType string
}

// sendToEntries sends a request to the entries in order. It goes on to the next entry if
// the last one cannot have received the request or is leaving, or if the last one may
// have received it before it ended and the request can be resent.
func (c *Client) sendToEntries(ctx context.Context, r request) (*http.Response, error) {
	var err error = protocol.ErrNotSent.New("no entry is configured")
	for _, base := range c.settings.Entries {
		var resp *http.Response
		resp, err = c.send(ctx, base, r)
		if err == nil && resp.StatusCode < http.StatusBadRequest {
			return resp, nil
		}
		if err == nil {
			err = transport.ReadProblem(resp)
			_ = resp.Body.Close()
		}
		if !errorx.IsOfType(err, protocol.ErrNotSent) && !errorx.IsOfType(err, protocol.ErrLeaving) && !(r.canResend() && isEntryGone(err)) {
			break
		}
	}
	return nil, err
}

// canResend reports whether a request can be sent again although it may have arrived. A
// request with a key joins the earlier one or reads its result, and a read of the
// system's own state has no side effects.
func (r *request) canResend() bool {
	return r.key != "" || r.method == http.MethodGet && !strings.HasPrefix(r.path, servicesPath)
}

// servicesPath is the path prefix of calls to plain services.
const servicesPath = "/services/"

// isEntryGone reports whether err means that a request may have arrived at an entry that
// has since ended.
func isEntryGone(err error) bool {
	typed := errorx.Cast(err)
	return typed != nil && typed.IsOfType(protocol.ErrAnswerLost) && backend.IsDialError(typed.Cause())
}

func (c *Client) send(ctx context.Context, base string, r request) (*http.Response, error) {
	ctx, connected := backend.TraceConnection(ctx)
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "%s %s", r.method, r.path)
	}
	req.Header.Set("Authorization", "Bearer "+r.token)
	if r.key != "" {
		req.Header.Set(backend.HeaderIdempotencyKey, r.key)
	}
	if r.async {
		req.Header.Set("Prefer", "respond-async")
	}
	if r.trace != "" {
		req.Header.Set("Traceparent", "00-"+r.trace+"-0000000000000001-01")
	}
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if r.mimeType != "" {
		req.Header.Set("Content-Type", r.mimeType)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if backend.IsDialError(err) && !connected() {
		return nil, protocol.ErrNotSent.Wrap(err, "entry %s", base)
	}
	return nil, protocol.ErrAnswerLost.Wrap(err, "entry %s", base)
}

// readAnswer sends a request and reads the complete answer.
func (c *Client) readAnswer(ctx context.Context, r request) (*Answer, error) {
	resp, err := c.sendToEntries(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, protocol.ErrTruncated.Wrap(err, "read answer")
	}
	return &Answer{
		Status:   resp.StatusCode,
		Body:     body,
		Key:      resp.Header.Get(backend.HeaderIdempotencyKey),
		Retained: resp.Header.Get("X-Retained") == "true",
	}, nil
}

func (c *Client) readJSON(ctx context.Context, r request, v any) error {
	a, err := c.readAnswer(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.Body, v); err != nil {
		return protocol.ErrTruncated.Wrap(err, "decode answer")
	}
	return nil
}

// CallOptions holds the optional parts of a call.
type CallOptions struct {
	Key string
	// Trace is a trace ID of 32 hexadecimal digits.
	Trace string
	// Async asks for a receipt at once instead of the answer.
	Async bool
}

// Call calls a plain service.
func (c *Client) Call(ctx context.Context, service, method, path string, body []byte, o CallOptions) (*Answer, error) {
	return c.readAnswer(ctx, request{
		method: method, path: servicesPath + url.PathEscape(service) + path,
		key: o.Key, trace: o.Trace, async: o.Async, token: c.settings.CallerKey, body: body,
	})
}

// Chat sends a chat request to a model service and reads the complete answer, whose body
// is the generated text. For a streamed answer, token is called with each token as it
// arrives, unless token is nil.
func (c *Client) Chat(ctx context.Context, chat *protocol.ChatRequest, o CallOptions, token func(string)) (*Answer, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "encode chat")
	}
	r := request{method: http.MethodPost, path: "/v1/chat/completions", key: o.Key, trace: o.Trace, async: o.Async, token: c.settings.CallerKey, body: body}
	if !chat.Stream {
		return c.chatUnstreamed(ctx, r)
	}
	resp, err := c.sendToEntries(ctx, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readStream(resp, token)
}

func (c *Client) chatUnstreamed(ctx context.Context, r request) (*Answer, error) {
	a, err := c.readAnswer(ctx, r)
	if err != nil || a.Status != http.StatusOK {
		return a, err
	}
	var completion protocol.ChatChunk
	if err := json.Unmarshal(a.Body, &completion); err != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return nil, protocol.ErrTruncated.New("the answer is not a chat completion")
	}
	a.Body = []byte(completion.Choices[0].Message.Content)
	return a, nil
}

// readStream reads server-sent events up to the end marker. It fails with ErrTruncated if
// the stream ends without it.
func readStream(resp *http.Response, token func(string)) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Key: resp.Header.Get(backend.HeaderIdempotencyKey)}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(resp.Body)
		a.Body = body
		if err != nil {
			return nil, protocol.ErrTruncated.Wrap(err, "read answer")
		}
		return a, nil
	}
	var text strings.Builder
	event := ""
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Text()
		if name, found := strings.CutPrefix(line, "event: "); found {
			event = name
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == protocol.ChatDone {
			a.Body = []byte(text.String())
			return a, nil
		}
		if event == "error" {
			var p protocol.Problem
			if err := json.Unmarshal([]byte(data), &p); err != nil {
				return nil, protocol.ErrTruncated.Wrap(err, "read problem")
			}
			return nil, p.Err()
		}
		var chunk protocol.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, protocol.ErrTruncated.Wrap(err, "read chunk")
		}
		a.appendChunk(&chunk, &text, token)
	}
	return nil, protocol.ErrTruncated.New("the stream ended without its end marker")
}

func (a *Answer) appendChunk(chunk *protocol.ChatChunk, text *strings.Builder, token func(string)) {
	if chunk.Retained != nil {
		a.Retained = *chunk.Retained
	}
	for _, choice := range chunk.Choices {
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		text.WriteString(choice.Delta.Content)
		if token != nil {
			token(choice.Delta.Content)
		}
	}
}

// Result reads the answer to an earlier request. Status 202 means that the request has
// not finished.
func (c *Client) Result(ctx context.Context, key string) (*Answer, error) {
	return c.readAnswer(ctx, request{method: http.MethodGet, path: "/requests/" + url.PathEscape(key), token: c.settings.CallerKey})
}

// Status reads the state of the system as known to an entry.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	return c.StatusOf(ctx, nil)
}

// StatusOf is like Status, but includes only the targets that match the selector.
func (c *Client) StatusOf(ctx context.Context, selector protocol.Selector) (entry.Status, error) {
	var s entry.Status
	path := "/status?selector=" + url.QueryEscape(selector.String())
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &s)
	return s, err
}

// Timeline reads the time line events of all processes, merged.
func (c *Client) Timeline(ctx context.Context, args protocol.EventsArgs) (entry.Timeline, error) {
	var t entry.Timeline
	path := fmt.Sprintf("/events?trace=%s&since_ms=%d", url.QueryEscape(args.Trace), args.SinceUnixMillis)
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &t)
	return t, err
}
