package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// AttemptPath is where a sidecar takes attempts.
const AttemptPath = "/attempts"

const maxIdlePerSidecar = 256

// AttemptClient sends attempts to sidecars.
type AttemptClient struct {
	secret  string
	observe func(clock uint64)
	client  *http.Client
}

// idleTimeout is how long an unused connection to a sidecar is kept.
const idleTimeout = 30 * time.Second

// NewAttemptClient returns a client that authenticates with secret. observe
// gets the hybrid logical time of every frame.
func NewAttemptClient(secret string, observe func(clock uint64)) *AttemptClient {
	transport := &http.Transport{
		DialContext:         defaultDial,
		MaxIdleConnsPerHost: maxIdlePerSidecar,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &AttemptClient{secret: secret, observe: observe, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *AttemptClient) Close() { c.client.CloseIdleConnections() }

// Execute runs an attempt at the sidecar with the HTTP address addr and passes
// head and token frames to sink. It returns the end frame of a whole answer,
// and otherwise the sidecar's own error, ErrNotSent where nothing left this
// process, ErrTruncated or ErrTargetFailed where the answer broke off, or the
// error of sink.
func (c *AttemptClient) Execute(ctx context.Context, addr string, a *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(protocol.HeartbeatTimeout, func() {
		cancel(errConnectionSilent.New("sidecar %s is silent", addr))
	})
	defer watchdog.Stop()
	resp, err := c.post(ctx, addr, a)
	if err != nil {
		return nil, c.silenceError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, ReadProblem(resp)
	}
	reader := newFrameReader(a, resp.Body, c.observe, sink)
	for {
		end, err := reader.next()
		if err != nil {
			return nil, c.silenceError(ctx, err)
		}
		watchdog.Reset(protocol.HeartbeatTimeout)
		if end != nil {
			_, _ = io.CopyN(io.Discard, resp.Body, 1) // lets the connection be used again
			return end, nil
		}
	}
}

// errConnectionSilent is the reason to give up a connection on which nothing comes.
var errConnectionSilent = protocol.Errors.NewType("connection_silent")

// silenceError replaces the error of a read that silence ended. What silenced one
// connection may have silenced others, so the idle ones are dropped.
func (c *AttemptClient) silenceError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if !errorx.IsOfType(cause, errConnectionSilent) {
		return err
	}
	c.client.CloseIdleConnections()
	return protocol.ErrConnectionLost.Wrap(cause, "attempt")
}

func (c *AttemptClient) post(ctx context.Context, addr string, a *protocol.AttemptRequest) (*http.Response, error) {
	body, err := msgpack.Marshal(a)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "encode attempt")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+AttemptPath, bytes.NewReader(body))
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "attempt")
	}
	req.Header.Set("Authorization", "Bearer "+c.secret)
	resp, err := c.client.Do(req)
	if err == nil {
		return resp, nil
	}
	if backend.IsDialError(err) {
		return nil, protocol.ErrNotSent.Wrap(err, "attempt at %s", addr)
	}
	return nil, protocol.ErrConnectionLost.Wrap(err, "attempt at %s", addr)
}

// frameReader checks that the frames of an answer belong together.
type frameReader struct {
	attempt string
	// needsHead is set where the answer is the body of the head, not tokens.
	needsHead bool
	observe   func(clock uint64)
	sink      func(*protocol.Frame) error
	decoder   *msgpack.Decoder
	headSeen  bool
	seq       int
	sum       *xxhash.Digest
}

func newFrameReader(a *protocol.AttemptRequest, body io.Reader, observe func(uint64), sink func(*protocol.Frame) error) *frameReader {
	return &frameReader{
		attempt:   a.Attempt,
		needsHead: !a.Call.Model,
		observe:   observe,
		sink:      sink,
		decoder:   msgpack.NewDecoder(body),
		sum:       xxhash.New(),
	}
}

// next reads one frame and returns it where it is the end of a whole answer.
func (r *frameReader) next() (*protocol.Frame, error) {
	var f protocol.Frame
	if err := r.decoder.Decode(&f); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, protocol.ErrConnectionLost.New("answer ended without its end frame")
		}
		return nil, protocol.ErrConnectionLost.Wrap(err, "read answer")
	}
	if f.Attempt != r.attempt {
		return nil, protocol.ErrTruncated.New("frame of attempt %s in the answer of %s", f.Attempt, r.attempt)
	}
	r.observe(f.Clock)
	switch f.Kind {
	case protocol.FrameHead:
		return nil, r.head(&f)
	case protocol.FrameToken:
		return nil, r.token(&f)
	case protocol.FrameEnd:
		return r.end(&f)
	case protocol.FrameError:
		if f.Problem == nil {
			return nil, protocol.ErrTruncated.New("error frame without its problem")
		}
		return nil, f.Problem.Err()
	default:
		return nil, nil
	}
}

