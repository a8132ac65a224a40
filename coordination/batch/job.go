package batch

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/state"
)

// job is the scheduler's state of one running job.
type job struct {
	*state.RunningJob
	owned bool
	// next is the first item that was never assigned.
	next int
	// returned holds items that were assigned and are to be assigned again.
	returned []int
	// suspects holds items that had a failed attempt and must run alone.
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

// pending returns the number of items to assign. It counts items that have got a
// result in the meantime, too.
func (j *job) pending() int { return j.Items - j.next + len(j.returned) }

// takeNext removes and returns the next item that is not done, returned items
// first.
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

// requeue queues an item to be assigned again.
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

// release ends a lease. It reports false if the lease is not in force.
func (j *job) release(index int, leaseID string) bool {
	if !j.holds(index, leaseID) {
		return false
	}
	delete(j.leases, index)
	return true
}

// expire ends expired leases and requeues their items. It reports whether there
// were any.
func (j *job) expire(now time.Time) bool {
	var expired []int
	for index, l := range j.leases {
		if now.After(l.expires) {
			expired = append(expired, index)
		}
	}
	slices.Sort(expired)
	for _, index := range expired {
		delete(j.leases, index)
		j.requeue(index)
	}
	return len(expired) > 0
}

func (j *job) finish(now time.Time, index int) {
	delete(j.leases, index)
	delete(j.resume, index)
	delete(j.failures, index)
	j.progress.add(now)
}

// progress measures the rate at which a job's items finish.
type progress struct {
	startedAt time.Time
	finished  int
}

// minFinished is the smallest number of results from which a job's rate is
// estimated.
const minFinished = 16

func (p *progress) add(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.finished++
}

// atRisk reports whether the job will miss its due time at its rate so far.
func (j *job) atRisk(now time.Time) bool {
	p := &j.progress
	if p.finished < minFinished {
		return false
	}
	perItem := now.Sub(p.startedAt) / time.Duration(p.finished)
	left := time.Duration(j.pending()+len(j.suspects)+len(j.leases)) * perItem
	return now.Add(left).After(time.UnixMilli(j.DueUnixMillis))
}
