// Package batch assigns the items of jobs to targets under leases. A lease only
// avoids duplicate work: correctness does not depend on it, since the first
// result of an item in the log counts, whichever process computed it.
//
// Workspaces share the targets by weight, and a workspace's jobs are served in
// order of their due times. An item whose attempt failed is run again alone, so
// that an item that crashes its target cannot make the items that run beside it
// fail permanently.
package batch

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/state"
)

const (
	// LeaseTime is how long a lease lasts without a renewal.
	LeaseTime = 10 * time.Second
	// MaxAttempts is the number of failed attempts after which an item gets a
	// failed result.
	MaxAttempts = 3
	// expireInterval is the time between two searches for expired leases.
	expireInterval = 500 * time.Millisecond
	// pullerTTL is how long a target counts as pulling after its last pull.
	pullerTTL = 2 * time.Second
)

// Jobs is the part of the jobs fold that the scheduler reads.
type Jobs interface {
	// Running returns the running jobs. It returns the same slice until a job
	// starts or ends.
	Running() []state.RunningJob
	// ItemDone reports whether the item needs no further attempt.
	ItemDone(job string, index int) bool
}

// Params configure a scheduler.
type Params struct {
	Jobs Jobs
	// Self is the name of this member. Its scheduler assigns the items of the
	// jobs that it owns by rendezvous hashing.
	Self string
	// Members returns the live members in order.
	Members func() []string
	// Weight returns the weight of a workspace in batch work. Zero or less means
	// DefaultWeight.
	Weight func(workspace string) float64
	// NewID returns a new lease ID.
	NewID func() string
}

// DefaultWeight is the weight of a workspace for which none is set.
const DefaultWeight = 1

// LeasedItem is an item with the lease under which it is assigned.
type LeasedItem struct {
	Job     string
	Index   int
	Service string
	Lease   string
	// Resume is the text that earlier attempts generated.
	Resume []string
	// Alone is set if no other batch item may run on the target at the same time.
	Alone bool
}

// Pull is a request for items for one target.
type Pull struct {
	Target string
	Want   int
	// Idle is set if the target runs no batch item.
	Idle bool
	// Serves reports whether the target can run items of the service.
	Serves func(service string) bool
}

// Assignment is the response to a pull.
type Assignment struct {
	Items []LeasedItem
	// Drain asks the target to finish its batch items and then to pull again,
	// because an item must run alone.
	Drain bool
}

// Scheduler assigns items to targets. It is not safe for concurrent use.
type Scheduler struct {
	params  Params
	running []state.RunningJob
	members []string
	byJob   map[string]*job
	ready   readyQueues
	// lastPulls holds the time of the last pull of each target.
	lastPulls map[string]time.Time
	drains    drains
	// suspectJobs holds the jobs with items that must run alone.
	suspectJobs map[string]*job
	lastExpiry  time.Time
}

// New returns a scheduler.
func New(p Params) *Scheduler {
	return &Scheduler{
		params:      p,
		byJob:       map[string]*job{},
		ready:       readyQueues{},
		lastPulls:   map[string]time.Time{},
		drains:      drains{},
		suspectJobs: map[string]*job{},
	}
}

// Next answers a pull.
func (s *Scheduler) Next(now time.Time, p Pull) Assignment {
	s.refresh(now)
	s.recordPull(now, p.Target)
	if h, decided := s.nextAlone(now, p); decided {
		return h
	}
	var items []LeasedItem
	limit := s.pullLimit(p)
	for len(items) < limit {
		j, index, found := s.nextItem(now, p.Serves)
		if !found {
			break
		}
		items = append(items, s.lease(now, j, index))
	}
	return Assignment{Items: items}
}

// Available reports whether an item of a served service is waiting.
func (s *Scheduler) Available(now time.Time, serves func(service string) bool) bool {
	s.refresh(now)
	for service, q := range s.ready {
		if serves(service) && q.pending(1) > 0 {
			return true
		}
	}
	return s.suspectJob(serves) != nil
}

func (s *Scheduler) lease(now time.Time, j *job, index int) LeasedItem {
	id := s.params.NewID()
	j.leases[index] = &lease{id: id, expires: now.Add(LeaseTime)}
	return LeasedItem{Job: j.Job, Index: index, Service: j.Service, Lease: id, Resume: j.resume[index]}
}

