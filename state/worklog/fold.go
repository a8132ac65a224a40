package worklog

import (
	"slices"
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Fold is the state that results from the records. It is not safe for concurrent use.
type Fold struct {
	jobs map[string]*Job
	// accepts holds how each of them was accepted.
	accepts *Accepts
	// jobByAcceptKey holds the IDs of jobs by the keys of their accept records.
	jobByAcceptKey map[string]string
	// acceptedJobs holds all jobs in the order of their accepts, openJobs those that
	// may have unfinished items.
	acceptedJobs []*Job
	openJobs     []*Job
	// jobsByHost is the number of jobs by the host of their route.
	jobsByHost map[string]int
	// waitingTokens is the sum of the tokens of unfinished items by route and workspace.
	waitingTokens map[quotaKey]int64
	// lastHeard is when this process last applied a record of each writer.
	lastHeard map[string]time.Time
	// lastClaimed is when this process last applied a claim of each writer.
	lastClaimed map[string]time.Time
	suspects    suspects
	presences   presences
	// malformed counts records that could not be decoded.
	malformed int
}

// quotaKey identifies the jobs whose waiting tokens are limited together.
type quotaKey struct{ route, workspace string }

func quotaKeyOf(a *Accept) quotaKey { return quotaKey{a.Route, a.Workspace} }

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{
		jobs: map[string]*Job{}, accepts: &Accepts{}, jobByAcceptKey: map[string]string{}, jobsByHost: map[string]int{}, waitingTokens: map[quotaKey]int64{},
		lastHeard: map[string]time.Time{}, lastClaimed: map[string]time.Time{}, suspects: newSuspects(),
	}
}

// Apply folds records that follow those applied before. now is the process's monotonic
// time.
func (f *Fold) Apply(now time.Time, records []fleet.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			f.applyDeletion(r.Key)
			continue
		}
		e, ok := decode(r)
		if !ok {
			f.malformed++
			continue
		}
		f.lastHeard[e.Writer] = now
		f.apply(now, r, &e)
		f.recordKeys(r.Key, &e)
	}
}

// recordKeys remembers the keys of a job's records and texts, which are deleted when
// the job is forgotten.
func (f *Fold) recordKeys(key string, e *Entry) {
	job := f.jobs[e.job()]
	if job == nil {
		return
	}
	job.recordKeys = append(job.recordKeys, key)
	if e.Accept != nil {
		f.jobByAcceptKey[key] = job.Accept.Job.ID
	}
	if f.isTransient(key, e) {
		job.transientKeys = append(job.transientKeys, key)
	}
	if e.Done != nil && e.Done.Text != nil {
		job.textKeys = append(job.textKeys, e.Done.Text.Key)
	}
	if e.Save != nil && !slices.Contains(job.textKeys, SavedKey(e.Save.ItemRef)) {
		job.textKeys = append(job.textKeys, SavedKey(e.Save.ItemRef))
	}
}

// isTransient reports whether the record matters only while its job is open.
func (f *Fold) isTransient(key string, e *Entry) bool {
	if e.Done != nil {
		return f.jobs[e.Done.Job].resultKeys[e.Done.Item] != key
	}
	return e.Claim != nil || e.Release != nil || e.Save != nil
}

// applyDeletion applies the deletion of a key: it drops the job whose accept record had
// the key, the writer whose heartbeat it was, or the suspect whose crash it reported.
// Deletions of a job's other records have no effect, since all records of a job are
// deleted together.
func (f *Fold) applyDeletion(key string) {
	if writer, found := strings.CutPrefix(key, heartbeatPrefix); found {
		delete(f.lastHeard, writer)
		delete(f.lastClaimed, writer)
		return
	}
	if f.presences.applyDeletion(key) || f.suspects.applyDeletion(key) {
		return
	}
	id, found := f.jobByAcceptKey[key]
	if !found {
		return
	}
	job := f.jobs[id]
	if job.Open() {
		f.subtractWaitingTokens(job)
	}
	delete(f.jobs, id)
	f.accepts.byID.Delete(id)
	f.countJob(job, -1)
	for _, k := range job.recordKeys {
		delete(f.jobByAcceptKey, k)
	}
	isJob := func(other *Job) bool { return other == job }
	f.acceptedJobs = slices.DeleteFunc(f.acceptedJobs, isJob)
	f.openJobs = slices.DeleteFunc(f.openJobs, isJob)
}

