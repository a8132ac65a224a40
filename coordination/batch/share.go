package batch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// atRiskFactor multiplies the share of a workspace whose next job will be late at
// its present rate. It moves targets between workspaces' batch work only.
const atRiskFactor = 4

// readyQueues holds the owned jobs that have items to hand out, by service.
type readyQueues map[string]*serviceQueue

// serviceQueue shares out the targets of one service among workspaces.
type serviceQueue struct {
	workspaces map[string]*workspaceQueue
	// active holds the workspaces that have jobs, the one to serve next first.
	active passHeap
	// virtualTime is the virtual time of the last item handed out.
	virtualTime float64
}

// workspaceQueue holds a workspace's jobs in order of their due times.
type workspaceQueue struct {
	name string
	jobs []*job
	// pass is the virtual time at which the workspace is served next.
	pass float64
}

// passHeap is a heap of workspaces by their virtual times.
type passHeap []*workspaceQueue

// Len implements heap.Interface.
func (h passHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h passHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].pass, h[j].pass), cmp.Compare(h[i].name, h[j].name)) < 0
}

// Swap implements heap.Interface.
func (h passHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *passHeap) Push(w any) { *h = append(*h, w.(*workspaceQueue)) }

// Pop implements heap.Interface.
func (h *passHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}

// add inserts a job, unless it is there or has nothing to hand out.
func (r readyQueues) add(j *job) {
	if !j.owned || j.pending() == 0 {
		return
	}
	q := r[j.Service]
	if q == nil {
		q = &serviceQueue{workspaces: map[string]*workspaceQueue{}}
		r[j.Service] = q
	}
	q.add(j)
}

// clear removes all jobs and keeps the workspaces' virtual times.
func (r readyQueues) clear() {
	for _, q := range r {
		q.active = nil
		for _, w := range q.workspaces {
			w.jobs = nil
		}
	}
}

func (q *serviceQueue) add(j *job) {
	w := q.workspaces[j.Workspace]
	if w == nil {
		w = &workspaceQueue{name: j.Workspace}
		q.workspaces[j.Workspace] = w
	}
	if len(w.jobs) == 0 {
		// Time without work gives no claim to a larger share later.
		w.pass = max(w.pass, q.virtualTime)
		heap.Push(&q.active, w)
	}
	at, found := slices.BinarySearchFunc(w.jobs, j, func(a, b *job) int { return a.Compare(b.RunningJob) })
	if !found {
		w.jobs = slices.Insert(w.jobs, at, j)
	}
}

// pending counts items to hand out, up to about limit.
func (q *serviceQueue) pending(limit int) int {
	count := 0
	for _, w := range q.active {
		for _, j := range w.jobs {
			if count += j.pending(); count >= limit {
				return count
			}
		}
	}
	return count
}

// nextItem takes the next item of a served service: of the workspace that has got
// least for its weight, the job that is due first.
func (s *Scheduler) nextItem(now time.Time, serves func(service string) bool) (*job, int, bool) {
	for {
		q := s.servedQueue(serves)
		if q == nil {
			return nil, 0, false
		}
		w := q.active[0]
		j := w.jobs[0]
		index, found := j.takeNext(s.params.Jobs.ItemDone)
		if found {
			q.virtualTime = w.pass
			w.pass += 1 / s.weight(now, j)
		}
		if j.pending() == 0 {
			w.jobs = w.jobs[1:]
		}
		if len(w.jobs) == 0 {
			heap.Pop(&q.active)
		} else {
			heap.Fix(&q.active, 0)
		}
		if found {
			return j, index, true
		}
	}
}

func (s *Scheduler) weight(now time.Time, j *job) float64 {
	weight := s.params.Weight(j.Workspace)
	if weight <= 0 {
		weight = DefaultWeight
	}
	if j.atRisk(now) {
		weight *= atRiskFactor
	}
	return weight
}

// servedQueue returns the served service with jobs whose next job is due first.
func (s *Scheduler) servedQueue(serves func(service string) bool) *serviceQueue {
	var best *serviceQueue
	for service, q := range s.ready {
		if len(q.active) == 0 || !serves(service) {
			continue
		}
		if best == nil || q.active[0].jobs[0].Compare(best.active[0].jobs[0].RunningJob) < 0 {
			best = q
		}
	}
	return best
}