func (s *Scheduler) recordPull(now time.Time, target string) {
	s.lastPulls[target] = now
	for other, last := range s.lastPulls {
		if now.Sub(last) > pullerTTL {
			delete(s.lastPulls, other)
		}
	}
}

// pullLimit returns the maximum number of items for one pull, which spreads the
// last items of a job over many targets.
func (s *Scheduler) pullLimit(p Pull) int {
	n := len(s.lastPulls)
	pending := 0
	for service, q := range s.ready {
		if p.Serves(service) {
			pending += q.pending(p.Want*n - pending)
		}
	}
	return min(p.Want, (pending+n-1)/n)
}

// refresh applies changes of the running jobs and of the members, and ends
// expired leases.
func (s *Scheduler) refresh(now time.Time) {
	running, members := s.params.Jobs.Running(), s.params.Members()
	membersChanged := !slices.Equal(members, s.members)
	if membersChanged || !sameSlice(running, s.running) {
		s.running, s.members = running, members
		s.rebuildJobs(membersChanged)
	}
	if now.Sub(s.lastExpiry) < expireInterval {
		return
	}
	s.lastExpiry = now
	for _, j := range s.byJob {
		if j.expire(now) {
			s.enqueue(j)
		}
	}
}

func sameSlice(a, b []state.RunningJob) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// enqueue queues a job that has items to assign.
func (s *Scheduler) enqueue(j *job) {
	s.ready.add(j)
	if len(j.suspects) > 0 {
		s.suspectJobs[j.Job] = j
	}
}

// rebuildJobs rebuilds the state of the running jobs. It keeps the state of each
// job unless the job's ownership has changed.
func (s *Scheduler) rebuildJobs(membersChanged bool) {
	old := s.byJob
	s.byJob = make(map[string]*job, len(s.running))
	s.ready.clear()
	clear(s.suspectJobs)
	for i := range s.running {
		r := &s.running[i]
		j := old[r.Job]
		switch {
		case j == nil:
			j = newJob(r)
			j.owned = s.owns(r.Job)
		case membersChanged && s.owns(r.Job) != j.owned:
			owned := !j.owned
			j = newJob(r)
			j.owned = owned
		}
		s.byJob[r.Job] = j
		if j.owned {
			s.enqueue(j)
		}
	}
	for id := range s.drains {
		if s.byJob[id.job] == nil {
			delete(s.drains, id)
		}
	}
}

func (s *Scheduler) owns(job string) bool {
	return routing.Owner(job, s.members) == s.params.Self
}

// Renew extends a lease. It reports false if the holder must stop the item: the
// job has ended, the item has a result, or the lease is no longer in force.
func (s *Scheduler) Renew(now time.Time, id string, index int, leaseID string) bool {
	j := s.byJob[id]
	if j == nil || s.params.Jobs.ItemDone(id, index) {
		return false
	}
	l := j.leases[index]
	if l == nil || l.id != leaseID {
		return false
	}
	l.expires = now.Add(LeaseTime)
	return true
}

// Release ends the lease of an item that its holder gave back, and requeues the
// item with the text generated so far.
func (s *Scheduler) Release(id string, index int, leaseID string, resume []string) {
	j := s.byJob[id]
	if j == nil || !j.release(index, leaseID) {
		return
	}
	j.resume[index] = resume
	j.requeue(index)
	s.enqueue(j)
}

// Fail ends the lease of an item whose attempt failed, and requeues the item with
// the text generated so far, from which the next attempt continues. It reports
// whether the item has failed permanently; the lease then stays in force, so that
// the item is not run again before its result is durable.
func (s *Scheduler) Fail(id string, index int, leaseID string, resume []string) bool {
	j := s.byJob[id]
	if j == nil || !j.holds(index, leaseID) {
		return false
	}
	j.resume[index] = resume
	j.failures[index]++
	if j.failures[index] >= MaxAttempts {
		return true
	}
	j.release(index, leaseID)
	j.requeue(index)
	s.enqueue(j)
	return false
}

// Finish drops the lease and the other state of an item that has a result.
func (s *Scheduler) Finish(now time.Time, id string, index int) {
	if j := s.byJob[id]; j != nil {
		j.finish(now, index)
	}
}