// subtractWaitingTokens subtracts the tokens of the job's unfinished items from those of
// its route.
func (f *Fold) subtractWaitingTokens(job *Job) {
	for _, item := range job.Items {
		if !item.Done {
			f.waitingTokens[quotaKeyOf(job.Accept)] -= item.Tokens
		}
	}
}

// ForgettableJobs returns up to limit closed jobs for which allowed returns true, in the
// order of their acceptance.
func (f *Fold) ForgettableJobs(allowed func(*Job) bool, limit int) []*Job {
	var jobs []*Job
	for _, job := range f.acceptedJobs {
		if len(jobs) == limit {
			break
		}
		if !job.Open() && allowed(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Compactable returns the jobs for which allowed returns true, that were closed before the
// given time and of which records can be deleted by Compaction.
func (f *Fold) Compactable(closedBefore time.Time, allowed func(*Job) bool) []*Job {
	var jobs []*Job
	for _, job := range f.acceptedJobs {
		if !job.Open() && len(job.transientKeys) > 0 && job.ClosedAt.Before(closedBefore) && allowed(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// WriterDeletions returns up to limit records that delete the heartbeats of writers that
// were last heard of before the given time.
func (f *Fold) WriterDeletions(before time.Time, limit int) []fleet.Record {
	var deletions []fleet.Record
	for writer, heard := range f.lastHeard {
		if len(deletions) < limit && heard.Before(before) {
			deletions = append(deletions, fleet.Record{Key: heartbeatPrefix + writer})
		}
	}
	return deletions
}

// maxRestoredAge bounds the age that Restore derives from the time of day in an accept
// record, since clocks differ between processes and may jump.
const maxRestoredAge = 2 * time.Minute

// Restore folds the newest records of a log to which other processes may have been
// writing for some time. wall is the time of day at now, from which the ages of the
// jobs are estimated.
func (f *Fold) Restore(now, wall time.Time, records []fleet.Record) {
	f.Apply(now, records)
	for _, job := range f.acceptedJobs {
		age := wall.Sub(time.UnixMilli(job.Accept.AcceptedUnixMillis))
		job.AcceptedAt = now.Add(-min(max(0, age), maxRestoredAge))
	}
}

// KeepAges takes over since when this process has known of the jobs from the fold that f replaces.
func (f *Fold) KeepAges(replaced *Fold) {
	for id, job := range f.jobs {
		if old := replaced.jobs[id]; old != nil && old.Offset == job.Offset {
			job.KnownSince = old.KnownSince
		}
	}
}

func (f *Fold) apply(now time.Time, r fleet.Record, e *Entry) {
	offset := r.Offset
	switch {
	case e.Accept != nil:
		f.accept(now, offset, e.Writer, e.Accept)
	case e.End != nil:
		f.end(now, e.End)
	case e.Claim != nil:
		f.lastClaimed[e.Writer] = now
		f.claim(offset, e.Writer, e.Claim)
	case e.Release != nil:
		f.release(now, e.Writer, e.Release)
	case e.Save != nil:
		f.save(e.Writer, e.Save)
	case e.Done != nil:
		f.done(now, r.Key, e.Done)
	case e.Crash != nil:
		f.suspects.addCrash(now, r, e.Crash)
	case e.Cleared != nil:
		f.suspects.clear(now, r.Key, e.Cleared.Fingerprint)
	case e.PartCleared != nil:
		f.suspects.setPart(now, r, e.PartCleared.Part, false)
	case e.PartQuarantined != nil:
		f.suspects.setPart(now, r, e.PartQuarantined.Part, true)
	case e.Presence != nil:
		f.presences.add(PresentGateway{*e.Presence, e.Writer, offset})
	}
}

func (f *Fold) accept(now time.Time, offset int64, writer string, a *Accept) {
	if f.jobs[a.Job.ID] != nil {
		return
	}
	job := &Job{Accept: a, Acceptor: writer, Offset: offset, AcceptedAt: now, KnownSince: now, resultKeys: map[string]string{}}
	for _, item := range a.Job.Items {
		ref := ItemRef{Job: a.Job.ID, Item: item.ID}
		job.Items = append(job.Items, &Item{Item: item, Ref: ref, Claim: NoClaim, FreeSince: now})
		f.waitingTokens[quotaKeyOf(a)] += item.Tokens
	}
	f.jobs[a.Job.ID] = job
	f.accepts.byID.Store(a.Job.ID, a)
	f.countJob(job, 1)
	f.acceptedJobs = append(f.acceptedJobs, job)
	f.openJobs = append(f.openJobs, job)
}

// countJob adds n to the number of jobs of the job's host.
func (f *Fold) countJob(job *Job, n int) {
	host := job.Accept.Job.Host
	if f.jobsByHost[host] += n; f.jobsByHost[host] == 0 {
		delete(f.jobsByHost, host)
	}
}

// HasJobsOf reports whether there are jobs of the host, finished ones included.
func (f *Fold) HasJobsOf(host string) bool { return f.jobsByHost[host] > 0 }

func (f *Fold) end(now time.Time, e *End) {
	job := f.jobs[e.Job]
	if job == nil || job.Ended {
		return
	}
	if job.Open() {
		f.subtractWaitingTokens(job)
		f.close(now, job)
	}
	job.Ended = true
	for _, item := range job.Items {
		item.free()
	}
}

// free drops the holder and the progress of an item that nobody runs any more.
func (i *Item) free() {
	i.Claim, i.Holder, i.FreeSince = NoClaim, "", time.Time{}
	i.Progress, i.Saved = Progress{}, nil
}

func (f *Fold) claim(offset int64, writer string, c *Claim) {
	for _, claimed := range c.Items {
		item := f.Item(claimed.ItemRef)
		if item == nil || f.isClosed(claimed.ItemRef, item) || item.Claim != claimed.Replaces {
			continue
		}
		item.Claim = offset
		item.Holder = writer
	}
}

func (f *Fold) release(now time.Time, writer string, r *Release) {
	item := f.Item(r.ItemRef)
	if item == nil || f.isClosed(r.ItemRef, item) || item.Holder != writer {
		return
	}
	item.Claim = NoClaim
	item.Holder = ""
	item.FreeSince = now
	item.Progress = r.Progress
	item.Saved = nil
}

func (f *Fold) save(writer string, s *Save) {
	item := f.Item(s.ItemRef)
	if item != nil && !f.isClosed(s.ItemRef, item) && item.Holder == writer {
		item.Saved = s
	}
}

// isClosed reports whether the item has a result or its job has ended.
func (f *Fold) isClosed(ref ItemRef, item *Item) bool { return item.Done || f.jobs[ref.Job].Ended }

func (f *Fold) done(now time.Time, key string, d *Done) {
	job := f.jobs[d.Job]
	if job == nil || job.Ended {
		return
	}
	item := f.Item(ItemRef{Job: d.Job, Item: d.Item})
	if item == nil || item.Done {
		return
	}
	item.Done = true
	job.resultKeys[d.Item] = key
	item.free()
	job.Results = append(job.Results, Result{Item: d.Item, State: d.State, Text: d.Text})
	f.waitingTokens[quotaKeyOf(job.Accept)] -= item.Tokens
	if !job.Open() {
		f.close(now, job)
	}
}

func (f *Fold) close(now time.Time, job *Job) {
	job.ClosedAt = now
	f.openJobs = slices.DeleteFunc(f.openJobs, func(other *Job) bool { return other == job })
}

// Accepts returns how the jobs were accepted. It changes with the fold.
func (f *Fold) Accepts() *Accepts { return f.accepts }

// Job returns the job with the given ID, or nil if there is none.
func (f *Fold) Job(id string) *Job { return f.jobs[id] }

// Item returns the item, or nil if there is none.
func (f *Fold) Item(ref ItemRef) *Item {
	job := f.jobs[ref.Job]
	if job == nil {
		return nil
	}
	for _, item := range job.Items {
		if item.Ref.Item == ref.Item {
			return item
		}
	}
	return nil
}

// OpenJobs returns the jobs with unfinished items, oldest first.
func (f *Fold) OpenJobs() []*Job { return f.openJobs }

// WaitingTokens returns the sum of the tokens of the workspace's unfinished items on the
// route. Jobs without a workspace count together, under the empty name.
func (f *Fold) WaitingTokens(route, workspace string) int64 {
	return f.waitingTokens[quotaKey{route, workspace}]
}

// LastHeard returns when this process last applied a record of the writer. It is the
// zero time if there was none.
func (f *Fold) LastHeard(writer string) time.Time { return f.lastHeard[writer] }

// Claimants returns the names of the writers that have claimed items since the given
// time, as far as this process knows. It forgets the others.
func (f *Fold) Claimants(since time.Time) []string {
	names := make([]string, 0, len(f.lastClaimed))
	for name, claimed := range f.lastClaimed {
		if claimed.Before(since) {
			delete(f.lastClaimed, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// Malformed returns the number of records that could not be decoded.
func (f *Fold) Malformed() int { return f.malformed }
