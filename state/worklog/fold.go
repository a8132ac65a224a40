package worklog

import (
	"slices"
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Fold is the state that the records make. It is not safe for concurrent use.
type Fold struct {
	jobs map[string]*Job
	// jobByAcceptKey are the jobs by the keys of their accepts.
	jobByAcceptKey map[string]string
	// acceptedJobs holds the jobs in the order of their accepts, open those that may
	// have items to do.
	acceptedJobs []*Job
	openJobs     []*Job
	// waitingTokens sums the tokens of each route's items that are still to be done.
	waitingTokens map[string]int64
	// lastHeard is when each writer was last heard of.
	lastHeard map[string]time.Time
	suspects  suspects
	// malformed counts records of another form.
	malformed int
}

// NewFold returns a fold without jobs.
func NewFold() *Fold {
	return &Fold{jobs: map[string]*Job{}, jobByAcceptKey: map[string]string{}, waitingTokens: map[string]int64{}, lastHeard: map[string]time.Time{}, suspects: suspects{byFingerprint: map[string]*suspect{}}}
}

// Apply folds records that follow those before. now is the process's monotonic
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

// recordKeys keeps the keys by which a job is forgotten.
func (f *Fold) recordKeys(key string, e *Entry) {
	job := f.jobs[e.job()]
	if job == nil {
		return
	}
	job.recordKeys = append(job.recordKeys, key)
	if e.Accept != nil {
		f.jobByAcceptKey[key] = job.Accept.Job.ID
	}
	if e.Done != nil && e.Done.Text != nil {
		job.textKeys = append(job.textKeys, e.Done.Text.Key)
	}
	if e.Save != nil && !slices.Contains(job.textKeys, SavedKey(e.Save.ItemRef)) {
		job.textKeys = append(job.textKeys, SavedKey(e.Save.ItemRef))
	}
}

// applyDeletion drops the job whose accept had the key, or what was heard of a writer.
// The deletion of another record changes nothing: its job is forgotten with it.
func (f *Fold) applyDeletion(key string) {
	if writer, found := strings.CutPrefix(key, heartbeatPrefix); found {
		delete(f.lastHeard, writer)
		return
	}
	if f.suspects.applyDeletion(key) {
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
	for _, k := range job.recordKeys {
		delete(f.jobByAcceptKey, k)
	}
	isJob := func(other *Job) bool { return other == job }
	f.acceptedJobs = slices.DeleteFunc(f.acceptedJobs, isJob)
	f.openJobs = slices.DeleteFunc(f.openJobs, isJob)
}

// subtractWaitingTokens takes the tokens of the job's open items off its route.
func (f *Fold) subtractWaitingTokens(job *Job) {
	for _, item := range job.Items {
		if !item.Done {
			f.waitingTokens[job.Accept.Route] -= item.Tokens
		}
	}
}

// ForgettableJobs returns up to most closed jobs that may be forgotten, those accepted
// first first.
func (f *Fold) ForgettableJobs(may func(*Job) bool, most int) []*Job {
	var jobs []*Job
	for _, job := range f.acceptedJobs {
		if len(jobs) == most {
			break
		}
		if !job.Open() && may(job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// WriterDeletions returns up to most deletions of what writers said that were last heard
// of before the time.
func (f *Fold) WriterDeletions(before time.Time, most int) []fleet.Record {
	var gone []fleet.Record
	for writer, heard := range f.lastHeard {
		if len(gone) < most && heard.Before(before) {
			gone = append(gone, fleet.Record{Key: heartbeatPrefix + writer})
		}
	}
	return gone
}

// maxRestoredAge bounds the age that a record's time of day is believed to show.
const maxRestoredAge = 2 * time.Minute

// Restore folds the newest records of a log that others have written for a while.
// wall is the time of day at now; it tells about how old the jobs are.
func (f *Fold) Restore(now, wall time.Time, records []fleet.Record) {
	f.Apply(now, records)
	for _, job := range f.acceptedJobs {
		age := wall.Sub(time.UnixMilli(job.Accept.AcceptedUnixMillis))
		job.AcceptedAt = now.Add(-min(max(0, age), maxRestoredAge))
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
		f.claim(offset, e.Writer, e.Claim)
	case e.Release != nil:
		f.release(e.Writer, e.Release)
	case e.Save != nil:
		f.save(e.Writer, e.Save)
	case e.Done != nil:
		f.done(now, e.Done)
	case e.Crash != nil:
		f.suspects.addCrash(now, r.Key, e.Crash)
	case e.Cleared != nil:
		f.suspects.clear(now, r.Key, e.Cleared.Fingerprint)
	}
}

func (f *Fold) accept(now time.Time, offset int64, writer string, a *Accept) {
	if f.jobs[a.Job.ID] != nil {
		return
	}
	job := &Job{Accept: a, Acceptor: writer, Offset: offset, AcceptedAt: now}
	for _, item := range a.Job.Items {
		ref := ItemRef{Job: a.Job.ID, Item: item.ID}
		job.Items = append(job.Items, &Item{Item: item, Ref: ref, Claim: NoClaim})
		f.waitingTokens[a.Route] += item.Tokens
	}
	f.jobs[a.Job.ID] = job
	f.acceptedJobs = append(f.acceptedJobs, job)
	f.openJobs = append(f.openJobs, job)
}

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
}

func (f *Fold) claim(offset int64, writer string, c *Claim) {
	for _, claimed := range c.Items {
		item := f.Item(claimed.ItemRef)
		if item == nil || item.Done || item.Claim != claimed.Replaces {
			continue
		}
		item.Claim = offset
		item.Holder = writer
	}
}

func (f *Fold) release(writer string, r *Release) {
	item := f.Item(r.ItemRef)
	if item == nil || item.Done || item.Holder != writer {
		return
	}
	item.Claim = NoClaim
	item.Holder = ""
	item.Progress = r.Progress
	item.Saved = nil
}

func (f *Fold) save(writer string, s *Save) {
	item := f.Item(s.ItemRef)
	if item != nil && !item.Done && item.Holder == writer {
		item.Saved = s
	}
}

func (f *Fold) done(now time.Time, d *Done) {
	job := f.jobs[d.Job]
	if job == nil || job.Ended {
		return
	}
	item := f.Item(ItemRef{Job: d.Job, Item: d.Item})
	if item == nil || item.Done {
		return
	}
	item.Done = true
	item.Progress = Progress{}
	item.Saved = nil
	job.Results = append(job.Results, Result{Item: d.Item, State: d.State, Text: d.Text})
	f.waitingTokens[job.Accept.Route] -= item.Tokens
	if !job.Open() {
		f.close(now, job)
	}
}

func (f *Fold) close(now time.Time, job *Job) {
	job.ClosedAt = now
	f.openJobs = slices.DeleteFunc(f.openJobs, func(other *Job) bool { return other == job })
}

// Job returns the job, nil if there is none.
func (f *Fold) Job(id string) *Job { return f.jobs[id] }

// Item returns the item, nil if there is none.
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

// OpenJobs returns the jobs with items to do, the oldest first.
func (f *Fold) OpenJobs() []*Job { return f.openJobs }

// WaitingTokens returns the tokens of the route's items that are still to be done.
func (f *Fold) WaitingTokens(route string) int64 { return f.waitingTokens[route] }

// LastHeard returns when a writer was last heard of, the zero time if never.
func (f *Fold) LastHeard(writer string) time.Time { return f.lastHeard[writer] }

// Malformed returns the number of records of another form.
func (f *Fold) Malformed() int { return f.malformed }
