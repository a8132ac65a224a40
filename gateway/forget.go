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
	// forgetInterval is the time between two looks for what may be forgotten;
	// forgetAtOnce bounds the jobs and writers, maxDeletions about the records, that
	// are forgotten then, so that they fit into one append.
	forgetInterval = 10 * time.Second
	forgetAtOnce   = 100
	maxDeletions   = 10_000
	// keepFactor is how many times the promised time a closed job is kept, and
	// keepAtLeast the shortest time: callers that were away come later than they
	// should.
	keepFactor  = 5
	keepAtLeast = 10 * time.Minute
	// othersFactor is how much longer than its acceptor other gateways wait with a
	// job, for which the acceptor may no longer be there.
	othersFactor = 2
	// quarantineTime is how long after its last crash a request is suspected.
	quarantineTime = 10 * time.Minute
)

// forgetOld deletes jobs from the store, some time after they were done or ended.
// It answers a log in which every job would stay for ever, which each process that
// starts reads back and keeps.
func (g *Gateway) forgetOld() error {
	for g.ctx.Err() == nil {
		pause.For(g.ctx, forgetInterval)
		g.forgetSuspects()
		promised := g.node.Load().KeepResults
		if promised == 0 {
			continue // without an end
		}
		keep := max(keepFactor*promised, keepAtLeast)
		log, texts, jobs := g.forgettable(keep)
		if len(log) == 0 {
			continue
		}
		err := g.deleteRecords(fleet.TopicTexts, texts)
		if err == nil {
			err = g.deleteRecords(fleet.TopicWork, log)
		}
		klog.InfoS("jobs forgotten", "jobs", jobs, "records", len(log)+len(texts), "kept_for", keep, "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
	}
	return nil
}

// forgetSuspects deletes what is known of requests whose last crash is long ago.
func (g *Gateway) forgetSuspects() {
	g.jobsMu.RLock()
	gone := g.fold.SuspectDeletions(time.Now().Add(-quarantineTime))
	g.jobsMu.RUnlock()
	if len(gone) == 0 {
		return
	}
	err := g.deleteRecords(fleet.TopicWork, gone)
	klog.InfoS("suspects forgotten", "records", len(gone), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
}

// forgettable returns the records that delete what is old, and the number of jobs.
func (g *Gateway) forgettable(keep time.Duration) (log, texts []fleet.Record, jobs int) {
	now := time.Now()
	g.jobsMu.RLock()
	defer g.jobsMu.RUnlock()
	old := func(job *worklog.Job) bool {
		age := now.Sub(job.ClosedAt)
		return age > othersFactor*keep || age > keep && job.Acceptor == g.writer.Name()
	}
	for _, job := range g.fold.ForgettableJobs(old, forgetAtOnce) {
		if len(log) > maxDeletions {
			break
		}
		l, t := job.Deletions()
		log, texts = append(log, l...), append(texts, t...)
		jobs++
	}
	return append(log, g.fold.WriterDeletions(now.Add(-keep), forgetAtOnce)...), texts, jobs
}

// deleteRecords appends deletions. Where it fails they are made again at the next
// look, since the jobs stay until the deletions are read back.
func (g *Gateway) deleteRecords(topic fleet.Topic, records []fleet.Record) error {
	if len(records) == 0 {
		return nil
	}
	_, err := g.params.Store.Append(g.ctx, topic, fleet.AnyOffset, records)
	return err
}
