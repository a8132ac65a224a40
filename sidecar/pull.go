package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/batch"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// entryPollRate bounds the questions to entries a second: a sidecar only needs some
// entry that answers.
const entryPollRate = 2

const (
	// watchTimeout is how long an entry may hold a call that waits for items.
	watchTimeout = 30 * time.Second
	// announcedEntryTries is how often a pull from an entry that another one told of may fail.
	announcedEntryTries = 4
	// watchRetryDelay is the time between a failed wait for items and the next one.
	watchRetryDelay = 250 * time.Millisecond
	// pullInterval is how often the puller looks for changed entries.
	pullInterval = 500 * time.Millisecond
)

// puller fills a target's spare slots with batch items. It waits at a few live
// entries for the news that there are items, and then pulls them as slots come
// free. An answer to a wait carries no items: an item must start soon after its
// pull was sent.
type puller struct {
	sidecar *Sidecar
	runner  *runner
	renewer *leaseRenewer
	// wake is signalled when an entry has items.
	wake  chan struct{}
	group sync.WaitGroup

	mu        sync.Mutex
	available map[string]bool
	watching  map[string]bool
	// seen holds, by entry, the position before which it has told of jobs.
	seen map[string]protocol.Position
	// highestSeen is the highest of these positions.
	highestSeen protocol.Position
	// remainingTries is how often an entry that another one told of may still fail.
	remainingTries map[string]int
	// draining is set until no batch item runs here any more.
	draining bool
	// targetFailed is set after the target failed, until it answers a probe.
	targetFailed bool
	rotation     int
}

// runPuller runs batch items on the target until ctx ends or the sidecar leaves, and
// then waits for those that run.
func (s *Sidecar) runPuller(ctx context.Context, r *runner) error {
	p := &puller{
		sidecar: s, runner: r, renewer: newLeaseRenewer(s, r),
		wake: make(chan struct{}, 1), available: map[string]bool{}, watching: map[string]bool{}, seen: map[string]protocol.Position{}, remainingTries: map[string]int{},
	}
	defer p.group.Wait()
	s.tomb.Go(func() error { return p.renewer.run(ctx) })
	for s.pullCtx.Err() == nil && ctx.Err() == nil {
		live := p.liveEntries()
		p.startWatches(batch.PollEntries(r.target.Name, live))
		if entry := p.nextEntry(live); entry == "" || !p.pullFrom(ctx, entry) {
			p.awaitChange()
		}
	}
	return nil
}

// awaitChange waits until it may be worth to pull.
func (p *puller) awaitChange() {
	timer := time.NewTimer(pullInterval)
	defer timer.Stop()
	select {
	case <-p.wake:
	case <-p.runner.slotFreed:
	case <-timer.C:
	case <-p.sidecar.pullCtx.Done():
	}
}

func (p *puller) liveEntries() []string {
	live := p.sidecar.members.Entries()
	addrs := make([]string, 0, len(live))
	for _, i := range live {
		addrs = append(addrs, i.Peer)
	}
	return addrs
}

// startWatches waits for items at every given entry that is not known to have some.
func (p *puller) startWatches(live []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range live {
		if p.available[entry] || p.watching[entry] {
			continue
		}
		p.watching[entry] = true
		p.group.Go(func() { p.watch(entry) })
	}
}

func (p *puller) watch(entry string) {
	reply, err := p.call(entry, &protocol.PullArgs{WaitMillis: watchTimeout.Milliseconds(), Since: p.seenPosition(entry)}, watchTimeout+protocol.HeartbeatTimeout)
	if err != nil {
		pause.For(p.sidecar.pullCtx, watchRetryDelay)
	}
	p.mu.Lock()
	delete(p.watching, entry)
	p.available[entry] = reply.Available
	p.seen[entry] = reply.Seen
	p.highestSeen = max(p.highestSeen, reply.Seen)
	for _, other := range reply.Others {
		p.available[other] = true
		p.remainingTries[other] = announcedEntryTries
	}
	p.mu.Unlock()
	signal(p.wake)
}

// seenPosition returns the position before which the entry has told of jobs.
func (p *puller) seenPosition(entry string) protocol.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[entry]
}

