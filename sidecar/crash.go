package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// crashStoreTimeout bounds how long an attempt waits for its target's crash to
// become durable before it ends without that.
const crashStoreTimeout = 10 * time.Second

// inFlightCall is a call that was sent to the target and has not ended.
type inFlightCall struct {
	fingerprint string
	// productive is set once the target has produced output of the call.
	productive bool
	incident   *incident
}

// incident is one crash of the target.
type incident struct {
	id string
	// stored is closed once the crash record is durable, and at is set by then.
	stored chan struct{}
	at     protocol.Position
}

// crashDetector tells crashes of one target from single broken streams, and makes
// each known in the log before any call that was in flight is tried again.
type crashDetector struct {
	target string
	// probe returns the target's boot identity, or an error where it is down.
	probe func(ctx context.Context) (string, error)
	// store appends the crash record; it goes on until ctx ends.
	store func(ctx context.Context, rec protocol.Record) (protocol.Position, error)
	// spawn runs a goroutine of the sidecar.
	spawn func(func())
	// onCrash is told of each crash.
	onCrash        func()
	quarantineTime time.Duration

	mu     sync.Mutex
	bootID string
	// bootKnown is set while boot is that of the running target.
	bootKnown bool
	inFlight  map[string]*inFlightCall
	endedBy   map[string]*incident
}

// addInFlight notes that the attempt goes to the target now.
func (c *crashDetector) addInFlight(attempt, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[attempt] = &inFlightCall{fingerprint: fingerprint}
}

// markProductive notes that the target has produced output of the attempt.
func (c *crashDetector) markProductive(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.inFlight[attempt]; f != nil {
		f.productive = true
	}
}

// isInFlight reports whether the target has the attempt.
func (c *crashDetector) isInFlight(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight[attempt] != nil
}

// finishAttempt takes the attempt out of flight and judges its error: an error that came
// of a crash is returned as ErrTargetCrashed once the crash is durable, or as
// ErrCrashUnstored where that takes too long. Others are returned as they are.
func (c *crashDetector) finishAttempt(ctx context.Context, attempt string, err error) error {
	defer c.removeInFlight(attempt)
	if err == nil || !mayBeCrash(err) {
		return err
	}
	in := c.findIncident(ctx, attempt)
	if in == nil {
		return err
	}
	timer := time.NewTimer(crashStoreTimeout)
	defer timer.Stop()
	select {
	case <-in.stored:
		return protocol.ErrTargetCrashed.Wrap(err, "target %s crashed", c.target)
	case <-timer.C:
		return protocol.ErrCrashUnstored.Wrap(err, "target %s crashed and the log does not take the record", c.target)
	}
}

// mayBeCrash leaves out errors with which the target did not have the call or
// answered it.
func mayBeCrash(err error) bool {
	for _, kind := range []*errorx.Type{protocol.ErrNotSent, protocol.ErrBadRequest, protocol.ErrBusy} {
		if errorx.IsOfType(err, kind) {
			return false
		}
	}
	return true
}

func (c *crashDetector) removeInFlight(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.inFlight[attempt]
	delete(c.inFlight, attempt)
	if f != nil && f.incident != nil {
		c.endedBy[attempt] = f.incident
	}
}

// takeIncident takes out the incident that ended the attempt, nil without one.
func (c *crashDetector) takeIncident(attempt string) *incident {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.endedBy[attempt]
	delete(c.endedBy, attempt)
	return in
}

// restartTimeout bounds the wait for a target that restarts after a crash.
const restartTimeout = 3 * time.Second

// restartProbeInterval is the time between two probes of a target that restarts.
const restartProbeInterval = 20 * time.Millisecond

// awaitBootID waits until the boot identity of the running target is known, so that a
// later crash shows. It fails with ErrBusy where the target does not come up.
func (c *crashDetector) awaitBootID(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		known := c.bootKnown
		c.mu.Unlock()
		if known {
			return nil
		}
		if boot, err := c.probe(ctx); err == nil {
			c.observeBoot(boot)
			continue
		}
		if ctx.Err() != nil {
			return protocol.ErrBusy.New("target %s is down", c.target)
		}
		pause.For(ctx, restartProbeInterval)
	}
}

// findIncident returns the incident that the attempt belongs to, nil where the target
// has not crashed. A target that is merely slow to answer has crashed only if
// it broke the stream itself.
func (c *crashDetector) findIncident(ctx context.Context, attempt string) *incident {
	boot, err := c.probe(context.WithoutCancel(ctx))
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.inFlight[attempt]
	if f == nil || f.incident != nil {
		return incidentOf(f)
	}
	if err != nil && ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	if err == nil && (!c.bootKnown || boot == c.bootID) {
		return nil
	}
	c.bootID, c.bootKnown = boot, err == nil
	return c.openIncident()
}

func incidentOf(f *inFlightCall) *incident {
	if f == nil {
		return nil
	}
	return f.incident
}

// observeBoot notes the boot identity of the running target. A change under calls in
// flight is a crash.
func (c *crashDetector) observeBoot(boot string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bootKnown && boot != c.bootID {
		c.openIncident()
	}
	c.bootID, c.bootKnown = boot, true
}

// openIncident makes every call in flight a suspect. The caller holds the lock.
func (c *crashDetector) openIncident() *incident {
	in := &incident{id: protocol.NewID(), stored: make(chan struct{})}
	var fingerprints, productive []string
	for _, f := range c.inFlight {
		if f.incident != nil {
			continue
		}
		f.incident = in
		fingerprints = append(fingerprints, f.fingerprint)
		if f.productive {
			productive = append(productive, f.fingerprint)
		}
	}
	if len(fingerprints) == 0 {
		return nil
	}
	slices.Sort(fingerprints)
	slices.Sort(productive)
	rec := protocol.Record{ID: in.id, Crash: &protocol.TargetCrash{
		Target:       c.target,
		Fingerprints: slices.Compact(fingerprints),
		Productive:   slices.Compact(productive),
		HoldMillis:   c.quarantineTime.Milliseconds(),
	}}
	klog.InfoS("target crashed", "target", c.target, "suspects", len(rec.Crash.Fingerprints), "productive", len(rec.Crash.Productive), "incident", in.id)
	c.spawn(func() { c.storeIncident(in, rec) })
	c.spawn(c.onCrash)
	return in
}

func (c *crashDetector) storeIncident(in *incident, rec protocol.Record) {
	at, err := c.store(context.Background(), rec)
	if err != nil {
		klog.InfoS("crash record not stored", "target", c.target, "incident", in.id, "error", protocol.CauseOf(err))
		return
	}
	in.at = at
	close(in.stored)
}

// newCrashDetector returns the detector of the runner's target.
func (s *Sidecar) newCrashDetector(r *runner) *crashDetector {
	return &crashDetector{
		target:         r.target.Name,
		probe:          r.targetBoot,
		store:          s.storeCrash,
		spawn:          func(f func()) { s.goTracked(func(context.Context) { f() }) },
		onCrash:        func() { r.setHealthy(false) },
		quarantineTime: time.Duration(s.settings.Process.QuarantineTime),
		inFlight:       map[string]*inFlightCall{},
		endedBy:        map[string]*incident{},
	}
}

// currentBoot returns the boot identity of the running target, and false while that
// is not known.
func (c *crashDetector) currentBoot() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bootID, c.bootKnown
}
