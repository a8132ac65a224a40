package fleet

import (
	"context"
	"time"
)

// Sink takes the answer to a caller's request.
type Sink interface {
	// Begin sends the head of the answer.
	Begin(a *Answer) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// CallerAPI is what the system does for callers. Its errors are ErrNoRoute,
// ErrRefused, ErrUncertain, ErrUnknownJob, ErrMalformed and ErrTooLarge.
type CallerAPI interface {
	// Limits returns what a caller may send.
	Limits() Limits
	// Match returns the route of a request.
	Match(host, path string) (*Route, error)
	// AcceptsJobs reports whether the host has a route for jobs.
	AcceptsJobs(host string) bool
	// Serve answers a request of a route that takes no jobs. After an error that
	// follows Begin the caller must see a broken answer.
	Serve(ctx context.Context, route *Route, r *Request, sink Sink) error
	// Submit accepts a job.
	Submit(ctx context.Context, route *Route, path string, job *Job) error
	// Results returns the results at the position after and on. Where there is
	// none yet it waits for one.
	Results(ctx context.Context, job string, after int, wait time.Duration) (ResultPage, error)
	// ItemBody returns an item's request body.
	ItemBody(ctx context.Context, job, item string) ([]byte, error)
	// CancelJob stops a job.
	CancelJob(ctx context.Context, job string) error
	// IsClosing reports whether connections shall not be kept.
	IsClosing() bool
}
