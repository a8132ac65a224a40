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

// entryRate bounds the questions to entries a second: a sidecar only needs some
// entry that answers.
const entryRate = 2

const (
	// watchWait is how long an entry may hold a call that waits for items.
	watchWait = 30 * time.Second
	// toldTries is how often a pull from an entry that another one told of may fail.
	toldTries = 4
	// watchRetry is the time between a failed wait for items and the next one.
	watchRetry = 250 * time.Millisecond
	// pullTick is how often the puller looks for changed entries.
	pullTick = 500 * time.Millisecond
)

// puller fills a target's spare slots with batch items. It waits at a few live
// entries for the news that there are items, and then pulls them as slots come
// free. An answer to a wait carries no items: an item must start soon after its
// pull was sent.
type puller struct {
	s        *Sidecar
	r        *runner
	renewals *renewals
	// news is signalled when an entry has items.
	news  chan struct{}
	group sync.WaitGroup

	mu        sync.Mutex
	available map[string]bool
	watching  map[string]bool
	// seen holds, by entry, the position before which it has told of jobs.
	seen map[string]protocol.Position
	// told is the highest of these positions.
	told protocol.Position
	// tries is how often an entry that another one told of may still fail.
	tries map[string]int
	// draining is set until no batch item runs here any more.
	draining bool
	// failed is set after the target failed, until it answers a probe.
	failed bool
	turn   int
}

// pull runs batch items on the target until ctx ends or the sidecar leaves, and
// then waits for those that run.
func (s *Sidecar) pull(ctx context.Context, r *runner) error {
	p := &puller{
		s: s, r: r, renewals: newRenewals(s, r),
		news: make(chan struct{}, 1), available: map[string]bool{}, watching: map[string]bool{}, seen: map[string]protocol.Position{}, tries: map[string]int{},
	}
	defer p.group.Wait()
	s.tomb.Go(func() error { return p.renewals.run(ctx) })
	for s.pullCtx.Err() == nil && ctx.Err() == nil {
		live := p.liveEntries()
		p.watchAll(batch.PollEntries(r.target.Name, live))
		if entry := p.choose(live); entry == "" || !p.pullFrom(ctx, entry) {
			p.await()
		}
	}
	return nil
}

// await waits until it may be worth to pull.
func (p *puller) await() {
	timer := time.NewTimer(pullTick)
	defer timer.Stop()
	select {
	case <-p.news:
	case <-p.r.freed:
	case <-timer.C:
	case <-p.s.pullCtx.Done():
	}
}

func (p *puller) liveEntries() []string {
	live := p.s.members.Entries()
	addrs := make([]string, 0, len(live))
	for _, i := range live {
		addrs = append(addrs, i.Peer)
	}
	return addrs
}

// watchAll waits for items at every given entry that is not known to have some.
func (p *puller) watchAll(live []string) {
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
	reply, err := p.call(entry, &protocol.PullArgs{WaitMillis: watchWait.Milliseconds(), Since: p.since(entry)}, watchWait+protocol.HeartbeatTimeout)
	if err != nil {
		pause.For(p.s.pullCtx, watchRetry)
	}
	p.mu.Lock()
	delete(p.watching, entry)
	p.available[entry] = reply.Available
	p.seen[entry] = reply.Seen
	p.told = max(p.told, reply.Seen)
	for _, other := range reply.Others {
		p.available[other] = true
		p.tries[other] = toldTries
	}
	p.mu.Unlock()
	signal(p.news)
}

// since returns the position before which the entry has told of jobs.
func (p *puller) since(entry string) protocol.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[entry]
}

// highest returns the position before which any entry has told of jobs.
func (p *puller) highest() protocol.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told
}

func (p *puller) call(entry string, args *protocol.PullArgs, limit time.Duration) (protocol.PullReply, error) {
	ctx, cancel := context.WithTimeout(p.s.pullCtx, limit)
	defer cancel()
	args.Instance = p.s.settings.Process.Instance
	args.Target = p.r.target.Name
	args.Labels = p.r.target.Labels
	var reply protocol.PullReply
	if err := p.s.batch.peers.Call(ctx, entry, protocol.MethodPull, args, &reply); err != nil {
		return protocol.PullReply{}, err
	}
	p.s.ring.Clock().Observe(reply.Clock)
	return reply, reply.Problem.Err()
}

// choose returns the next entry to pull from by turns, empty where there is no
// spare slot or no entry has items.
func (p *puller) choose(live []string) string {
	if p.r.spare() == 0 || !p.ready() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range live {
		p.turn++
		if entry := live[p.turn%len(live)]; p.available[entry] {
			return entry
		}
	}
	return ""
}

// ready reports whether the target may get more items.
func (p *puller) ready() bool {
	p.mu.Lock()
	draining, failed := p.draining, p.failed
	p.mu.Unlock()
	if draining && !p.r.batchIdle() || failed && p.r.probe(p.s.pullCtx) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining, p.failed = false, false
	return true
}

// pullFrom pulls once and starts the items. It reports whether there were any.
func (p *puller) pullFrom(ctx context.Context, entry string) bool {
	startBy := time.Now().Add(protocol.StartLimit)
	reply, err := p.call(entry, &protocol.PullArgs{Want: p.r.spare(), Idle: p.r.batchIdle(), Since: p.highest()}, protocol.StartLimit)
	p.mu.Lock()
	p.available[entry] = reply.Available
	if err != nil {
		// No wait may be held there that would tell again.
		p.tries[entry]--
		p.available[entry] = p.tries[entry] > 0
	}
	p.draining = reply.Drain
	for i := range reply.Items {
		p.draining = p.draining || reply.Items[i].Alone
	}
	p.mu.Unlock()
	for _, item := range reply.Items {
		p.start(ctx, startBy, p.s.newItem(p.r, entry, item))
	}
	return len(reply.Items) > 0
}

// start runs an item and returns it to an entry. After startBy it returns the
// item without starting it: its job may be cancelled by then.
func (p *puller) start(ctx context.Context, startBy time.Time, i *batchItem) {
	itemCtx, cancel := context.WithTimeout(ctx, itemTimeout)
	itemCtx, release, err := p.r.admit(itemCtx, i.attempt)
	p.s.items.Add(1)
	p.group.Go(func() {
		defer p.s.items.Done()
		defer cancel()
		if err == nil {
			release, err = p.s.enterItem(itemCtx, p.r, i, startBy, release)
		}
		if err != nil {
			klog.InfoS("item not started", "target", p.r.target.Name, "lease", i.attempt.Attempt, "error", protocol.CauseOf(err))
		}
		if err == nil {
			if time.Now().Before(startBy) {
				stop := p.renewals.add(i)
				p.note(p.s.generate(itemCtx, p.r, i, startBy))
				stop()
			}
			release()
		}
		p.s.finish(ctx, i.entry, i.finish)
	})
}

// note holds up further items after the target failed.
func (p *puller) note(err error) {
	if err == nil || !errorx.IsOfType(err, protocol.ErrTargetCrashed) && !errorx.IsOfType(err, protocol.ErrNotSent) && !errorx.IsOfType(err, protocol.ErrTargetFailed) && !errorx.IsOfType(err, protocol.ErrTruncated) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = true
}
