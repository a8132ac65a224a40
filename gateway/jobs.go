package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/jobquota"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// submitTimeout bounds the attempts to accept a job. After it the caller tries
	// another gateway.
	submitTimeout = 1500 * time.Millisecond
	// jobCallLimit is the time that a call about a job may take while the gateway drains.
	jobCallLimit = 2 * time.Second
	// submitRetryDelay is the delay between two attempts to accept a job.
	submitRetryDelay = 10 * time.Millisecond
	// maxPageBytes bounds the text of one page of results.
	maxPageBytes = 800 << 10
	// maxResultWait bounds how long a read of results may wait for the next result.
	maxResultWait = 2 * time.Second
	// jobRetryAfter is the delay after which a caller whose call about a job was
	// refused should retry.
	jobRetryAfter = 500 * time.Millisecond
)

func (g *Gateway) resetJobs(records []fleet.Record) {
	fold := worklog.NewFold()
	fold.Apply(time.Now(), records)
	g.jobsMu.Lock()
	g.fold = fold
	g.rebuiltAt = time.Now()
	g.crashes.publish(fold)
	g.notifyWaiters()
	g.jobsMu.Unlock()
	klog.InfoS("work log read", "records", len(records), "open_jobs", len(fold.OpenJobs()), "malformed", fold.Malformed())
}

func (g *Gateway) applyJobs(records []fleet.Record) {
	g.jobsMu.Lock()
	defer g.jobsMu.Unlock()
	g.fold.Apply(time.Now(), records)
	g.crashes.publish(g.fold)
	g.notifyWaiters()
}

// notifyWaiters wakes the goroutines that wait for a change of the fold. jobsMu must be
// held.
func (g *Gateway) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Submit implements fleet.CallerAPI. A job that several gateways accept counts once, by
// its first record in the log. Near the quota the append is conditional: it succeeds only
// if the log ends at the offset up to which this gateway has folded it, and therefore
// means that the job fits.
func (g *Gateway) Submit(ctx context.Context, route *fleet.Route, path string, job *fleet.Job) error {
	leave, err := g.trackRequest(jobCallLimit)
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
	klog.InfoS("job submitted", "job", job.ID, "route", route.Name, "version", g.configVersion(), "items", len(job.Items), "tokens", tokensOf(job),
		"tokens_waiting", waiting, "quota", route.TokenQuota, "log_age", age, "took", time.Since(begun), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	return err
}

func (g *Gateway) submit(ctx context.Context, route *fleet.Route, path string, job *fleet.Job) error {
	if g.hasJob(job.ID) {
		return nil
	}
	if err := g.checkStoreReachable(ctx); err != nil {
		return err
	}
	record, err := g.writer.Record(worklog.Entry{Accept: &worklog.Accept{
		Job: *job, Route: route.Name, Path: path, AcceptedUnixMillis: time.Now().UnixMilli(), ConfigVersion: g.configVersion(),
	}})
	if err != nil {
		return err
	}
	if limit := g.node.Load().MaxRecordBytes; limit > 0 && len(record.Value)+len(record.Key) >= limit {
		return fleet.ErrTooLarge.New("job of %d bytes", len(record.Value))
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	mayBeAppended := false
	err = fleet.ErrStoreUnavailable.New("context ended before the first append")
	for ctx.Err() == nil {
		err = g.accept(ctx, route, job, record)
		if errorx.IsOfType(err, fleet.ErrStoreOutcomeUnknown) {
			mayBeAppended = true
			_ = g.workTail.CatchUp(ctx) // shows whether it was; the next attempt fails if the store is down
		} else if !errorx.IsOfType(err, fleet.ErrTopicEndMoved) {
			break
		}
		pause.For(ctx, submitRetryDelay)
	}
	switch {
	case err == nil:
		return nil
	case mayBeAppended:
		return fleet.ErrOutcomeUnknown.Wrap(err, "the job may have been accepted")
	case errorx.IsOfType(err, fleet.ErrQuotaExceeded):
		return err
	default:
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "job not accepted"), jobRetryAfter)
	}
}

