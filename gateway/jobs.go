package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// submitPatience bounds the tries to accept a job; its caller then tries
	// another gateway.
	submitPatience = 1500 * time.Millisecond
	// submitPause is the time between two tries.
	submitPause = 10 * time.Millisecond
	// maxPageBytes bounds the text of one page of results.
	maxPageBytes = 800 << 10
	// maxWait bounds how long a reader of results may wait.
	maxWait = 2 * time.Second
	// jobRetryAfter is when the caller of a refused job should come back.
	jobRetryAfter = 500 * time.Millisecond
)

func (g *Gateway) resetJobs(records []fleet.Record) {
	fold := worklog.NewFold()
	fold.Apply(time.Now(), records)
	g.jobsMu.Lock()
	g.fold = fold
	g.crashes.publish(fold)
	g.signalJobs()
	g.jobsMu.Unlock()
	klog.InfoS("work log read", "records", len(records), "open_jobs", len(fold.OpenJobs()), "malformed", fold.Malformed())
}

func (g *Gateway) applyJobs(records []fleet.Record) {
	g.jobsMu.Lock()
	defer g.jobsMu.Unlock()
	g.fold.Apply(time.Now(), records)
	g.crashes.publish(g.fold)
	g.signalJobs()
}

// signalJobs wakes those that wait for a change. The lock is held.
func (g *Gateway) signalJobs() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Submit implements fleet.Callers. The append succeeds only where the log ends
// where this gateway has folded it, so that its success is the verdict on the
// quota and on who came first.
func (g *Gateway) Submit(ctx context.Context, route *fleet.Route, path string, job *fleet.Job) error {
	leave, err := g.enter()
	if err != nil {
		return err
	}
	defer leave()
	begun := time.Now()
	err = g.submit(ctx, route, path, job)
	g.metrics.observe(route, err, time.Since(begun))
	g.jobsMu.RLock()
	waiting := g.fold.WaitingTokens(route.Name)
	g.jobsMu.RUnlock()
	age, _ := g.workTail.Age()
	klog.InfoS("job submitted", "job", job.ID, "route", route.Name, "items", len(job.Items), "tokens", tokensOf(job),
		"tokens_waiting", waiting, "quota", route.TokenQuota, "log_age", age, "took", time.Since(begun), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	return err
}

func (g *Gateway) submit(ctx context.Context, route *fleet.Route, path string, job *fleet.Job) error {
	if g.known(job.ID) {
		return nil
	}
	if err := g.checkReach(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitPatience)
	defer cancel()
	record, err := g.writer.Record(worklog.Entry{Accept: &worklog.Accept{
		Job: *job, Route: route.Name, Path: path, AcceptedUnixMillis: time.Now().UnixMilli(),
	}})
	if err != nil {
		return err
	}
	if limit := g.node.Load().MaxRecordBytes; limit > 0 && len(record.Value)+len(record.Key) >= limit {
		return fleet.ErrTooLarge.New("job of %d bytes", len(record.Value))
	}
	appended := false
	err = fleet.ErrUnavailable.New("no time left")
	for ctx.Err() == nil {
		err = g.workTail.WhileCaughtUp(ctx, func() error {
			if g.known(job.ID) {
				return nil
			}
			if err := g.fits(route, job); err != nil {
				return err
			}
			_, err := g.params.Store.Append(ctx, fleet.TopicWork, g.workTail.Next(), []fleet.Record{record})
			appended = appended || errorx.IsOfType(err, fleet.ErrUnknown)
			return err
		})
		if !errorx.IsOfType(err, fleet.ErrMoved) && !errorx.IsOfType(err, fleet.ErrUnknown) {
			break
		}
		pause.For(ctx, submitPause)
	}
	switch {
	case err == nil:
		return nil
	case appended:
		return fleet.ErrUncertain.Wrap(err, "the job may have been accepted")
	case errorx.IsOfType(err, fleet.ErrNoRoom):
		return err
	default:
		return fleet.RetryAfter(fleet.ErrRefused.Wrap(err, "job not accepted"), jobRetryAfter)
	}
}

func (g *Gateway) known(job string) bool {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	return g.fold.Job(job) != nil
}

// fits fails with ErrNoRoom where the job's tokens go beyond the route's quota.
func (g *Gateway) fits(route *fleet.Route, job *fleet.Job) error {
	if route.TokenQuota == 0 {
		return nil
	}
	g.jobsMu.RLock()
	waiting := g.fold.WaitingTokens(route.Name)
	g.jobsMu.RUnlock()
	if tokens := tokensOf(job); waiting+tokens > route.TokenQuota {
		return fleet.RetryAfter(fleet.ErrNoRoom.New("%d tokens wait, %d more do not fit %d", waiting, tokens, route.TokenQuota), jobRetryAfter)
	}
	return nil
}

func tokensOf(job *fleet.Job) int64 {
	var tokens int64
	for _, item := range job.Items {
		tokens += item.Tokens
	}
	return tokens
}

// look calls see with the job, after reading the log to its end where the job,
// or what see wants of it, is not known yet. see reports whether it found that.
// It fails with ErrRefused where the log cannot be read.
func (g *Gateway) look(ctx context.Context, id string, see func(*worklog.Job) bool) error {
	if g.view(id, see) {
		return nil
	}
	if err := g.catchUp(ctx); err != nil {
		return err
	}
	if g.view(id, see) {
		return nil
	}
	return fleet.ErrUnknownJob.New("job %s", id)
}

func (g *Gateway) view(id string, see func(*worklog.Job) bool) bool {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	job := g.fold.Job(id)
	return job != nil && see(job)
}

// Results implements fleet.Callers.
func (g *Gateway) Results(ctx context.Context, id string, after int, wait time.Duration) (fleet.ResultPage, error) {
	leave, err := g.enter()
	if err != nil {
		return fleet.ResultPage{}, err
	}
	defer leave()
	err = g.look(ctx, id, func(job *worklog.Job) bool { return after <= len(job.Results) })
	if err != nil {
		return fleet.ResultPage{}, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		found := g.find(id, after)
		if len(found.results) == 0 && found.open && g.unread(maxWorkAge) {
			return fleet.ResultPage{}, fleet.RetryAfter(fleet.ErrRefused.New("job %s may have results that are not known here", id), elsewhereRetryAfter)
		}
		if len(found.results) > 0 || !found.open || wait == 0 || g.closing.Load() {
			return g.page(ctx, id, after, found)
		}
		select {
		case <-found.changed:
		case <-timer.C:
			return g.page(ctx, id, after, found)
		case <-ctx.Done():
			return g.page(ctx, id, after, found)
		}
	}
}

// foundResults is what is known of a job's results from a position on.
type foundResults struct {
	total   int
	results []worklog.Result
	// open says that more will come, and changed is closed when that changes.
	open    bool
	changed <-chan struct{}
}

// find returns the results from a position on, as many as a page may hold.
func (g *Gateway) find(id string, after int) foundResults {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	job := g.fold.Job(id)
	if job == nil {
		return foundResults{changed: g.changed}
	}
	f := foundResults{total: len(job.Items), open: job.Open(), changed: g.changed}
	size := 0
	for _, r := range job.Results[min(after, len(job.Results)):] {
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

// page makes a page of what was found. It fails with ErrRefused where the store
// gives no output of any of the results.
func (g *Gateway) page(ctx context.Context, id string, after int, f foundResults) (fleet.ResultPage, error) {
	results, err := g.texts.resolve(ctx, id, f.results)
	if err != nil && len(results) == 0 {
		return fleet.ResultPage{}, fleet.RetryAfter(fleet.ErrRefused.Wrap(err, "results of job %s cannot be read now", id), jobRetryAfter)
	}
	return fleet.ResultPage{Total: f.total, Next: after + len(results), Results: results}, nil
}

// ItemBody implements fleet.Callers.
func (g *Gateway) ItemBody(ctx context.Context, id, item string) ([]byte, error) {
	var body []byte
	err := g.look(ctx, id, func(job *worklog.Job) bool {
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

// End implements fleet.Callers.
func (g *Gateway) End(ctx context.Context, id string) error {
	leave, err := g.enter()
	if err != nil {
		return err
	}
	defer leave()
	ended := false
	if err := g.look(ctx, id, func(job *worklog.Job) bool { ended = job.Ended; return true }); err != nil || ended {
		return err
	}
	if err := g.checkReach(ctx); err != nil {
		return err
	}
	record, err := g.writer.Record(worklog.Entry{End: &worklog.End{Job: id}})
	if err != nil {
		return err
	}
	_, err = g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
	klog.InfoS("job ended", "job", id, "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	switch {
	case err == nil:
		g.foldEnd(ctx, id)
		return nil
	case errorx.IsOfType(err, fleet.ErrUnknown):
		return fleet.ErrUncertain.Wrap(err, "the job may have been ended")
	default:
		return fleet.RetryAfter(fleet.ErrRefused.Wrap(err, "job not ended"), jobRetryAfter)
	}
}

// foldEnd reads the log up to the end that this gateway wrote. The end holds also
// where that fails: it is in the log.
func (g *Gateway) foldEnd(ctx context.Context, id string) {
	if err := g.workTail.CatchUp(ctx); err != nil {
		klog.InfoS("job's end not read back", "job", id, "error", protocol.CauseOf(err))
	}
}
