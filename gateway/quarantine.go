package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/crashlimit"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// partObservation is how long a part of prompts to which crashes point is observed before
	// it is quarantined: a run of a request with it, and a read of the work log by all
	// gateways. partCompletions is the number of other requests with prompts that must be
	// completed meanwhile.
	partObservation = time.Second
	partCompletions = 3
)

// suspicions is an immutable snapshot of the work log's suspicions of requests that
// were in flight at crashes.
type suspicions struct {
	byFingerprint map[string]worklog.Suspicion
	parts         crashlimit.PartVerdicts
	// quarantinedParts are the parts of prompts that a gateway has quarantined.
	quarantinedParts map[string]bool
	// fold and version identify the state that the snapshot was taken from.
	fold    *worklog.Fold
	version int
}

// publish takes a snapshot of the fold's suspicions. The fold's mutex must be held.
func (c *crashTracker) publish(fold *worklog.Fold) {
	if old := c.suspicions.Load(); old.fold == fold && old.version == fold.SuspectsVersion() {
		return
	}
	c.suspicions.Store(&suspicions{fold.Suspects(), fold.JudgeParts(), fold.QuarantinedParts(), fold, fold.SuspectsVersion()})
}

// fingerprintOf returns the request's fingerprint. It depends on the content alone, not
// on the caller.
func fingerprintOf(r *fleet.Request) string {
	return protocol.Fingerprint([]byte(r.Host), []byte(r.Method), []byte(r.URI), r.Body)
}

// checkQuarantine returns ErrQuarantined if the request is in quarantine: it, or a part of
// its prompt, was in flight at too many crashes.
func (g *Gateway) checkQuarantine(r *fleet.Request) error {
	known := g.crashes.suspicions.Load()
	quarantined := *g.crashes.quarantinedParts.Load()
	for _, part := range r.PromptParts {
		if quarantined[part] {
			klog.InfoS("request in quarantine", "request", r.ID, "part", part)
			return fleet.ErrQuarantined.New("part %s of the prompt was in flight at too many crashes", part)
		}
	}
	if _, quarantined := g.crashes.unstored.verdict(r); quarantined {
		klog.InfoS("request in quarantine", "request", r.ID, "reason", "crashes that are not stored yet")
		return fleet.ErrQuarantined.New("request was in flight at too many crashes that are not stored yet")
	}
	if len(known.byFingerprint) == 0 {
		return nil
	}
	fingerprint := fingerprintOf(r)
	if s := known.byFingerprint[fingerprint]; s.Quarantined {
		klog.InfoS("request in quarantine", "request", r.ID, "fingerprint", fingerprint, "crashes", s.Crashes)
		return fleet.ErrQuarantined.New("request was in flight at %d crashes", s.Crashes)
	}
	return nil
}

// updateQuarantinedParts puts into force which parts of prompts are quarantined: those that
// the work log names, and those that this gateway has observed itself, which it records
// there. One gateway's observation counts for all, since others may have few requests. mu
// must be held.
func (c *crashTracker) updateQuarantinedParts() {
	known := c.suspicions.Load()
	c.observer.Observe(known.parts.Implicated)
	next := c.observer.Quarantined(time.Now())
	for part := range next {
		if !known.quarantinedParts[part] {
			c.enqueueOnce(known, worklog.Entry{PartQuarantined: &worklog.PartQuarantined{Part: part}}, "quarantine of "+part)
		}
	}
	maps.Copy(next, known.quarantinedParts)
	before := *c.quarantinedParts.Load()
	if maps.Equal(before, next) {
		return
	}
	c.quarantinedParts.Store(&next)
	klog.InfoS("quarantined parts of prompts changed", "parts", slices.Sorted(maps.Keys(next)), "before", slices.Sorted(maps.Keys(before)))
}

// withoutOutdatedQuarantines reads the work log if an entry quarantines a part, and returns
// the entries without those for parts that another gateway has cleared meanwhile: the
// quarantine would follow the clearing record in the log, and outweigh it. It fails if the
// log cannot be read.
func (g *Gateway) withoutOutdatedQuarantines(ctx context.Context, entries []worklog.Entry) ([]worklog.Entry, error) {
	quarantines := func(e worklog.Entry) bool { return e.PartQuarantined != nil }
	if !slices.ContainsFunc(entries, quarantines) {
		return entries, nil
	}
	if err := g.workTail.CatchUp(ctx); err != nil {
		return nil, err
	}
	implicated := g.crashes.suspicions.Load().parts.Implicated
	return slices.DeleteFunc(slices.Clone(entries), func(e worklog.Entry) bool {
		return quarantines(e) && !implicated[e.PartQuarantined.Part]
	}), nil
}

// suspectedParts returns the parts of the request's prompt that are suspected.
func (c *crashTracker) suspectedParts(r *fleet.Request) []string {
	suspected := c.suspicions.Load().parts.Suspected
	var parts []string
	for _, part := range r.PromptParts {
		if suspected[part] {
			parts = append(parts, part)
		}
	}
	return parts
}

// clearSuspicion enqueues records that clear the request and the parts of its prompt as far
// as they are suspected, after it has run to completion.
func (g *Gateway) clearSuspicion(r *fleet.Request) {
	c := g.crashes
	known := c.suspicions.Load()
	isUnstored, _ := c.unstored.verdict(r)
	if len(known.byFingerprint) == 0 && !isUnstored {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.PromptParts) > 0 {
		c.observer.Completed(time.Now(), r.PromptParts)
	}
	for _, part := range c.suspectedParts(r) {
		c.enqueueOnce(known, worklog.Entry{PartCleared: &worklog.PartCleared{Part: part}}, part)
	}
	fingerprint := fingerprintOf(r)
	if isUnstored {
		c.unstored.clear(fingerprint)
	}
	if _, suspected := known.byFingerprint[fingerprint]; suspected || isUnstored {
		c.enqueueOnce(known, worklog.Entry{Cleared: &worklog.Cleared{Fingerprint: fingerprint}}, fingerprint)
	}
}

// enqueueOnce enqueues an entry that follows from the known suspicions, unless it has
// enqueued the same verdict since they became known. mu must be held.
func (c *crashTracker) enqueueOnce(known *suspicions, e worklog.Entry, verdict string) {
	if c.verdictsOn != known {
		c.verdictsOn, c.verdicts = known, map[string]bool{}
	}
	if !c.verdicts[verdict] {
		c.verdicts[verdict] = true
		c.enqueue(e)
	}
}