func (r *frameReader) head(f *protocol.Frame) error {
	if r.headSeen || r.seq > 0 {
		return protocol.ErrTruncated.New("second head in the answer of %s", r.attempt)
	}
	r.headSeen = true
	_, _ = r.sum.Write(f.Body)
	return r.sink(f)
}

func (r *frameReader) token(f *protocol.Frame) error {
	r.seq++
	if f.Seq != r.seq {
		return protocol.ErrTruncated.New("token %d where %d was due", f.Seq, r.seq)
	}
	_, _ = r.sum.WriteString(f.Token)
	return r.sink(f)
}

func (r *frameReader) end(f *protocol.Frame) (*protocol.Frame, error) {
	if f.Seq != r.seq || f.Sum != r.sum.Sum64() {
		return nil, protocol.ErrTruncated.New("answer of %d tokens does not match its end frame", r.seq)
	}
	if r.needsHead && !r.headSeen {
		return nil, protocol.ErrTruncated.New("answer ended without its head")
	}
	return f, nil
}

// FrameWriter writes the answer of one attempt. Its methods may be called at
// the same time; a heartbeat fills every pause. A write that the reader does not
// take within protocol.HeartbeatTimeout fails.
type FrameWriter struct {
	attempt string
	now     func() uint64
	flush   *http.ResponseController

	mu      sync.Mutex
	encoder *msgpack.Encoder
	seq     int
	sum     *xxhash.Digest
	ended   bool
	timer   *time.Timer
}

// NewFrameWriter starts the answer of the attempt. now gives the hybrid logical
// time. Close must be called in the end.
func NewFrameWriter(w http.ResponseWriter, attempt string, now func() uint64) *FrameWriter {
	f := &FrameWriter{
		attempt: attempt,
		now:     now,
		flush:   http.NewResponseController(w),
		encoder: msgpack.NewEncoder(w),
		sum:     xxhash.New(),
	}
	f.timer = time.AfterFunc(protocol.HeartbeatInterval, f.heartbeat)
	return f
}

// Head sends the status of a plain service's answer or the start of a stream.
func (f *FrameWriter) Head(status int, contentType string, body []byte) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameHead, Status: status, ContentType: contentType, Body: body})
}

// Token sends one token.
func (f *FrameWriter) Token(token string) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameToken, Token: token})
}

// End ends a whole answer.
func (f *FrameWriter) End(report *protocol.TargetReport) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameEnd, Report: report})
}

// Fail ends the answer with an error.
func (f *FrameWriter) Fail(err error, report *protocol.TargetReport) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameError, Problem: protocol.ProblemOf(err), Report: report})
}

// Close stops the heartbeat.
func (f *FrameWriter) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	f.timer.Stop()
}

func (f *FrameWriter) heartbeat() {
	_ = f.write(&protocol.Frame{Kind: protocol.FrameHeartbeat})
}

func (f *FrameWriter) write(frame *protocol.Frame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return protocol.ErrTruncated.New("answer has ended")
	}
	switch frame.Kind {
	case protocol.FrameHead:
		_, _ = f.sum.Write(frame.Body)
	case protocol.FrameToken:
		f.seq++
		_, _ = f.sum.WriteString(frame.Token)
	case protocol.FrameEnd, protocol.FrameError:
		f.ended = true
	}
	frame.Attempt, frame.Seq, frame.Sum, frame.Clock = f.attempt, f.seq, f.sum.Sum64(), f.now()
	_ = f.flush.SetWriteDeadline(time.Now().Add(protocol.HeartbeatTimeout))
	if err := f.encoder.Encode(frame); err != nil {
		return protocol.ErrTruncated.Wrap(err, "send frame")
	}
	if err := f.flush.Flush(); err != nil {
		return protocol.ErrTruncated.Wrap(err, "send frame")
	}
	if !f.ended {
		f.timer.Reset(protocol.HeartbeatInterval)
	}
	return nil
}
