package gateway

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// crashPatience is how long after a broken answer the end of its target still
	// counts: three missed heartbeats of a target, and a read of the registry.
	crashPatience = 8 * time.Second
	// appendTimeout bounds the append of records about crashes, appendPause is the time
	// until it is tried again.
	appendTimeout = 2 * time.Second
	appendPause   = 500 * time.Millisecond
	// maxPending bounds the records that wait while the store is away.
	maxPending = 256
)

// suspicions is what the log says of requests that were in flight at crashes. It is
// immutable.
type suspicions struct {
	known map[string]worklog.Suspicion
	// fold and version are what it was read from.
	fold    *worklog.Fold
	version int
}

// crashes shares with the other gateways which requests were in flight at targets that
// crashed: a request that crashes each target comes again, to any gateway.
type crashes struct {
	suspicions atomic.Pointer[suspicions]

	mu     sync.Mutex
	breaks quarantine.CrashDetector
	// pending waits to be appended; appending is set while an append runs.
	pending   []worklog.Entry
	appending bool
}

func newCrashes() *crashes {
	c := &crashes{breaks: quarantine.CrashDetector{Window: crashPatience}}
	c.suspicions.Store(&suspicions{})
	return c
}

// publish takes what the fold says. The lock of the fold is held.
func (c *crashes) publish(fold *worklog.Fold) {
	if old := c.suspicions.Load(); old.fold == fold && old.version == fold.SuspectsVersion() {
		return
	}
	c.suspicions.Store(&suspicions{fold.Suspects(), fold, fold.SuspectsVersion()})
}

// queue keeps an entry until it is appended. The lock is held.
func (c *crashes) queue(e worklog.Entry) {
	if len(c.pending) >= maxPending {
		klog.InfoS("crash not recorded", "reason", "too many wait for the store", "waiting", len(c.pending))
		return
	}
	c.pending = append(c.pending, e)
}

// fingerprintOf identifies a request by its content, whoever sends it.
func fingerprintOf(r *fleet.Request) string {
	return protocol.Fingerprint([]byte(r.Host), []byte(r.Method), []byte(r.URI), r.Body)
}

// checkQuarantine fails with ErrQuarantined where the request has crashed too many
// targets.
func (g *Gateway) checkQuarantine(r *fleet.Request) error {
	known := g.crashes.suspicions.Load().known
	if len(known) == 0 {
		return nil
	}
	fingerprint := fingerprintOf(r)
	if s := known[fingerprint]; s.Quarantined {
		klog.InfoS("request in quarantine", "request", r.ID, "fingerprint", fingerprint, "crashes", s.Crashes)
		return fleet.ErrQuarantined.New("it was in flight at %d crashes", s.Crashes)
	}
	return nil
}

// noteBreak notes that the target's answer broke off, or its connection before that. A
// target that was merely left because it was silent has not crashed under the request.
func (o *online) noteBreak(ctx context.Context, target *fleet.Target) {
	if isStall(ctx) {
		return
	}
	c := o.g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks.Add(quarantine.BrokenRun{
		Fingerprint: fingerprintOf(o.request), Target: incarnation(target), Produced: o.after != o.begunAfter, At: time.Now(),
	})
}

// noteRun clears a suspect that has run to its end.
func (g *Gateway) noteRun(r *fleet.Request) {
	c := g.crashes
	known := c.suspicions.Load().known
	if len(known) == 0 {
		return
	}
	fingerprint := fingerprintOf(r)
	if _, suspected := known[fingerprint]; !suspected {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue(worklog.Entry{Cleared: &worklog.Cleared{Fingerprint: fingerprint}})
}

// incarnation names one run of a target's process, also where the next has the same ID.
func incarnation(t *fleet.Target) string { return t.ID + "@" + strconv.FormatInt(t.Born, 10) }

// statuses returns what the registry says of an incarnation by its name.
func statuses(s *registry.Snapshot) func(target string) quarantine.TargetStatus {
	registered := make(map[string]*fleet.Target, len(s.Addresses))
	for _, t := range s.Addresses {
		registered[incarnation(t)] = t
	}
	return func(target string) quarantine.TargetStatus {
		switch t := registered[target]; {
		case t == nil:
			return quarantine.TargetEnded
		case t.Draining:
			return quarantine.TargetDraining
		default:
			return quarantine.TargetRunning
		}
	}
}

// judgeBreaks looks which targets have ended under requests, and records that for all gateways.
func (g *Gateway) judgeBreaks() {
	c := g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breaks.Len() > 0 {
		c.judge(statuses(g.targets.Current()))
	}
	if len(c.pending) == 0 || c.appending {
		return
	}
	c.appending = true
	entries := c.pending
	c.pending = nil
	g.tomb.Go(func() error {
		left := g.appendCrashes(entries)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.appending = false
		c.pending = append(left, c.pending...)
		return nil
	})
}

// judge queues a record for each run whose target has ended. The lock is held.
func (c *crashes) judge(status func(target string) quarantine.TargetStatus) {
	for _, b := range c.breaks.Crashed(time.Now(), status) {
		klog.InfoS("target ended under a request", "target", b.Target, "fingerprint", b.Fingerprint, "produced", b.Produced)
		c.queue(worklog.Entry{Crash: &worklog.Crash{Fingerprint: b.Fingerprint, Target: b.Target, Produced: b.Produced}})
	}
}

// appendCrashes appends the entries, and returns those that are to be appended again.
func (g *Gateway) appendCrashes(entries []worklog.Entry) []worklog.Entry {
	var records []fleet.Record
	for _, e := range entries {
		record, err := g.writer.Record(e)
		if err != nil {
			klog.ErrorS(nil, "record not encoded", "error", protocol.CauseOf(err))
			continue
		}
		records = append(records, record)
	}
	ctx, cancel := context.WithTimeout(g.ctx, appendTimeout)
	defer cancel()
	_, err := g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, records)
	if err == nil {
		return nil
	}
	klog.InfoS("crashes not recorded yet", "records", len(records), "error", protocol.CauseOf(err))
	pause.For(g.ctx, appendPause)
	return entries
}
