package fleet

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is a caller's whole request.
type Request struct {
	ID     string
	Method string
	Host   string
	// URI is the request target as the caller wrote it, Path its path.
	URI  string
	Path string
	// Header holds the caller's headers without those of one connection and
	// those that each attempt sets.
	Header http.Header
	Body   []byte
	// MaxWait is how long the caller waits, 0 where it did not say.
	MaxWait time.Duration
	// LastEventID is the number of the last event that the caller has, empty at first.
	LastEventID string
}

// Attempt is one send of a request to a target.
type Attempt struct {
	Request *Request
	Target  *Target
	// TimeLeft is how long the target may work on it; 0 sets no bound.
	TimeLeft time.Duration
	// LastEventID is the last event that need not come again, empty for the whole.
	LastEventID string
}

// Verdict is what an answer says of its attempt.
type Verdict int

// The verdicts.
const (
	// VerdictAnswer is a target's answer to this request.
	VerdictAnswer Verdict = iota
	// VerdictNotRun is a target's word that it has not run the request.
	VerdictNotRun
	// VerdictWrongTarget is VerdictNotRun from a target that was not meant.
	VerdictWrongTarget
	// VerdictForeign is an answer that does not belong to this request.
	VerdictForeign
)

// Answer is a target's answer to an attempt. Close must be called once; it gives
// the connection back if the body was read to its end, and breaks it off otherwise.
type Answer struct {
	Verdict Verdict
	Status  int
	// Header holds the target's headers without those of one connection.
	Header http.Header
	// Signed reports whether the target signed the answer.
	Signed bool
	// Load is the target's report of its load, nil without one.
	Load *Load
	// Body ends with io.EOF only where the target's body is whole.
	Body io.Reader
	// Length is the length of the body, -1 if not known.
	Length int64
	Close  func()
}

// Sender sends attempts to targets. Send fails with ErrNotDelivered where the
// target got nothing, and with ErrBroken where its answer is lost.
type Sender interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
}
