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
	// crashWindow is how long after a broken answer the end of its target still counts
	// as a crash: three missed heartbeats of a target, and a read of the registry.
	crashWindow = 8 * time.Second
	// appendTimeout bounds one append of records of crashes and clearances.
	// appendRetryDelay is the delay before a failed append is retried.
	appendTimeout    = 2 * time.Second
	appendRetryDelay = 500 * time.Millisecond
	// maxPendingRecords bounds the records that are queued while the store is
	// unavailable.
	maxPendingRecords = 256
)

// crashTracker shares with all gateways, through the work log, which requests were in
// flight at targets that crashed: a request that crashes every target is sent again,
// to any gateway.
type crashTracker struct {
	suspicions atomic.Pointer[suspicions]
	// quarantinedParts holds the parts of prompts that must not be sent to targets. The map
	// is never changed.
	quarantinedParts atomic.Pointer[map[string]bool]

	// mu guards the fields below.
	mu       sync.Mutex
	breaks   quarantine.CrashDetector
	observer quarantine.PartObserver
	// pending holds the entries that are still to be appended. appending is set while
	// an append is in progress.
	pending   []worklog.Entry
	appending bool
	// unstored are the crashes that are not known to be in the work log.
	unstored unstoredCrashes
	// verdicts holds the verdicts that were enqueued while verdictsOn were the known
	// suspicions.
	verdicts   map[string]bool
	verdictsOn *suspicions
	// unprobed holds the targets of broken runs that are still to be checked, by
	// incarnation, and probing the incarnations that are being checked.
	unprobed map[string]*fleet.Target
	probing  map[string]bool
}

func newCrashTracker() *crashTracker {
	c := &crashTracker{
		breaks:   quarantine.CrashDetector{Window: crashWindow},
		observer: quarantine.PartObserver{Period: partObservation, Completions: partCompletions},
		unprobed: map[string]*fleet.Target{}, probing: map[string]bool{},
	}
	c.quarantinedParts.Store(&map[string]bool{})
	c.suspicions.Store(&suspicions{})
	return c
}

// enqueue adds an entry to those that are to be appended. mu must be held.
func (c *crashTracker) enqueue(e worklog.Entry) {
	if len(c.pending) >= maxPendingRecords {
		klog.InfoS("quarantine record dropped", "reason", "too many records waiting for the store", "waiting", len(c.pending))
		return
	}
	c.pending = append(c.pending, e)
}

// recordBreak records that the target's answer, or the connection before the answer,
// broke off. An attempt that the gateway itself broke off because the target was
// unresponsive is no sign of a crash.
func (o *onlineRequest) recordBreak(ctx context.Context, target *fleet.Target) {
	if !isStalled(ctx) {
		o.g.recordBreak(o.request, target, o.lastEvent != o.attemptLastEvent, o.suspectedParts)
	}
}

// recordBreak records a broken run of the request at the target. produced is set if it has sent
// events, and suspectedParts are the parts of the prompt that were suspected when it began.
func (g *Gateway) recordBreak(r *fleet.Request, target *fleet.Target, produced bool, suspectedParts []string) {
	if target.Provisional { // the registry cannot tell its end
		return
	}
	c := g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks.Add(quarantine.BrokenRun{
		Fingerprint: fingerprintOf(r), Target: incarnation(target), Produced: produced, At: time.Now(), PromptParts: r.PromptParts, SuspectedParts: suspectedParts,
	})
	if name := incarnation(target); !c.probing[name] && len(c.unprobed) < maxProbes {
		c.unprobed[name] = target
	}
}

// incarnation returns a name for one run of a target's process, distinct from that of a
// later run with the same ID.
func incarnation(t *fleet.Target) string {
	return t.ID + "@" + strconv.FormatInt(t.StartUnixMillis, 10)
}

// targetStatuses returns a function that looks up the status of an incarnation in the
// registry.
func targetStatuses(s *registry.Snapshot) func(target string) quarantine.TargetStatus {
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

// detectCrashes starts the checks of targets whose answers broke off, finds out which
// targets have ended while requests were in flight there, updates the quarantine of parts
// of prompts, and appends pending records to the work log.
func (g *Gateway) detectCrashes() {
	c := g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	g.startProbes()
	c.updateQuarantinedParts()
	if c.breaks.Len() > 0 {
		c.enqueueCrashes(targetStatuses(g.targets.Current()))
	}
	if len(c.pending) == 0 || c.appending {
		return
	}
	c.appending = true
	entries := c.pending
	c.pending = nil
	g.tomb.Go(func() error {
		failed := g.appendQuarantineRecords(entries)
		c.mu.Lock()
		defer c.mu.Unlock()
		if failed == nil {
			c.unstored.remove(entries)
		}
		c.appending = false
		added := c.pending
		c.pending = nil
		for _, e := range append(failed, added...) {
			c.enqueue(e)
		}
		return nil
	})
}

// enqueueCrashes enqueues a record for each request whose target has crashed. mu must be
// held.
func (c *crashTracker) enqueueCrashes(status func(target string) quarantine.TargetStatus) {
	for _, b := range c.breaks.Crashed(time.Now(), status) {
		klog.InfoS("target ended under a request", "target", b.Target, "fingerprint", b.Fingerprint, "produced", b.Produced,
			"probed", c.breaks.HasEnded(b.Target), "after", time.Since(b.At), "parts", b.PromptParts, "suspected_parts", b.SuspectedParts)
		crash := &worklog.Crash{
			Fingerprint: b.Fingerprint, Target: b.Target, Produced: b.Produced, Parts: b.PromptParts, SuspectedParts: b.SuspectedParts,
		}
		c.unstored.add(time.Now(), crash)
		c.enqueue(worklog.Entry{Crash: crash})
	}
}

// appendQuarantineRecords appends the entries to the work log and returns those that must be
// appended again.
func (g *Gateway) appendQuarantineRecords(entries []worklog.Entry) []worklog.Entry {
	ctx, cancel := context.WithTimeout(g.ctx, appendTimeout)
	defer cancel()
	current, err := g.withoutOutdatedQuarantines(ctx, entries)
	records := g.encodeQuarantineRecords(current)
	if err == nil && len(records) > 0 {
		_, err = g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, records)
	}
	if err == nil {
		_ = g.workTail.CatchUp(ctx) // the next periodic read would apply the records later
		return nil
	}
	klog.InfoS("append of quarantine records failed; will be retried", "records", len(entries), "error", protocol.CauseOf(err))
	pause.For(g.ctx, appendRetryDelay)
	return entries
}

// encodeQuarantineRecords encodes the entries.
func (g *Gateway) encodeQuarantineRecords(entries []worklog.Entry) []fleet.Record {
	var records []fleet.Record
	for _, e := range entries {
		record, err := g.writer.Record(e)
		if err != nil {
			klog.ErrorS(nil, "quarantine record not encoded", "error", protocol.CauseOf(err))
			continue
		}
		records = append(records, record)
	}
	return records
}
