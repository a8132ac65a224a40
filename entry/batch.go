package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/batch"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// leaseScheduler guards the batch scheduler.
type leaseScheduler struct {
	mu        sync.Mutex
	scheduler *batch.Scheduler
	// changed is closed when items may have become available.
	changed chan struct{}
}

func newLeaseScheduler(s *batch.Scheduler) *leaseScheduler {
	return &leaseScheduler{scheduler: s, changed: make(chan struct{})}
}

// notifyPulls lets waiting pulls look again.
func (l *leaseScheduler) notifyPulls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (e *Entry) batchParams() batch.Params {
	return batch.Params{
		Jobs:    e.jobs,
		Self:    e.settings.Process.Instance,
		Members: e.liveEntryNames,
		Weight:  e.batchShare,
		NewID:   protocol.NewID,
	}
}

func (e *Entry) batchShare(workspace string) float64 {
	o, _ := e.config.Current().Lookup(protocol.KindQuota, workspace)
	if o.Quota == nil {
		return batch.DefaultWeight
	}
	return o.Quota.BatchShare
}

// jobNotifier wakes waiting pulls after each accepted job.
type jobNotifier struct{ e *Entry }

// Apply implements follow.Fold.
func (w jobNotifier) Apply(_ protocol.Position, rec *protocol.Record) {
	if rec.Job != nil {
		w.e.leases.notifyPulls()
	}
}

// Restored implements follow.Restored.
func (w jobNotifier) Restored() { w.e.leases.notifyPulls() }

// pullPollInterval is how often a waiting pull looks for items that no event
// announced: a lapsed lease, a job taken over, a changed label.
const pullPollInterval = time.Second

// peerAPI is what other processes may call over net/rpc.
type peerAPI struct{ e *Entry }

// Pull hands out batch items that the target can run, or waits for some.
func (p *peerAPI) Pull(args *protocol.PullArgs, reply *protocol.PullReply) error {
	defer func() { reply.Clock = p.e.ring.Clock().Now() }()
	err := p.e.checkCanLease()
	switch {
	case err != nil:
		reply.Problem = protocol.ProblemOf(err)
	case args.Want == 0:
		p.e.awaitItems(args, reply)
	default:
		p.e.leaseItems(args, reply)
	}
	return nil
}

// checkCanLease fails with ErrLeaving or ErrBusy.
func (e *Entry) checkCanLease() error {
	if e.isLeaving() {
		return protocol.ErrLeaving.New("this entry is shutting down")
	}
	if stale := e.workStream.follower.Staleness(); stale > protocol.PullStaleness {
		return protocol.ErrBusy.New("the log was last read %v ago", stale)
	}
	return nil
}

