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

// AttemptPath is the URL path at which a sidecar accepts attempts.
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

// NewAttemptClient returns a client that authenticates with secret. observe is
// called with the hybrid logical time of every frame.
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
// head and token frames to sink. It returns the end frame of a complete answer.
// It fails with the sidecar's own error, with ErrNotSent if nothing was sent, with
// ErrTruncated or ErrTargetFailed if the answer broke off, or with the error of sink.
func (c *AttemptClient) Execute(ctx context.Context, addr string, a *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(protocol.HeartbeatTimeout, func() {
		cancel(errConnectionSilent.New("sidecar %s sent nothing within the heartbeat timeout", addr))
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
			_, _ = io.CopyN(io.Discard, resp.Body, 1) // allows the connection to be reused
			return end, nil
		}
	}
}

// errConnectionSilent is the cancellation cause of an attempt whose connection
// carried no frame within the heartbeat timeout.
var errConnectionSilent = protocol.Errors.NewType("connection_silent")

// silenceError returns ErrConnectionLost if the attempt was cancelled because of a
// silent connection, and err otherwise. The cause may affect other connections too,
// so it also closes the idle ones.
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

// frameReader reads an answer and checks that its frames are complete, in order and
// of one attempt.
type frameReader struct {
	attempt string
	// needsHead is set if the answer is the body of the head frame instead of tokens.
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

// next reads one frame and returns it if it is the end frame of a complete answer.
func (r *frameReader) next() (*protocol.Frame, error) {
	var f protocol.Frame
	if err := r.decoder.Decode(&f); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, protocol.ErrConnectionLost.New("answer ended without an end frame")
		}
		return nil, protocol.ErrConnectionLost.Wrap(err, "read answer")
	}
	if f.Attempt != r.attempt {
		return nil, protocol.ErrTruncated.New("received a frame of attempt %s in the answer to attempt %s", f.Attempt, r.attempt)
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
			return nil, protocol.ErrTruncated.New("error frame without a problem")
		}
		return nil, f.Problem.Err()
	default:
		return nil, nil
	}
}

func (r *frameReader) head(f *protocol.Frame) error {
	if r.headSeen || r.seq > 0 {
		return protocol.ErrTruncated.New("unexpected head frame in the answer to attempt %s", r.attempt)
	}
	r.headSeen = true
	_, _ = r.sum.Write(f.Body)
	return r.sink(f)
}

func (r *frameReader) token(f *protocol.Frame) error {
	r.seq++
	if f.Seq != r.seq {
		return protocol.ErrTruncated.New("received token %d, want token %d", f.Seq, r.seq)
	}
	_, _ = r.sum.WriteString(f.Token)
	return r.sink(f)
}

func (r *frameReader) end(f *protocol.Frame) (*protocol.Frame, error) {
	if f.Seq != r.seq || f.Sum != r.sum.Sum64() {
		return nil, protocol.ErrTruncated.New("answer of %d tokens does not match its end frame", r.seq)
	}
	if r.needsHead && !r.headSeen {
		return nil, protocol.ErrTruncated.New("answer ended without a head frame")
	}
	return f, nil
}

// FrameWriter writes the answer to one attempt. It sends heartbeats while nothing
// else is written. A write that the client does not accept within
// protocol.HeartbeatTimeout fails. It is safe for concurrent use.
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

// NewFrameWriter starts the answer to the attempt. now returns the hybrid logical
// time. The caller must call Close when the answer has ended.
func NewFrameWriter(w http.ResponseWriter, attempt string, now func() uint64) *FrameWriter {
	f := &FrameWriter{
		attempt: attempt,
		now:     now,
		flush:   http.NewResponseController(w),
		encoder: msgpack.NewEncoder(w),
		sum:     xxhash.New(),
	}
	f.mu.Lock() // the timer may fire before it is assigned
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(protocol.HeartbeatInterval, f.heartbeat)
	return f
}

// Head sends the head frame: a plain service's answer or the start of a stream.
func (f *FrameWriter) Head(status int, contentType string, body []byte) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameHead, Status: status, ContentType: contentType, Body: body})
}

// Token sends one token.
func (f *FrameWriter) Token(token string) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameToken, Token: token})
}

// End sends the end frame of a complete answer.
func (f *FrameWriter) End(report *protocol.TargetReport) error {
	return f.write(&protocol.Frame{Kind: protocol.FrameEnd, Report: report})
}

// Fail sends an error frame, which ends the answer.
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
