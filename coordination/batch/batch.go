// Package batch hands out the items of jobs under leases. A lease saves double
// effort and decides nothing: the first result of an item in the log counts,
// whoever computed it.
//
// Workspaces share the targets by weight, and a workspace's jobs are served in
// order of their due times. Items whose attempt failed beside others are run
// again alone, so that an item that crashes its target cannot make its
// neighbours fail for good.
package batch

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/state"
)

const (
	// LeaseTime is how long an item is kept from others without a renewal.
	LeaseTime = 10 * time.Second
	// MaxAttempts is how often an item may fail before it gets a failed result.
	MaxAttempts = 3
	// expireInterval is the time between two searches for lapsed leases.
	expireInterval = 500 * time.Millisecond
	// pullerTTL is how long a target counts as pulling after its last pull.
	pullerTTL = 2 * time.Second
)

// Jobs is the view of the folded jobs that the scheduler needs.
type Jobs interface {
	// Running returns the running jobs: the same slice until a job starts or ends.
	Running() []state.RunningJob
	// ItemDone reports whether the item needs no more work.
	ItemDone(job string, index int) bool
}

// Params configure a scheduler.
type Params struct {
	Jobs Jobs
	// Self is the member that this scheduler works for; it hands out the items
	// of the jobs that rendezvous hashing gives to it.
	Self string
	// Members returns the live members in order.
	Members func() []string
	// Weight returns the weight of a workspace among batch work. At most zero
	// means DefaultShare.
	Weight func(workspace string) float64
	// NewID names leases.
	NewID func() string
}

// DefaultWeight is the weight of a workspace that has none of its own.
const DefaultWeight = 1

// LeasedItem names an item under a lease.
type LeasedItem struct {
	Job     string
	Index   int
	Service string
	Lease   string
	// Resume is the text that an earlier holder generated.
	Resume []string
	// Alone is set where no other batch item may run beside the item.
	Alone bool
}

// Pull asks for items for one target.
type Pull struct {
	Target string
	Want   int
	// Idle is set where the target runs no batch item.
	Idle bool
	// Serves reports whether the target can run items of the service.
	Serves func(service string) bool
}

// Assignment answers a pull.
type Assignment struct {
	Items []LeasedItem
	// Drain asks the target to finish its batch items and to pull again then:
	// an item waits to be run alone.
	Drain bool
}

// Scheduler hands out items. It is not safe for concurrent use.
type Scheduler struct {
	params  Params
	running []state.RunningJob
	members []string
	byJob   map[string]*job
	ready   readyQueues
	// lastPulls holds the time of each target's last pull.
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

// Next hands out items.
func (s *Scheduler) Next(now time.Time, p Pull) Assignment {
	s.refresh(now)
	s.recordPull(now, p.Target)
	if h, decided := s.nextAlone(now, p); decided {
		return h
	}
	var refs []LeasedItem
	limit := s.pullLimit(p)
	for len(refs) < limit {
		j, index, found := s.nextItem(now, p.Serves)
		if !found {
			break
		}
		refs = append(refs, s.lease(now, j, index))
	}
	return Assignment{Items: refs}
}

// Available reports whether an item waits that a target can run.
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

// pullLimit bounds the items for one pull, so that the last ones of a job go to
// many targets.
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

// refresh takes over changes of the running jobs and of the members, and
// searches for lapsed leases.
func (s *Scheduler) refresh(now time.Time) {
	running, members := s.params.Jobs.Running(), s.params.Members()
	moved := !slices.Equal(members, s.members)
	if moved || !sameSlice(running, s.running) {
		s.running, s.members = running, members
		s.rebuildJobs(moved)
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

// enqueue notes that items of the job came back.
func (s *Scheduler) enqueue(j *job) {
	s.ready.add(j)
	if len(j.suspects) > 0 {
		s.suspectJobs[j.Job] = j
	}
}

// rebuildJobs keeps the state of the jobs that still run and are owned.
func (s *Scheduler) rebuildJobs(moved bool) {
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
		case moved && s.owns(r.Job) != j.owned:
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

// Renew extends a lease. It reports false where the item must stop: its job is
// final, it has a result, or another holds it.
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

// Release takes back an item that its holder gave up, with the text that it
// generated so far.
func (s *Scheduler) Release(id string, index int, leaseID string, resume []string) {
	j := s.byJob[id]
	if j == nil || !j.release(index, leaseID) {
		return
	}
	j.resume[index] = resume
	j.requeue(index)
	s.enqueue(j)
}

// Fail takes back an item whose attempt failed, with the text that it generated
// so far: the next attempt goes on from there. It reports whether the item has
// failed for good; the lease then lasts, so that nobody runs the item before
// its result is durable.
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

// Finish drops what is kept about an item that has a result.
func (s *Scheduler) Finish(now time.Time, id string, index int) {
	if j := s.byJob[id]; j != nil {
		j.finish(now, index)
	}
}
