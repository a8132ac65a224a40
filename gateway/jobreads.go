package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// maxPageBytes bounds the texts and the items' IDs of one page of results.
	maxPageBytes = 800 << 10
	// maxResultWait bounds how long a read of results may wait for the next result.
	maxResultWait = 2 * time.Second
)

// lookUpJob calls visit with the job. A job of another workspace counts as unknown. visit
// reports whether it found what it looks for, which sought describes for the log. If the job is
// unknown or visit returns false, lookUpJob reads the log to its end and tries once more. It
// returns ErrRefused if the log cannot be read, and ErrUnknownJob if the second try fails as
// well.
func (g *Gateway) lookUpJob(ctx context.Context, workspace *fleet.Workspace, id, sought string, visit func(*worklog.Job) bool) error {
	visitOwn := func(job *worklog.Job) bool { return workspace.MayUse(job.Accept.Workspace) && visit(job) }
	if g.viewJob(id, visitOwn) {
		return nil
	}
	if err := g.catchUp(ctx); err != nil {
		return err
	}
	if g.viewJob(id, visitOwn) {
		return nil
	}
	g.logDenial(id, sought)
	return fleet.ErrUnknownJob.New("job %s", id)
}

// logDenial logs what was asked of a job and what this gateway knows of it.
func (g *Gateway) logDenial(id, sought string) {
	items, results, ended := 0, 0, false
	known := g.viewJob(id, func(job *worklog.Job) bool {
		items, results, ended = len(job.Items), len(job.Results), job.Ended
		return true
	})
	age, _ := g.workTail.Age()
	g.jobsMu.RLock()
	rebuilt := time.Since(g.rebuiltAt)
	g.jobsMu.RUnlock()
	klog.InfoS("job call denied", "job", id, "sought", sought, "known", known, "items", items, "results", results, "ended", ended,
		"log_age", age, "rebuilt", rebuilt)
}

// viewJob calls visit with the job while holding jobsMu. It reports whether the job is
// known and visit returned true.
func (g *Gateway) viewJob(id string, visit func(*worklog.Job) bool) bool {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	job := g.fold.Job(id)
	return job != nil && visit(job)
}

// HasJobs implements fleet.CallerAPI. Without a route for jobs, only the work log can tell;
// HasJobs fails with ErrRefused if it has not been read lately.
func (g *Gateway) HasJobs(ctx context.Context, host string) (bool, error) {
	if c := g.configs.Current(); c != nil && c.HasBatchRoute(host) || g.knowsJobsOf(host) {
		return true, nil
	}
	if err := g.checkAbsence(ctx); err != nil {
		return false, err
	}
	return g.knowsJobsOf(host), nil
}

func (g *Gateway) knowsJobsOf(host string) bool {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	return g.fold.HasJobsOf(host)
}

// IsAccepted implements fleet.CallerAPI.
func (g *Gateway) IsAccepted(ctx context.Context, workspace *fleet.Workspace, host, id string) error {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return err
	}
	defer leave()
	return g.lookUpJob(ctx, workspace, id, "the job on host "+host, func(job *worklog.Job) bool { return job.Accept.Job.Host == host })
}

// HasAccepted implements fleet.CallerAPI.
func (g *Gateway) HasAccepted(workspace *fleet.Workspace, host, path, id string) bool {
	accept := g.accepts.Load().Find(id)
	return accept != nil && workspace.MayUse(accept.Workspace) && accept.Job.Host == host && accept.Path == path
}

// Results implements fleet.CallerAPI.
func (g *Gateway) Results(ctx context.Context, workspace *fleet.Workspace, id string, after int, wait time.Duration) (fleet.ResultPage, error) {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return fleet.ResultPage{}, err
	}
	defer leave()
	if err := g.lookUpPosition(ctx, workspace, id, after); err != nil {
		return fleet.ResultPage{}, err
	}
	waitOver, cancel := context.WithTimeout(ctx, min(wait, maxResultWait))
	defer cancel()
	for {
		found := g.findResults(id, after)
		if found.isFinal() {
			return g.resultPage(ctx, id, after, found)
		}
		if err := g.checkAbsence(ctx); err != nil {
			return fleet.ResultPage{}, err
		}
		found = g.findResults(id, after)
		if found.isFinal() || waitOver.Err() != nil || g.closing.Load() {
			return g.resultPage(ctx, id, after, found)
		}
		select {
		case <-found.changed:
		case <-waitOver.Done():
		}
	}
}

// lookUpPosition looks the job up. If it may have results before the position that are not
// known yet, lookUpPosition reads the log to its end: the caller may have seen them at
// another gateway. The position itself needs no result.
func (g *Gateway) lookUpPosition(ctx context.Context, workspace *fleet.Workspace, id string, position int) error {
	if err := g.lookUpJob(ctx, workspace, id, "its results", func(*worklog.Job) bool { return true }); err != nil {
		return err
	}
	isReached := func(job *worklog.Job) bool { return position <= len(job.Results) || !job.Open() }
	if g.viewJob(id, isReached) {
		return nil
	}
	return g.catchUp(ctx)
}

// foundResults holds the known results of a job from a position on.
type foundResults struct {
	total   int
	results []worklog.Result
	// open is set if more results may follow. changed is closed at the next change of
	// the fold.
	open    bool
	changed <-chan struct{}
}

// isFinal reports whether a caller that waits for results need not wait any longer.
func (f *foundResults) isFinal() bool { return len(f.results) > 0 || !f.open }

// findResults returns the results from the position after on, as many as fit into a
// page.
func (g *Gateway) findResults(id string, after int) foundResults {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	job := g.fold.Job(id)
	if job == nil {
		return foundResults{changed: g.changed}
	}
	f := foundResults{total: len(job.Items), open: job.Open(), changed: g.changed}
	size := 0
	for _, r := range job.Results[min(after, len(job.Results)):] {
		size += len(r.Item)
		if r.Text != nil {
			size += r.Text.Bytes
		}
		if size > maxPageBytes && len(f.results) > 0 {
			break
		}
		f.results = append(f.results, r)
	}
	return f
}

// resultPage returns a page of the results found, with their outputs. It returns
// ErrRefused if not even the first output can be read.
func (g *Gateway) resultPage(ctx context.Context, id string, after int, f foundResults) (fleet.ResultPage, error) {
	if len(f.results) == 0 && f.open {
		age, _ := g.workTail.Age()
		g.metrics.emptyPageAge.Observe(age.Seconds())
	}
	results, err := g.texts.resolve(ctx, id, f.results)
	if err != nil && len(results) == 0 {
		return fleet.ResultPage{}, fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "results of job %s cannot be read from the store at the moment", id), jobRetryAfter)
	}
	return fleet.ResultPage{Total: f.total, Next: after + len(results), Results: results}, nil
}

// ItemBody implements fleet.CallerAPI.
func (g *Gateway) ItemBody(ctx context.Context, workspace *fleet.Workspace, id, item string) ([]byte, error) {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return nil, err
	}
	defer leave()
	var body []byte
	err = g.lookUpJob(ctx, workspace, id, "the body of item "+item, func(job *worklog.Job) bool {
		for _, i := range job.Items {
			if i.ID == item {
				body = i.Body
				return true
			}
		}
		return false
	})
	return body, err
}