// awaitItems answers once there are items, waiting for them as long as args say.
// It answers early with the other entries that have got jobs since the answer
// before, and at the end of its time with all that own jobs.
func (e *Entry) awaitItems(args *protocol.PullArgs, reply *protocol.PullReply) {
	deadline := time.NewTimer(time.Duration(args.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	ticker := time.NewTicker(pullPollInterval)
	defer ticker.Stop()
	for {
		serves := e.serviceFilter(args.Labels)
		e.leases.mu.Lock()
		reply.Available = e.leases.scheduler.Available(time.Now(), serves)
		changed := e.leases.changed
		e.leases.mu.Unlock()
		reply.Seen = protocol.PositionAt(e.workStream.follower.Next(), 0)
		reply.Others = e.otherOwners(args.Since, serves)
		if reply.Available || len(reply.Others) > 0 {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-deadline.C:
			reply.Others = e.otherOwners(0, serves)
			return
		case <-e.leaving:
			return
		case <-e.tomb.Dying():
			return
		}
	}
}

// otherOwners returns the addresses of the entries beside this one that own jobs
// accepted at since or later which a target can run. It returns none where every
// target waits at every entry.
func (e *Entry) otherOwners(since protocol.Position, serves func(string) bool) []string {
	live := e.members.Entries()
	if len(live) <= batch.MaxPollEntries {
		return nil
	}
	names, addrs := make([]string, 0, len(live)), map[string]string{}
	for _, i := range live {
		names = append(names, i.Name)
		addrs[i.Name] = i.Peer
	}
	others := e.owners.OtherOwners(e.settings.Process.Instance, names, e.jobs.Running(), since, serves)
	for i, name := range others {
		others[i] = addrs[name]
	}
	return others
}

// serviceMatcher returns a function that tells the services of a target.
func (e *Entry) serviceMatcher() func(protocol.Labels) []string {
	return e.config.Current().ServicesOf
}

// serviceFilter tells which services a target with the labels can run.
func (e *Entry) serviceFilter(own protocol.Labels) func(service string) bool {
	config := e.config.Current()
	labels := config.Labels(own)
	if config.Drained(labels) {
		return func(string) bool { return false }
	}
	return func(name string) bool {
		service := config.Service(name)
		return service != nil && service.Selector.Matches(labels)
	}
}

func (e *Entry) leaseItems(args *protocol.PullArgs, reply *protocol.PullReply) {
	serves := e.serviceFilter(args.Labels)
	e.leases.mu.Lock()
	now := time.Now()
	h := e.leases.scheduler.Next(now, batch.Pull{Target: args.Target, Want: args.Want, Idle: args.Idle, Serves: serves})
	reply.Available = e.leases.scheduler.Available(now, serves)
	e.leases.mu.Unlock()
	if e.workStream.follower.Next() < args.Since.Offset() {
		reply.Available = true // another entry may have told of a job not known here yet
	}
	reply.Drain = h.Drain
	for _, ref := range h.Items {
		item, err := e.loadWorkItem(ref)
		if err != nil {
			klog.InfoS("item not handed out", "job", ref.Job, "index", ref.Index, "error", protocol.CauseOf(err))
			e.leases.mu.Lock()
			e.leases.scheduler.Release(ref.Job, ref.Index, ref.Lease, ref.Resume)
			e.leases.mu.Unlock()
			continue
		}
		reply.Items = append(reply.Items, item)
	}
}

// loadWorkItem reads the line of the file that a lease names.
func (e *Entry) loadWorkItem(ref batch.LeasedItem) (protocol.WorkItem, error) {
	ctx, cancel := context.WithTimeout(e.context(), storeTimeout)
	defer cancel()
	job, _ := e.jobs.Job(ref.Job)
	file, found := e.jobs.File(job.File)
	if !found {
		return protocol.WorkItem{}, protocol.ErrNotFound.New("no file of job %s", ref.Job)
	}
	chunk, place := file.ChunkOf(ref.Index)
	rec, err := e.bodies.Record(ctx, file.Chunks[chunk])
	if err != nil {
		return protocol.WorkItem{}, err
	}
	line := rec.File.Items[place]
	return protocol.WorkItem{
		Job:      ref.Job,
		Index:    ref.Index,
		CustomID: line.CustomID,
		Lease:    ref.Lease,
		Call:     chatCall(ref.Service, job.Workspace, line.Body),
		Resume:   ref.Resume,
		Alone:    ref.Alone,
		Trace:    ref.Job,
	}, nil
}

// Finish takes an item back. It answers once a result is durable.
func (p *peerAPI) Finish(args *protocol.FinishArgs, reply *protocol.FinishReply) error {
	reply.Problem = protocol.ProblemOf(p.e.finishItem(args))
	return nil
}

func (e *Entry) finishItem(args *protocol.FinishArgs) error {
	result := args.Result
	if result == nil {
		if !e.returnItem(args) {
			return nil
		}
		result = &protocol.Result{
			Outcome:     protocol.OutcomeFailed,
			Status:      http.StatusBadGateway,
			ContentType: "text/plain; charset=utf-8",
			Body:        []byte(args.Failure),
		}
	}
	ctx, cancel := context.WithTimeout(e.context(), protocol.DefaultRequestTimeout)
	defer cancel()
	if err := e.awaitJobKnown(ctx, args.Job); err != nil {
		return err
	}
	if e.jobs.ItemDone(args.Job, args.Index) {
		return nil
	}
	item := protocol.ItemResult{Index: args.Index, CustomID: args.CustomID, Result: *result}
	if err := e.results.store(ctx, args.Job, item); err != nil {
		return err
	}
	e.metrics.items.WithLabelValues(string(result.Outcome)).Inc()
	e.leases.mu.Lock()
	defer e.leases.mu.Unlock()
	e.leases.scheduler.Finish(time.Now(), args.Job, args.Index)
	return nil
}

// awaitJobKnown makes sure that a job which this entry does not know is not
// merely one that it has not read yet. It fails with ErrBusy.
func (e *Entry) awaitJobKnown(ctx context.Context, job string) error {
	if _, known := e.jobs.Job(job); known {
		return nil
	}
	if !e.workStream.follower.CaughtUp() {
		return protocol.ErrBusy.New("the log has not been read yet")
	}
	return e.catchUp(ctx)
}

// returnItem returns an item without a result to the scheduler. It reports whether
// the item has failed for good.
func (e *Entry) returnItem(args *protocol.FinishArgs) bool {
	defer e.leases.notifyPulls()
	e.leases.mu.Lock()
	defer e.leases.mu.Unlock()
	if args.Failure == "" {
		e.leases.scheduler.Release(args.Job, args.Index, args.Lease, args.Resume)
		return false
	}
	return e.leases.scheduler.Fail(args.Job, args.Index, args.Lease, args.Resume)
}

// Renew extends leases and names those whose items must stop. A lease that this
// entry does not know stops only if its item needs no more work: another entry
// may have handed it out.
func (p *peerAPI) Renew(args *protocol.RenewArgs, reply *protocol.RenewReply) error {
	p.e.leases.mu.Lock()
	defer p.e.leases.mu.Unlock()
	for _, l := range args.Leases {
		p.e.leases.scheduler.Renew(time.Now(), l.Job, l.Index, l.Lease)
		if _, known := p.e.jobs.Job(l.Job); known && p.e.jobs.ItemDone(l.Job, l.Index) {
			reply.Stop = append(reply.Stop, l)
		}
	}
	return nil
}
