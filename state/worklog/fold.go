package worklog

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Fold is the state that the records make. It is not safe for concurrent use.
type Fold struct {
	jobs map[string]*Job
	// order holds the jobs in the order of their accepts, open those that may
	// have items to do.
	order []*Job
	open  []*Job
	// waiting sums the tokens of each route's items that are still to be done.
	waiting map[string]int64
	// heard is when each writer was last heard of.
	heard map[string]time.Time
	// malformed counts records of another form.
	malformed int
}

// NewFold returns a fold without jobs.
func NewFold() *Fold {
	return &Fold{jobs: map[string]*Job{}, waiting: map[string]int64{}, heard: map[string]time.Time{}}
}

// Apply folds records that follow those before. now is the process's monotonic
// time.
func (f *Fold) Apply(now time.Time, records []fleet.Record) {
	for _, r := range records {
		e, ok := decode(r)
		if !ok {
			if len(r.Value) > 0 {
				f.malformed++
			}
			continue
		}
		f.heard[e.Writer] = now
		f.apply(now, r.Offset, &e)
	}
}

// maxHintedAge bounds the age that a record's time of day is believed to show.
const maxHintedAge = 2 * time.Minute

// Restore folds the newest records of a log that others have written for a while.
// wall is the time of day at now; it tells about how old the jobs are.
func (f *Fold) Restore(now, wall time.Time, records []fleet.Record) {
	f.Apply(now, records)
	for _, job := range f.order {
		age := wall.Sub(time.UnixMilli(job.Accept.AtMillis))
		job.Seen = now.Add(-min(max(0, age), maxHintedAge))
	}
}

func (f *Fold) apply(now time.Time, offset int64, e *Entry) {
	switch {
	case e.Accept != nil:
		f.accept(now, offset, e.Accept)
	case e.End != nil:
		f.end(e.End)
	case e.Claim != nil:
		f.claim(offset, e.Writer, e.Claim)
	case e.Release != nil:
		f.release(e.Writer, e.Release)
	case e.Done != nil:
		f.done(e.Done)
	}
}

func (f *Fold) accept(now time.Time, offset int64, a *Accept) {
	if f.jobs[a.Job.ID] != nil {
		return
	}
	job := &Job{Accept: a, Offset: offset, Seen: now}
	for _, item := range a.Job.Items {
		ref := ItemRef{Job: a.Job.ID, Item: item.ID}
		job.Items = append(job.Items, &Item{Item: item, Ref: ref, Claim: NoClaim})
		f.waiting[a.Route] += item.Tokens
	}
	f.jobs[a.Job.ID] = job
	f.order = append(f.order, job)
	f.open = append(f.open, job)
}

func (f *Fold) end(e *End) {
	job := f.jobs[e.Job]
	if job == nil || job.Ended {
		return
	}
	job.Ended = true
	for _, item := range job.Items {
		if !item.Done {
			f.waiting[job.Accept.Route] -= item.Tokens
		}
	}
	f.close(job)
}

func (f *Fold) claim(offset int64, writer string, c *Claim) {
	for _, claimed := range c.Items {
		item := f.Item(claimed.ItemRef)
		if item == nil || item.Done || item.Claim != claimed.Over {
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
}

func (f *Fold) done(d *Done) {
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
	job.Results = append(job.Results, Result{Item: d.Item, State: d.End, Text: d.Text})
	f.waiting[job.Accept.Route] -= item.Tokens
	if !job.Open() {
		f.close(job)
	}
}

func (f *Fold) close(job *Job) {
	for i, open := range f.open {
		if open == job {
			f.open = append(f.open[:i], f.open[i+1:]...)
			return
		}
	}
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
func (f *Fold) OpenJobs() []*Job { return f.open }

// Waiting returns the tokens of the route's items that are still to be done.
func (f *Fold) Waiting(route string) int64 { return f.waiting[route] }

// Heard returns when a writer was last heard of, the zero time if never.
func (f *Fold) Heard(writer string) time.Time { return f.heard[writer] }

// Malformed returns the number of records of another form.
func (f *Fold) Malformed() int { return f.malformed }
