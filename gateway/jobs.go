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
	// jobRetryAfter is the delay after which a caller whose call about a job was
	// refused should retry.
	jobRetryAfter = 500 * time.Millisecond
)

func (g *Gateway) resetJobs(records []fleet.Record) {
	fold := worklog.NewFold()
	fold.Apply(time.Now(), records)
	g.jobsMu.Lock()
	g.fold = fold
	g.accepts.Store(fold.Accepts())
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
func (g *Gateway) Submit(ctx context.Context, workspace *fleet.Workspace, route *fleet.Route, path string, job *fleet.Job) error {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return err
	}
	defer leave()
	begun := time.Now()
	name := fleet.NameOf(workspace)
	err = g.submit(ctx, route, path, job, name)
	g.metrics.observe(route, err, time.Since(begun))
	g.jobsMu.RLock()
	waiting := g.fold.WaitingTokens(route.Name, name)
	g.jobsMu.RUnlock()
	age, _ := g.workTail.Age()
	klog.InfoS("job submitted", "job", job.ID, "workspace", name, "route", route.Name, "version", g.configVersion(), "items", len(job.Items), "tokens", tokensOf(job),
		"tokens_waiting", waiting, "quota", route.TokenQuota, "log_age", age, "took", time.Since(begun), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	return err
}

func (g *Gateway) submit(ctx context.Context, route *fleet.Route, path string, job *fleet.Job, workspace string) error {
	if known, err := g.isKnown(job.ID, workspace); known || err != nil {
		return err
	}
	if err := g.checkStoreReachable(ctx); err != nil {
		return err
	}
	record, err := g.writer.Record(worklog.Entry{Accept: &worklog.Accept{
		Job: *job, Route: route.Name, Path: path, AcceptedUnixMillis: time.Now().UnixMilli(), ConfigVersion: g.configVersion(), Workspace: workspace,
		RetentionMillis: route.Retention.Milliseconds(),
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
		err = g.accept(ctx, route, job, workspace, record)
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
	case errorx.IsOfType(err, fleet.ErrUnstorable):
		return fleet.ErrTooLarge.Wrap(err, "job of %d bytes", len(record.Value))
	default:
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "job not accepted"), jobRetryAfter)
	}
}

// accept tries once to append the job's accept record, unless the job is known. It returns
// nil if the job is accepted. Each append has a key of its own: a copy of an accept whose
// answer was lost has no effect, but must not replace the first one.
func (g *Gateway) accept(ctx context.Context, route *fleet.Route, job *fleet.Job, workspace string, record fleet.Record) error {
	if known, err := g.isKnown(job.ID, workspace); known || err != nil {
		return err
	}
	record.Key = g.writer.NextKey()
	appendAt := func(offset int64) error {
		_, err := g.params.Store.Append(ctx, fleet.TopicWork, offset, []fleet.Record{record})
		return err
	}
	if g.judgeQuota(route, job, workspace) == jobquota.Append {
		return appendAt(fleet.AnyOffset)
	}
	return g.workTail.WhileCaughtUp(ctx, func() error {
		known, err := g.isKnown(job.ID, workspace)
		switch {
		case known || err != nil:
			return err
		case g.judgeQuota(route, job, workspace) == jobquota.Refuse:
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

// isKnown reports whether the job has been accepted for the workspace. It fails with
// ErrMalformed if another workspace has a job of this ID: a job can't be stored under an ID
// that is in use.
func (g *Gateway) isKnown(id, workspace string) (bool, error) {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	job := g.fold.Job(id)
	if job == nil {
		return false, nil
	}
	if owner := job.Accept.Workspace; owner != "" && workspace != "" && owner != workspace {
		return false, fleet.ErrMalformed.New("job ID %s is in use", id)
	}
	return true, nil
}

// judgeQuota returns how the workspace's job may be accepted according to the route's quota
// and the tokens that wait as far as this gateway knows.
func (g *Gateway) judgeQuota(route *fleet.Route, job *fleet.Job, workspace string) jobquota.Verdict {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	return jobquota.Decide(g.fold.WaitingTokens(route.Name, workspace), tokensOf(job), route.TokenQuota)
}

func tokensOf(job *fleet.Job) int64 {
	var tokens int64
	for _, item := range job.Items {
		tokens += item.Tokens
	}
	return tokens
}

// CancelJob implements fleet.CallerAPI.
func (g *Gateway) CancelJob(ctx context.Context, workspace *fleet.Workspace, id string) error {
	leave, err := g.trackRequest(jobCallLimit)
	if err != nil {
		return err
	}
	defer leave()
	ended := false
	if err := g.lookUpJob(ctx, workspace, id, "the end of the job", func(job *worklog.Job) bool { ended = job.Ended; return true }); err != nil || ended {
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
