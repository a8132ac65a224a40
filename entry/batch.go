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

// leases guards the batch scheduler.
type leases struct {
	mu        sync.Mutex
	scheduler *batch.Scheduler
}

// pullPoll is how often a waiting pull looks for items.
const pullPoll = 10 * time.Millisecond

// peerAPI is what other processes may call over net/rpc.
type peerAPI struct{ e *Entry }

// Pull hands out batch items that the target can run.
func (p *peerAPI) Pull(args *protocol.PullArgs, reply *protocol.PullReply) error {
	deadline := time.Now().Add(time.Duration(args.WaitMillis) * time.Millisecond)
	for {
		items, err := p.e.handOut(args)
		reply.Items, reply.Problem = items, protocol.ProblemOf(err)
		if err != nil || len(items) > 0 || time.Now().After(deadline) {
			return nil
		}
		pause(p.e.context(), pullPoll)
	}
}

func (e *Entry) handOut(args *protocol.PullArgs) ([]protocol.WorkItem, error) {
	if e.isLeaving() {
		return nil, protocol.ErrLeaving.New("this entry is shutting down")
	}
	if stale := e.work.follower.Staleness(); stale > protocol.PullStaleness {
		return nil, protocol.ErrBusy.New("the log was last read %v ago", stale)
	}
	config := e.config.Current()
	labels := config.Labels(args.Labels)
	if config.Drained(labels) {
		return nil, nil
	}
	serves := func(name string) bool {
		service := config.Service(name)
		return service != nil && service.Selector.Matches(labels)
	}
	e.leases.mu.Lock()
	refs := e.leases.scheduler.Next(time.Now(), args.Want, serves)
	e.leases.mu.Unlock()
	items := make([]protocol.WorkItem, 0, len(refs))
	for _, ref := range refs {
		item, err := e.workItem(ref)
		if err != nil {
			klog.InfoS("item not handed out", "job", ref.Job, "index", ref.Index, "error", err)
			e.leases.mu.Lock()
			e.leases.scheduler.Yield(ref.Job, ref.Index, ref.Lease, ref.Resume)
			e.leases.mu.Unlock()
			continue
		}
		items = append(items, item)
	}
	return items, nil
}

// workItem reads the line of the file that a lease names.
func (e *Entry) workItem(ref batch.Ref) (protocol.WorkItem, error) {
	ctx, cancel := context.WithTimeout(e.context(), storeWait)
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
		if !e.takeBack(args) {
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
	rec := protocol.Record{ID: args.Lease + "/result", Items: &protocol.ItemResults{
		Job:   args.Job,
		Items: []protocol.ItemResult{{Index: args.Index, CustomID: args.CustomID, Result: *result}},
	}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		return err
	}
	e.metrics.items.WithLabelValues(string(result.Outcome)).Inc()
	e.leases.mu.Lock()
	defer e.leases.mu.Unlock()
	e.leases.scheduler.Finish(args.Job, args.Index)
	return nil
}

// awaitJobKnown makes sure that a job which this entry does not know is not
// merely one that it has not read yet. It fails with ErrBusy.
func (e *Entry) awaitJobKnown(ctx context.Context, job string) error {
	if _, known := e.jobs.Job(job); known {
		return nil
	}
	if !e.work.follower.CaughtUp() {
		return protocol.ErrBusy.New("the log has not been read yet")
	}
	return e.catchUp(ctx)
}

// takeBack returns an item without a result to the scheduler. It reports whether
// the item has failed for good.
func (e *Entry) takeBack(args *protocol.FinishArgs) bool {
	e.leases.mu.Lock()
	defer e.leases.mu.Unlock()
	if args.Failure == "" {
		e.leases.scheduler.Yield(args.Job, args.Index, args.Lease, args.Resume)
		return false
	}
	return e.leases.scheduler.Fail(args.Job, args.Index, args.Lease)
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
