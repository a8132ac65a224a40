package gateway

import (
	"context"
	"maps"
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
	// tellTimeout bounds the append of what is to be told of crashes, tellPause is the
	// time until it is tried again.
	tellTimeout = 2 * time.Second
	tellPause   = 500 * time.Millisecond
	// maxTold bounds what waits to be told while the store is away.
	maxTold = 256
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
	breaks quarantine.Breaks
	// seen is when each suspect's last crash became known here.
	seen map[string]seenCrash
	// untold waits to be appended; telling is set while an append runs.
	untold  []worklog.Entry
	telling bool
}

// seenCrash is how many crashes of a suspect are known since when.
type seenCrash struct {
	crashes int
	at      time.Time
}

func newCrashes() *crashes {
	c := &crashes{breaks: quarantine.Breaks{Patience: crashPatience}, seen: map[string]seenCrash{}}
	c.suspicions.Store(&suspicions{})
	return c
}

// publish takes what the fold says. The lock of the fold is held.
func (c *crashes) publish(fold *worklog.Fold) {
	if old := c.suspicions.Load(); old.fold == fold && old.version == fold.SuspectsVersion() {
		return
	}
	known := fold.Suspects()
	c.suspicions.Store(&suspicions{known, fold, fold.SuspectsVersion()})
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.seen, func(digest string, _ seenCrash) bool { return known[digest].Crashes == 0 })
	for digest, s := range known {
		if c.seen[digest].crashes != s.Crashes {
			c.seen[digest] = seenCrash{s.Crashes, time.Now()}
		}
	}
}

// tell keeps an entry until it is appended. The lock is held.
func (c *crashes) tell(e worklog.Entry) {
	if len(c.untold) >= maxTold {
		klog.InfoS("crash not told", "reason", "too many wait for the store", "waiting", len(c.untold))
		return
	}
	c.untold = append(c.untold, e)
}

// fingerprint identifies a request by its content, whoever sends it.
func fingerprint(r *fleet.Request) string {
	return protocol.Fingerprint([]byte(r.Host), []byte(r.Method), []byte(r.URI), r.Body)
}

// checkQuarantine fails with ErrQuarantined where the request has crashed too many
// targets.
func (g *Gateway) checkQuarantine(r *fleet.Request) error {
	known := g.crashes.suspicions.Load().known
	if len(known) == 0 {
		return nil
	}
	digest := fingerprint(r)
	if s := known[digest]; s.Convicted {
		klog.InfoS("request in quarantine", "request", r.ID, "fingerprint", digest, "crashes", s.Crashes)
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
	c.breaks.Add(quarantine.Break{
		Fingerprint: fingerprint(o.request), Target: lifetime(target), Produced: o.after != o.begunAfter, At: time.Now(),
	})
}

// noteRun clears a suspect that has run to its end.
func (g *Gateway) noteRun(r *fleet.Request) {
	c := g.crashes
	known := c.suspicions.Load().known
	if len(known) == 0 {
		return
	}
	digest := fingerprint(r)
	if _, suspected := known[digest]; !suspected {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell(worklog.Entry{Cleared: &worklog.Cleared{Fingerprint: digest}})
}

// lifetime names a target's lifetime, also where the next one has the same ID.
func lifetime(t *fleet.Target) string { return t.ID + "@" + strconv.FormatInt(t.Born, 10) }

// fatesOf returns what the registry says of a lifetime by its name.
func fatesOf(s *registry.Snapshot) func(target string) quarantine.Fate {
	registered := make(map[string]*fleet.Target, len(s.Addresses))
	for _, t := range s.Addresses {
		registered[lifetime(t)] = t
	}
	return func(target string) quarantine.Fate {
		switch t := registered[target]; {
		case t == nil:
			return quarantine.FateEnded
		case t.Draining:
			return quarantine.FateLeaves
		default:
			return quarantine.FateRuns
		}
	}
}

// judgeBreaks looks which targets have ended under requests, and tells the others.
func (g *Gateway) judgeBreaks() {
	c := g.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breaks.Len() > 0 {
		c.judge(fatesOf(g.targets.Current()))
	}
	if len(c.untold) == 0 || c.telling {
		return
	}
	c.telling = true
	entries := c.untold
	c.untold = nil
	g.tomb.Go(func() error {
		left := g.tellCrashes(entries)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.telling = false
		c.untold = append(left, c.untold...)
		return nil
	})
}

// judge notes what is to be told of runs whose targets have ended. The lock is held.
func (c *crashes) judge(fate func(target string) quarantine.Fate) {
	for _, b := range c.breaks.Crashed(time.Now(), fate) {
		klog.InfoS("target ended under a request", "target", b.Target, "fingerprint", b.Fingerprint, "produced", b.Produced)
		c.tell(worklog.Entry{Crash: &worklog.Crash{Fingerprint: b.Fingerprint, Target: b.Target, Produced: b.Produced}})
	}
}

// tellCrashes appends the entries, and returns those that are to be appended again.
func (g *Gateway) tellCrashes(entries []worklog.Entry) []worklog.Entry {
	var records []fleet.Record
	for _, e := range entries {
		record, err := g.writer.Record(e)
		if err != nil {
			klog.ErrorS(nil, "record not encoded", "error", protocol.CauseOf(err))
			continue
		}
		records = append(records, record)
	}
	ctx, cancel := context.WithTimeout(g.ctx, tellTimeout)
	defer cancel()
	_, err := g.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, records)
	if err == nil {
		return nil
	}
	klog.InfoS("crashes not told yet", "records", len(records), "error", protocol.CauseOf(err))
	pause.For(g.ctx, tellPause)
	return entries
}

// quarantineTime is how long after its last crash a request is suspected.
const quarantineTime = 10 * time.Minute

// forgetSuspects deletes what is known of requests whose last crash is long ago.
func (g *Gateway) forgetSuspects() {
	g.jobsMu.RLock()
	var gone []fleet.Record
	for _, digest := range g.crashes.old(time.Now()) {
		gone = append(gone, g.fold.ForgetSuspect(digest)...)
	}
	g.jobsMu.RUnlock()
	if len(gone) == 0 {
		return
	}
	err := g.deleteRecords(fleet.TopicWork, gone)
	klog.InfoS("suspects forgotten", "records", len(gone), "outcome", outcomeOf(err), "error", protocol.CauseOf(err))
}

// old returns the requests whose last crash this process has known of for long.
func (c *crashes) old(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var old []string
	for digest, seen := range c.seen {
		if now.Sub(seen.at) > quarantineTime {
			old = append(old, digest)
		}
	}
	return old
}
