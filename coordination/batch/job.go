package batch

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/state"
)

// job is what the scheduler keeps about one running job.
type job struct {
	*state.RunningJob
	owned bool
	// next is the first item never handed out.
	next int
	// returned holds items that were handed out and came back.
	returned []int
	// suspects holds items whose attempt failed; they run alone.
	suspects []int
	leases   map[int]*lease
	// failures counts failed attempts by item.
	failures map[int]int
	resume   map[int][]string
	progress progress
}

type lease struct {
	id      string
	expires time.Time
}

func newJob(r *state.RunningJob) *job {
	return &job{RunningJob: r, leases: map[int]*lease{}, failures: map[int]int{}, resume: map[int][]string{}}
}

// pending returns the number of items to hand out, some of which may have got
// a result meanwhile.
func (j *job) pending() int { return j.Items - j.next + len(j.returned) }

// takeNext removes the next item that done does not report: returned ones first.
func (j *job) takeNext(done func(job string, index int) bool) (int, bool) {
	for len(j.returned) > 0 {
		index := j.returned[0]
		j.returned = j.returned[1:]
		if j.leases[index] == nil && !done(j.Job, index) {
			return index, true
		}
	}
	for j.next < j.Items {
		index := j.next
		j.next++
		if !done(j.Job, index) {
			return index, true
		}
	}
	return 0, false
}

// requeue makes an item ready to be handed out again.
func (j *job) requeue(index int) {
	if j.failures[index] > 0 {
		j.suspects = append(j.suspects, index)
		return
	}
	j.returned = append(j.returned, index)
}

// holds reports whether the lease is in force.
func (j *job) holds(index int, leaseID string) bool {
	l := j.leases[index]
	return l != nil && l.id == leaseID
}

// release ends a lease. It reports false where the lease is not in force.
func (j *job) release(index int, leaseID string) bool {
	if !j.holds(index, leaseID) {
		return false
	}
	delete(j.leases, index)
	return true
}

// expire ends lapsed leases. It reports whether there were any.
func (j *job) expire(now time.Time) bool {
	var lapsed []int
	for index, l := range j.leases {
		if now.After(l.expires) {
			lapsed = append(lapsed, index)
		}
	}
	slices.Sort(lapsed)
	for _, index := range lapsed {
		delete(j.leases, index)
		j.requeue(index)
	}
	return len(lapsed) > 0
}

func (j *job) finish(now time.Time, index int) {
	delete(j.leases, index)
	delete(j.resume, index)
	delete(j.failures, index)
	j.progress.add(now)
}

// progress measures how fast a job's items finish.
type progress struct {
	startedAt time.Time
	finished  int
}

// minFinished is the number of results from which a job's rate is estimated.
const minFinished = 16

func (p *progress) add(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.finished++
}

// atRisk reports whether the job will be late at the rate so far.
func (j *job) atRisk(now time.Time) bool {
	p := &j.progress
	if p.finished < minFinished {
		return false
	}
	perItem := now.Sub(p.startedAt) / time.Duration(p.finished)
	left := time.Duration(j.pending()+len(j.suspects)+len(j.leases)) * perItem
	return now.Add(left).After(time.UnixMilli(j.DueUnixMillis))
}
