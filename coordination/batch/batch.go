// Package batch hands out the items of jobs under leases. A lease saves double
// effort and decides nothing: the first result of an item in the log counts,
// whoever computed it.
package batch

import (
	"time"

	"github.com/sycamoretally/sycamoretally/state"
)

// LeaseTime is how long an item is kept from others without a renewal.
const LeaseTime = 10 * time.Second

// MaxAttempts is how often an item may fail before it gets a failed result.
const MaxAttempts = 3

// Jobs is the view of the folded jobs that the scheduler needs.
type Jobs interface {
	// Running returns the running jobs in the order in which to serve them.
	Running() []state.Job
	// ItemDone reports whether the item needs no more work.
	ItemDone(job string, index int) bool
}

// Ref names an item under a lease.
type Ref struct {
	Job     string
	Index   int
	Service string
	Lease   string
	// Resume is the text that an earlier holder generated.
	Resume []string
}

// Scheduler hands out items. It is not safe for concurrent use.
type Scheduler struct {
	jobs  Jobs
	owned func(job string) bool
	newID func() string
	byJob map[string]*jobState
}

type jobState struct {
	// next is the first item never handed out.
	next   int
	again  []int
	leases map[int]*lease
	// failures counts failed attempts by item.
	failures map[int]int
	resume   map[int][]string
}

type lease struct {
	id      string
	expires time.Time
}

// New returns a scheduler over the jobs for which owned reports true. newID
// names leases.
func New(jobs Jobs, owned func(job string) bool, newID func() string) *Scheduler {
	return &Scheduler{jobs: jobs, owned: owned, newID: newID, byJob: map[string]*jobState{}}
}

// Next hands out at most want items of services for which serves reports true.
func (s *Scheduler) Next(now time.Time, want int, serves func(service string) bool) []Ref {
	var refs []Ref
	running := s.jobs.Running()
	s.forgetOthers(running)
	for i := range running {
		j := &running[i]
		if !s.owned(j.Job) || !serves(j.Service) {
			continue
		}
		st := s.at(j.Job)
		st.expire(now)
		for len(refs) < want {
			index, found := s.pending(st, j)
			if !found {
				break
			}
			id := s.newID()
			st.leases[index] = &lease{id: id, expires: now.Add(LeaseTime)}
			refs = append(refs, Ref{Job: j.Job, Index: index, Service: j.Service, Lease: id, Resume: st.resume[index]})
		}
		if len(refs) == want {
			break
		}
	}
	return refs
}

func (s *Scheduler) at(job string) *jobState {
	st := s.byJob[job]
	if st == nil {
		st = &jobState{leases: map[int]*lease{}, failures: map[int]int{}, resume: map[int][]string{}}
		s.byJob[job] = st
	}
	return st
}

func (s *Scheduler) forgetOthers(running []state.Job) {
	keep := make(map[string]bool, len(running))
	for i := range running {
		keep[running[i].Job] = true
	}
	for job := range s.byJob {
		if !keep[job] {
			delete(s.byJob, job)
		}
	}
}

// pending takes the next item that nobody holds: returned ones first.
func (s *Scheduler) pending(st *jobState, j *state.Job) (int, bool) {
	for len(st.again) > 0 {
		index := st.again[0]
		st.again = st.again[1:]
		if st.leases[index] == nil && !s.jobs.ItemDone(j.Job, index) {
			return index, true
		}
	}
	for st.next < j.Items {
		index := st.next
		st.next++
		if !s.jobs.ItemDone(j.Job, index) {
			return index, true
		}
	}
	return 0, false
}

func (st *jobState) expire(now time.Time) {
	for index, l := range st.leases {
		if now.After(l.expires) {
			delete(st.leases, index)
			st.again = append(st.again, index)
		}
	}
}

// Renew extends a lease. It reports false where the item must stop: its job is
// final, it has a result, or another holds it.
func (s *Scheduler) Renew(now time.Time, job string, index int, id string) bool {
	st := s.byJob[job]
	if st == nil || s.jobs.ItemDone(job, index) {
		return false
	}
	l := st.leases[index]
	if l == nil || l.id != id {
		return false
	}
	l.expires = now.Add(LeaseTime)
	return true
}

// Yield takes back an item that its holder gave up, with the text that it
// generated so far.
func (s *Scheduler) Yield(job string, index int, id string, resume []string) {
	if st := s.giveBack(job, index, id); st != nil {
		st.resume[index] = resume
	}
}

// Fail takes back an item whose attempt failed. It reports whether the item has
// failed for good.
func (s *Scheduler) Fail(job string, index int, id string) bool {
	st := s.giveBack(job, index, id)
	if st == nil {
		return false
	}
	delete(st.resume, index)
	st.failures[index]++
	return st.failures[index] >= MaxAttempts
}

// Finish drops the lease of an item that has a result.
func (s *Scheduler) Finish(job string, index int) {
	if st := s.byJob[job]; st != nil {
		delete(st.leases, index)
		delete(st.resume, index)
		delete(st.failures, index)
	}
}

func (s *Scheduler) giveBack(job string, index int, id string) *jobState {
	st := s.byJob[job]
	if st == nil || st.leases[index] == nil || st.leases[index].id != id {
		return nil
	}
	delete(st.leases, index)
	st.again = append(st.again, index)
	return st
}
