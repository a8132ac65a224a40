package fleet

import (
	"context"
	"time"
)

// Sink receives the answer to a caller's request.
type Sink interface {
	// Begin sends the head of the answer.
	Begin(a *Answer) error
	// Write sends a part of the body without buffering.
	Write(p []byte) error
}

// CallerAPI is the system's interface to callers. Its errors are ErrNoRoute, ErrNoAccess,
// ErrRefused, ErrOutcomeUnknown, ErrUnknownJob, ErrMalformed and ErrTooLarge.
type CallerAPI interface {
	// Limits returns the limits on callers' requests.
	Limits() Limits
	// Match returns the route of a request, and the workspace that holds its key: nil if
	// the configuration has no workspaces, and Anonymous if the route needs no key.
	Match(ctx context.Context, host, path string, key Key) (*Route, *Workspace, error)
	// Authorize returns the workspace of a caller that asks about jobs on the host: nil if
	// the configuration has no workspaces, and Anonymous if jobs need no key there.
	Authorize(ctx context.Context, host string, key Key) (*Workspace, error)
	// HasJobs reports whether calls about jobs on the host are the system's own: a route
	// for jobs is in force there, or jobs are kept whose route was removed.
	HasJobs(ctx context.Context, host string) (bool, error)
	// IsAccepted returns nil if the job was accepted on the host, whether or not its route
	// is still in force. Like the calls that follow it fails with ErrUnknownJob if the job
	// belongs to another workspace than the caller's.
	IsAccepted(ctx context.Context, workspace *Workspace, host, job string) error
	// HasAccepted reports whether a job of this ID that the caller may use was accepted at the
	// host and path, as far as this process knows. Unlike IsAccepted it reads nothing.
	HasAccepted(workspace *Workspace, host, path, job string) bool
	// Serve answers a request of a route that accepts no jobs. If it fails after
	// Begin, the answer must be broken off so that the caller sees the failure.
	Serve(ctx context.Context, route *Route, r *Request, sink Sink) error
	// Submit accepts a job for the workspace. It fails with ErrMalformed if another workspace
	// has a job of this ID.
	Submit(ctx context.Context, workspace *Workspace, route *Route, path string, job *Job) error
	// Results returns the results from the position after on. If there are none
	// yet, it waits for one.
	Results(ctx context.Context, workspace *Workspace, job string, after int, wait time.Duration) (ResultPage, error)
	// ItemBody returns an item's request body.
	ItemBody(ctx context.Context, workspace *Workspace, job, item string) ([]byte, error)
	// CancelJob cancels a job.
	CancelJob(ctx context.Context, workspace *Workspace, job string) error
	// IsClosing reports whether connections must be closed after their answers.
	IsClosing() bool
}
