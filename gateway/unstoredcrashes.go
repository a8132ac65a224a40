package gateway

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/crashlimit"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// passOnDelay is how long a crash may be on its way to the store before batchers are asked to
	// store it, and passOnInterval the time until others are asked. A store that answers takes
	// a small part of the first.
	passOnDelay    = 300 * time.Millisecond
	passOnInterval = time.Second
	// maxPassedOn bounds how often batchers are asked about one crash, and batchersAsked the number
	// of them each time.
	maxPassedOn   = 3
	batchersAsked = 2
	// unstoredLifetime is how long such a crash counts at this gateway alone.
	unstoredLifetime = time.Minute
)

// CrashRecorder reaches the batchers, which may reach the store where this gateway does not.
type CrashRecorder interface {
	// RecordCrash asks the batcher at the address to record a crash in the work log. The message
	// may be lost.
	RecordCrash(address string, crash fleet.PeerCrash)
}

// unstoredCrashes are the crashes that this gateway has seen and that are not known to be in the work
// log. The crashTracker's mu guards them, but for verdicts.
type unstoredCrashes struct {
	list []*unstoredCrash
	// verdicts holds the fingerprints of the requests that were in flight at them, and whether these are
	// quarantined for it. The map is never changed.
	verdicts atomic.Pointer[map[string]bool]
}

// unstoredCrash is a crash that is not known to be in the work log.
type unstoredCrash struct {
	*worklog.Crash
	seenAt   time.Time
	passOnAt time.Time
	passedOn int
}

// add adds a crash, unless there are too many.
func (u *unstoredCrashes) add(now time.Time, c *worklog.Crash) {
	if len(u.list) < maxPendingRecords {
		u.list = append(u.list, &unstoredCrash{Crash: c, seenAt: now, passOnAt: now.Add(passOnDelay)})
		u.judge()
	}
}

// remove removes the crashes among the entries, which are stored now.
func (u *unstoredCrashes) remove(entries []worklog.Entry) {
	if len(u.list) == 0 {
		return
	}
	stored := map[*worklog.Crash]bool{}
	for _, e := range entries {
		stored[e.Crash] = true
	}
	u.list = slices.DeleteFunc(u.list, func(c *unstoredCrash) bool { return stored[c.Crash] })
	u.judge()
}

// expire forgets the crashes that have counted for unstoredLifetime.
func (u *unstoredCrashes) expire(now time.Time) {
	before := len(u.list)
	u.list = slices.DeleteFunc(u.list, func(c *unstoredCrash) bool { return now.Sub(c.seenAt) > unstoredLifetime })
	if len(u.list) < before {
		u.judge()
	}
}

// judge puts into force which requests these crashes quarantine.
func (u *unstoredCrashes) judge() {
	crashes, productive := map[string]int{}, map[string]int{}
	for _, c := range u.list {
		crashes[c.Fingerprint]++
		if c.Produced {
			productive[c.Fingerprint]++
		}
	}
	verdicts := map[string]bool{}
	for fingerprint, n := range crashes {
		verdicts[fingerprint] = crashlimit.Reached(n, productive[fingerprint])
	}
	u.verdicts.Store(&verdicts)
}

// verdict returns whether the request was in flight at such a crash, and whether it is quarantined for
// them. It does not need the lock.
func (u *unstoredCrashes) verdict(r *fleet.Request) (suspected, quarantined bool) {
	verdicts := u.verdicts.Load()
	if verdicts == nil || len(*verdicts) == 0 {
		return false, false
	}
	quarantined, suspected = (*verdicts)[fingerprintOf(r)]
	return suspected, quarantined
}

// clear forgets the crashes of a request that has run to completion.
func (u *unstoredCrashes) clear(fingerprint string) {
	u.list = slices.DeleteFunc(u.list, func(c *unstoredCrash) bool { return c.Fingerprint == fingerprint })
	u.judge()
}

// due returns the crashes that batchers are to be asked about now.
func (u *unstoredCrashes) due(now time.Time) []fleet.PeerCrash {
	var due []fleet.PeerCrash
	for _, c := range u.list {
		if c.passedOn >= maxPassedOn || now.Before(c.passOnAt) {
			continue
		}
		c.passedOn, c.passOnAt = c.passedOn+1, now.Add(passOnInterval)
		due = append(due, fleet.PeerCrash{
			Fingerprint: c.Fingerprint, Target: c.Target, Produced: c.Produced, Parts: c.Parts, SuspectedParts: c.SuspectedParts,
		})
	}
	return due
}

// passOnCrashes asks batchers to record the crashes that this gateway can't store: the store may
// turn it away and serve others, to which the same requests come next.
func (g *Gateway) passOnCrashes() {
	now := time.Now()
	g.crashes.mu.Lock()
	g.crashes.unstored.expire(now)
	due := g.crashes.unstored.due(now)
	g.crashes.mu.Unlock()
	if g.params.CrashRecorder == nil || len(due) == 0 {
		return
	}
	var targets []*fleet.Target
	for _, target := range g.targets.Current().Addresses {
		targets = append(targets, target)
	}
	for _, crash := range due {
		klog.InfoS("crash passed on", "target", crash.Target, "fingerprint", crash.Fingerprint)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		for _, target := range targets[:min(batchersAsked, len(targets))] {
			g.params.CrashRecorder.RecordCrash(g.batcherAddress(target), crash)
		}
	}
}
