package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// cleanupInterval is the time between two clean-ups. cleanupBatchSize bounds the jobs
	// and the writers that one clean-up deletes, and maxDeletionBytes bounds the records but for
	// those of the last job, so that they fit into one append.
	cleanupInterval  = 10 * time.Second
	cleanupBatchSize = 100
	maxDeletionBytes = 512 << 10
	// compactInterval is the time between two compactions of closed jobs. compactDelay is the
	// time from the end of a job to its compaction, within which the last records that
	// refer to it arrive.
	compactInterval = 2 * time.Second
	compactDelay    = time.Second
	// retentionFactor is the retention of a closed job as a multiple of the promised
	// time, and minRetention is the shortest retention: callers that were disconnected
	// may come back later than promised.
	retentionFactor = 5
	minRetention    = 10 * time.Minute
	// nonAcceptorFactor is the multiple of the retention after which gateways other than
	// the one that accepted a job delete it, since the acceptor may no longer exist.
	nonAcceptorFactor = 2
	// suspicionTTL is how long a request stays a suspect after its last crash.
	suspicionTTL = 10 * time.Minute
	// presenceTTL is how long the presence record of an instance is kept that has written
	// nothing. It is well above every lease.
	presenceTTL = 10 * time.Minute
)

// compactClosed deletes from the work log what no longer matters of the jobs that this
// instance has accepted and that are closed. When all processes start at the same moment,
// each reads the whole log, and the store's bandwidth decides how long that takes.
func (g *Gateway) compactClosed() error {
	for g.ctx.Err() == nil {
		pause.For(g.ctx, compactInterval)
		jobs, deletions := g.compactions()
		if err := g.deleteRecords(fleet.TopicWork, deletions); err != nil {
			klog.InfoS("closed jobs not compacted", "jobs", len(jobs), "records", len(deletions), "error", protocol.CauseOf(err))
			continue
		}
		g.jobsMu.Lock()
		for _, job := range jobs {
			job.Compacted()
		}
		g.jobsMu.Unlock()
	}
	return nil
}

// compactions returns closed jobs of this instance and the records that compact them, as
// many as fit into one append.
func (g *Gateway) compactions() (jobs []*worklog.Job, deletions []fleet.Record) {
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	isOwn := func(job *worklog.Job) bool { return worklog.SameInstance(job.Acceptor, g.writer.Name()) }
	for _, job := range g.fold.Compactable(time.Now().Add(-compactDelay), isOwn) {
		if deletionBytes(deletions) > maxDeletionBytes {
			break
		}
		jobs = append(jobs, job)
		deletions = append(deletions, job.Compaction()...)
	}
	return jobs, deletions
}

// deleteExpired deletes jobs from the store some time after they were done or ended.
// Otherwise every job would stay in the log for ever, and each process that starts
// would read it back and keep it in memory.
func (g *Gateway) deleteExpired() error {
	for g.ctx.Err() == nil {
		pause.For(g.ctx, cleanupInterval)
		g.deleteExpiredSuspects()
		g.deleteStalePresences()
		promised := g.node.Load().KeepResults
		if promised == 0 {
			continue // results are kept without limit
		}
		retention := max(retentionFactor*promised, minRetention)
		log, texts, jobs := g.expiredJobs(retention)
		if len(log) == 0 {
			continue
		}
		err := g.deleteRecords(fleet.TopicTexts, texts)
		if err == nil {
			err = g.deleteRecords(fleet.TopicWork, log)
		}
		klog.InfoS("jobs forgotten", "jobs", jobs, "records", len(log)+len(texts), "kept_for", retention, "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	}
	return nil
}

// deleteExpiredSuspects deletes the suspicions of requests whose last crash is older
// than suspicionTTL.
func (g *Gateway) deleteExpiredSuspects() {
	g.jobsMu.RLock()
	deletions := g.fold.SuspectDeletions(time.Now().Add(-suspicionTTL))
	g.jobsMu.RUnlock()
	if len(deletions) == 0 {
		return
	}
	err := g.deleteRecords(fleet.TopicWork, deletions)
	klog.InfoS("expired suspicions deleted", "records", len(deletions), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
}

// deleteStalePresences deletes the presence records of instances that are gone for good.
func (g *Gateway) deleteStalePresences() {
	g.jobsMu.RLock()
	deletions := g.fold.PresenceDeletions(time.Now().Add(-presenceTTL), cleanupBatchSize)
	g.jobsMu.RUnlock()
	if len(deletions) == 0 {
		return
	}
	err := g.deleteRecords(fleet.TopicWork, deletions)
	klog.InfoS("stale presences deleted", "records", len(deletions), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
}

// expiredJobs returns the records that delete expired jobs and inactive writers from the
// work log and the texts, and the number of jobs.
func (g *Gateway) expiredJobs(retention time.Duration) (log, texts []fleet.Record, jobs int) {
	now := time.Now()
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	isExpired := func(job *worklog.Job) bool {
		age := now.Sub(job.ClosedAt)
		return age > nonAcceptorFactor*retention || age > retention && job.Acceptor == g.writer.Name()
	}
	for _, job := range g.fold.ForgettableJobs(isExpired, cleanupBatchSize) {
		if deletionBytes(log) > maxDeletionBytes || deletionBytes(texts) > maxDeletionBytes {
			break
		}
		l, t := job.Deletions()
		log, texts = append(log, l...), append(texts, t...)
		jobs++
	}
	return append(log, g.fold.WriterDeletions(now.Add(-retention), cleanupBatchSize)...), texts, jobs
}

// deletionBytes returns an upper bound of the size of deletions in the store.
func deletionBytes(deletions []fleet.Record) int {
	const overhead = 8
	size := 0
	for _, r := range deletions {
		size += len(r.Key) + overhead
	}
	return size
}

// deleteRecords appends deletions. If the append fails, the next clean-up makes them
// again, since the jobs stay in the fold until the deletions are read back.
func (g *Gateway) deleteRecords(topic fleet.Topic, records []fleet.Record) error {
	if len(records) == 0 {
		return nil
	}
	_, err := g.params.Store.Append(g.ctx, topic, fleet.AnyOffset, records)
	return err
}
