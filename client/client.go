// Package client is the typed client of the entries' HTTP interface, for the
// command line, the demo and tests.
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

// Client speaks to the first entry that answers. Its methods may be called at
// the same time. Errors are of the types of package protocol.
type Client struct {
	settings settings.Client
	http     *http.Client
}

// New returns a client.
func New(s settings.Client) *Client {
	return &Client{settings: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the answer of a service.
type Answer struct {
	Status int
	Body   []byte
	// Key names the request.
	Key string
	// Retained says whether the answer can be read again under the key.
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

// sendToEntries sends a request to the entries in order, going on to the next one where the
// last cannot have got it. It does so too with a request that an entry may have
// got before it went away, where that may be sent again.
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

// canResend reports whether a request that may have arrived may be sent again: one
// with a key joins the first one or reads its result, and a read of the system's
// own state changes nothing.
func (r *request) canResend() bool {
	return r.key != "" || r.method == http.MethodGet && !strings.HasPrefix(r.path, servicesPath)
}

// servicesPath begins the paths of calls to plain services.
const servicesPath = "/services/"

// isEntryGone reports whether a request may have arrived at an entry that has ended.
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

// readAnswer sends a request and reads the whole answer.
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

// CallOptions are the optional parts of a call.
type CallOptions struct {
	Key string
	// Trace is a trace ID of 32 hexadecimal digits.
	Trace string
	// Async asks for a receipt instead of the answer.
	Async bool
}

// Call calls a plain service.
func (c *Client) Call(ctx context.Context, service, method, path string, body []byte, o CallOptions) (*Answer, error) {
	return c.readAnswer(ctx, request{
		method: method, path: servicesPath + url.PathEscape(service) + path,
		key: o.Key, trace: o.Trace, async: o.Async, token: c.settings.CallerKey, body: body,
	})
}

// Chat asks a model service. A streamed answer is read whole: token receives
// each token, where set, and the answer's body is the text.
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
	var whole protocol.ChatChunk
	if err := json.Unmarshal(a.Body, &whole); err != nil || len(whole.Choices) == 0 || whole.Choices[0].Message == nil {
		return nil, protocol.ErrTruncated.New("the answer is not a completion")
	}
	a.Body = []byte(whole.Choices[0].Message.Content)
	return a, nil
}

// readStream reads server-sent events up to the end marker. It fails with
// ErrTruncated where the marker is missing.
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

// Result reads the answer of an earlier request. A status of 202 means that
// there is none yet.
func (c *Client) Result(ctx context.Context, key string) (*Answer, error) {
	return c.readAnswer(ctx, request{method: http.MethodGet, path: "/requests/" + url.PathEscape(key), token: c.settings.CallerKey})
}

// Status reads the system's state as an entry sees it.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	return c.StatusOf(ctx, nil)
}

// StatusOf is Status with only the targets that the selector matches.
func (c *Client) StatusOf(ctx context.Context, selector protocol.Selector) (entry.Status, error) {
	var s entry.Status
	path := "/status?selector=" + url.QueryEscape(selector.String())
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &s)
	return s, err
}

// Timeline reads the merged events of all processes.
func (c *Client) Timeline(ctx context.Context, args protocol.EventsArgs) (entry.Timeline, error) {
	var t entry.Timeline
	path := fmt.Sprintf("/events?trace=%s&since_ms=%d", url.QueryEscape(args.Trace), args.SinceUnixMillis)
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &t)
	return t, err
}
