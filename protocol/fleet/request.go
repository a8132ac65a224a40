package fleet

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is a caller's complete request.
type Request struct {
	ID     string
	Method string
	Host   string
	// URI is the request target as the caller sent it. Path is its path.
	URI  string
	Path string
	// Header holds the caller's headers without hop-by-hop headers and without those
	// that are set for each attempt.
	Header http.Header
	Body   []byte
	// MaxWait is how long the caller waits, 0 if it does not specify that.
	MaxWait time.Duration
	// LastEventID is the ID of the last event that the caller has, empty if it has none.
	LastEventID string
	// PromptParts are the parts of the request's prompt that other requests share, in their
	// order.
	PromptParts []string
	// Key is the caller's key, empty if it sent none. Workspace holds the key. It is nil if
	// the configuration has no workspaces, and Anonymous if the request needs no key.
	Key       Key
	Workspace *Workspace
}

type requestIDKey struct{}

// WithRequestID returns a copy of ctx that names the request for log lines.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestIDOf returns the ID of the request that ctx names, empty if there is none.
func RequestIDOf(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// Attempt is one attempt to run a request at a target.
type Attempt struct {
	Request *Request
	Target  *Target
	// TimeLeft is how long the target may run the attempt; 0 means no bound.
	TimeLeft time.Duration
	// LastEventID is the ID of the event after which the stream resumes, empty for the
	// whole stream.
	LastEventID string
}

// Verdict classifies an answer with respect to its attempt.
type Verdict int

// The verdicts.
const (
	// VerdictAnswer means that the answer is the target's answer to this request.
	VerdictAnswer Verdict = iota
	// VerdictNotRun means that the target states that it has not run the request.
	VerdictNotRun
	// VerdictWrongTarget is VerdictNotRun from a target that was not addressed.
	VerdictWrongTarget
	// VerdictForeign means that the answer does not belong to this request.
	VerdictForeign
)

// Answer is a target's answer to an attempt. Either Close or Discard must be called once.
type Answer struct {
	Verdict Verdict
	Status  int
	// Header holds the target's headers without hop-by-hop headers.
	Header http.Header
	// Signed reports whether the target signed the answer.
	Signed bool
	// Leaving is set if the target announced with the answer that it leaves.
	Leaving bool
	// Load is the target's load report, nil if there is none.
	Load *Load
	// Body returns io.EOF only after the target's complete body.
	Body io.Reader
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Close returns the connection to the pool if the body was read to its end, and closes
	// it otherwise.
	Close func()
	// Discard reads the rest of a body that is not needed, within MaxDiscardedBytes and
	// DiscardTimeout, and calls Close.
	Discard func()
}

// Sender sends attempts to targets. Send fails with ErrMalformed if the attempt can't be sent
// as one request, with ErrNotDelivered if the target received nothing, and with
// ErrAnswerBroken if its answer is lost.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
}
