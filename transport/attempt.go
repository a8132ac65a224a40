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
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// AttemptPath is where a sidecar takes attempts.
const AttemptPath = "/attempts"

const maxIdlePerSidecar = 256

// AttemptClient sends attempts to sidecars.
type AttemptClient struct {
	secret string
	client *http.Client
}

// NewAttemptClient returns a client that authenticates with secret.
func NewAttemptClient(secret string) *AttemptClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerSidecar,
		DisableCompression:  true,
	}
	return &AttemptClient{secret: secret, client: &http.Client{Transport: transport}}
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
		cancel(protocol.ErrTruncated.New("sidecar %s is silent", addr))
	})
	defer watchdog.Stop()
	resp, err := c.post(ctx, addr, a)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, ReadProblem(resp)
	}
	reader := frameReader{attempt: a.Attempt, sink: sink, decoder: msgpack.NewDecoder(resp.Body), sum: xxhash.New()}
	for {
		end, err := reader.next()
		if err != nil || end != nil {
			return end, silence(ctx, err)
		}
		watchdog.Reset(protocol.HeartbeatTimeout)
	}
}

// silence replaces the error of a cancelled read with the reason for it.
func silence(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil && !errors.Is(cause, context.Canceled) {
		return protocol.ErrTruncated.Wrap(cause, "attempt")
	}
	return err
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
	if platform.IsDialError(err) {
		return nil, protocol.ErrNotSent.Wrap(err, "attempt at %s", addr)
	}
	return nil, protocol.ErrTruncated.Wrap(err, "attempt at %s", addr)
}

// frameReader checks that the frames of an answer belong together.
type frameReader struct {
	attempt string
	sink    func(*protocol.Frame) error
	decoder *msgpack.Decoder
	seq     int
	sum     *xxhash.Digest
}

func (r *frameReader) next() (*protocol.Frame, error) {
	var f protocol.Frame
	if err := r.decoder.Decode(&f); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, protocol.ErrTruncated.New("answer ended without its end frame")
		}
		return nil, protocol.ErrTruncated.Wrap(err, "read answer")
	}
	if f.Attempt != r.attempt {
		return nil, protocol.ErrTruncated.New("frame of attempt %s in the answer of %s", f.Attempt, r.attempt)
	}
	switch f.Kind {
	case protocol.FrameHead:
		return nil, r.sink(&f)
	case protocol.FrameToken:
		r.seq++
		if f.Seq != r.seq {
			return nil, protocol.ErrTruncated.New("token %d where %d was due", f.Seq, r.seq)
		}
		_, _ = r.sum.WriteString(f.Token)
		return nil, r.sink(&f)
	case protocol.FrameEnd:
		if f.Seq != r.seq || f.Sum != r.sum.Sum64() {
			return nil, protocol.ErrTruncated.New("answer of %d tokens does not match its end frame", r.seq)
		}
		return &f, nil
	case protocol.FrameError:
		return nil, f.Problem.Err()
	default:
		return nil, nil
	}
}

// FrameWriter writes the answer of one attempt. Its methods may be called at
// the same time; a heartbeat fills every pause.
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
	case protocol.FrameToken:
		f.seq++
		_, _ = f.sum.WriteString(frame.Token)
	case protocol.FrameEnd, protocol.FrameError:
		f.ended = true
	}
	frame.Attempt, frame.Seq, frame.Sum, frame.Clock = f.attempt, f.seq, f.sum.Sum64(), f.now()
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