// accept tries once to append the job's accept record, unless the job is known. It returns
// nil if the job is accepted. Each append has a key of its own: a copy of an accept whose
// answer was lost has no effect, but must not replace the first one.
func (g *Gateway) accept(ctx context.Context, route *fleet.Route, job *fleet.Job, record fleet.Record) error {
	if g.hasJob(job.ID) {
		return nil
	}
	record.Key = g.writer.NextKey()
	appendAt := func(offset int64) error {
		_, err := g.params.Store.Append(ctx, fleet.TopicWork, offset, []fleet.Record{record})
		return err
	}
	if g.judgeQuota(route, job) == jobquota.Append {
		return appendAt(fleet.AnyOffset)
	}
	return g.workTail.WhileCaughtUp(ctx, func() error {
		switch {
		case g.hasJob(job.ID):
			return nil
		case g.judgeQuota(route, job) == jobquota.Refuse:
			return fleet.WithRetryAfter(fleet.ErrQuotaExceeded.New("%d more tokens exceed the quota of %d", tokensOf(job), route.TokenQuota), jobRetryAfter)
		}
		return appendAt(g.workTail.Next())
	})
}

// configVersion returns the version of the configuration in force, 0 if there is none. It
// is not older than the one that a request in flight was matched by.
func (g *Gateway) configVersion() int64 {
	if c := g.configs.Current(); c != nil {
		return c.Version
	}
	return 0
}

func (g *Gateway) hasJob(job string) bool {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	return g.fold.Job(job) != nil
}

// judgeQuota returns how the job may be accepted according to the route's quota and the
// tokens that wait as far as this gateway knows.
func (g *Gateway) judgeQuota(route *fleet.Route, job *fleet.Job) jobquota.Verdict {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	return jobquota.Decide(g.fold.WaitingTokens(route.Name), tokensOf(job), route.TokenQuota)
}

func tokensOf(job *fleet.Job) int64 {
	var tokens int64
	for _, item := range job.Items {
		tokens += item.Tokens
	}
	return tokens
}

// lookUpJob calls visit with the job. visit reports whether it found what it looks for,
// which sought describes for the log. If the job is unknown or visit returns false,
// lookUpJob reads the log to its end and tries once more. It returns ErrRefused if the log
// cannot be read, and ErrUnknownJob if the second try fails as well.
func (g *Gateway) lookUpJob(ctx context.Context, id, sought string, visit func(*worklog.Job) bool) error {
	if g.viewJob(id, visit) {
		return nil
	}
	if err := g.catchUp(ctx); err != nil {
		return err
	}
	if g.viewJob(id, visit) {
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
func (g *Gateway) IsAccepted(ctx context.Context, host, id string) error {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return err
	}
	defer leave()
	return g.lookUpJob(ctx, id, "the job on host "+host, func(job *worklog.Job) bool { return job.Accept.Job.Host == host })
}

// Results implements fleet.CallerAPI.
func (g *Gateway) Results(ctx context.Context, id string, after int, wait time.Duration) (fleet.ResultPage, error) {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return fleet.ResultPage{}, err
	}
	defer leave()
	if err := g.lookUpPosition(ctx, id, after); err != nil {
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
func (g *Gateway) lookUpPosition(ctx context.Context, id string, position int) error {
	if err := g.lookUpJob(ctx, id, "its results", func(*worklog.Job) bool { return true }); err != nil {
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
func (g *Gateway) ItemBody(ctx context.Context, id, item string) ([]byte, error) {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return nil, err
	}
	defer leave()
	var body []byte
	err = g.lookUpJob(ctx, id, "the body of item "+item, func(job *worklog.Job) bool {
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

// CancelJob implements fleet.CallerAPI.
func (g *Gateway) CancelJob(ctx context.Context, id string) error {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return err
	}
	defer leave()
	ended := false
	if err := g.lookUpJob(ctx, id, "the end of the job", func(job *worklog.Job) bool { ended = job.Ended; return true }); err != nil || ended {
		return err
	}
	if err := g.checkStoreReachable(ctx); err != nil {
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
		g.readBackEnd(ctx, id)
		return nil
	case errorx.IsOfType(err, fleet.ErrStoreOutcomeUnknown):
		return fleet.ErrOutcomeUnknown.Wrap(err, "the job may have been ended")
	default:
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "job not ended"), jobRetryAfter)
	}
}

// readBackEnd reads the work log up to the end record that this gateway appended. If
// that fails the job is ended nevertheless, since the record is in the log.
func (g *Gateway) readBackEnd(ctx context.Context, id string) {
	if err := g.workTail.CatchUp(ctx); err != nil {
		klog.InfoS("end of job appended but not read back", "job", id, "error", protocol.CauseOf(err))
	}
}