// highestSeenPosition returns the position before which any entry has told of jobs.
func (p *puller) highestSeenPosition() protocol.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.highestSeen
}

func (p *puller) call(entry string, args *protocol.PullArgs, limit time.Duration) (protocol.PullReply, error) {
	ctx, cancel := context.WithTimeout(p.sidecar.pullCtx, limit)
	defer cancel()
	args.Instance = p.sidecar.settings.Process.Instance
	args.Target = p.runner.target.Name
	args.Labels = p.runner.target.Labels
	var reply protocol.PullReply
	if err := p.sidecar.batchEntries.peers.Call(ctx, entry, protocol.MethodPull, args, &reply); err != nil {
		return protocol.PullReply{}, err
	}
	p.sidecar.ring.Clock().Observe(reply.Clock)
	return reply, reply.Problem.Err()
}

// nextEntry returns the next entry to pull from by turns, empty where there is no
// spare slot or no entry has items.
func (p *puller) nextEntry(live []string) string {
	if p.runner.spareSlots() == 0 || !p.isReady() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range live {
		p.rotation++
		if entry := live[p.rotation%len(live)]; p.available[entry] {
			return entry
		}
	}
	return ""
}

// isReady reports whether the target may get more items.
func (p *puller) isReady() bool {
	p.mu.Lock()
	draining, failed := p.draining, p.targetFailed
	p.mu.Unlock()
	if draining && !p.runner.isBatchIdle() || failed && p.runner.probe(p.sidecar.pullCtx) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining, p.targetFailed = false, false
	return true
}

// pullFrom pulls once and starts the items. It reports whether there were any.
func (p *puller) pullFrom(ctx context.Context, entry string) bool {
	startBy := time.Now().Add(protocol.StartLimit)
	reply, err := p.call(entry, &protocol.PullArgs{Want: p.runner.spareSlots(), Idle: p.runner.isBatchIdle(), Since: p.highestSeenPosition()}, protocol.StartLimit)
	p.mu.Lock()
	p.available[entry] = reply.Available
	if err != nil {
		// No wait may be held there that would tell again.
		p.remainingTries[entry]--
		p.available[entry] = p.remainingTries[entry] > 0
	}
	p.draining = reply.Drain
	for i := range reply.Items {
		p.draining = p.draining || reply.Items[i].Alone
	}
	p.mu.Unlock()
	for _, item := range reply.Items {
		p.startItem(ctx, startBy, p.sidecar.newBatchItem(p.runner, entry, item))
	}
	return len(reply.Items) > 0
}

// startItem runs an item and returns it to an entry. After startBy it returns the
// item without starting it: its job may be cancelled by then.
func (p *puller) startItem(ctx context.Context, startBy time.Time, i *batchItem) {
	itemCtx, cancel := context.WithTimeout(ctx, itemTimeout)
	itemCtx, release, err := p.runner.admit(itemCtx, i.attempt)
	p.sidecar.unreturnedItems.Add(1)
	p.group.Go(func() {
		defer p.sidecar.unreturnedItems.Done()
		defer cancel()
		if err == nil {
			release, err = p.sidecar.admitItem(itemCtx, p.runner, i, startBy, release)
		}
		if err != nil {
			klog.InfoS("item not started", "target", p.runner.target.Name, "lease", i.attempt.Attempt, "error", protocol.CauseOf(err))
		}
		if err == nil {
			if time.Now().Before(startBy) {
				stop := p.renewer.add(i)
				p.recordFailure(p.sidecar.runItem(itemCtx, p.runner, i, startBy))
				stop()
			}
			release()
		}
		p.sidecar.returnItem(ctx, i.entry, i.finish)
	})
}

// recordFailure holds up further items after the target failed.
func (p *puller) recordFailure(err error) {
	if err == nil || !errorx.IsOfType(err, protocol.ErrTargetCrashed) && !errorx.IsOfType(err, protocol.ErrNotSent) && !errorx.IsOfType(err, protocol.ErrTargetFailed) && !errorx.IsOfType(err, protocol.ErrTruncated) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetFailed = true
}
