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

// crashStoreWait bounds how long an attempt waits for its target's crash to
// become durable before it ends without that.
const crashStoreWait = 10 * time.Second

// flight is a call that was sent to the target and has not ended.
type flight struct {
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

// crashes tells crashes of one target from single broken streams, and makes
// each known in the log before any call that was in flight is tried again.
type crashes struct {
	target string
	// probe returns the target's boot identity, or an error where it is down.
	probe func(ctx context.Context) (string, error)
	// store appends the crash record; it goes on until ctx ends.
	store func(ctx context.Context, rec protocol.Record) (protocol.Position, error)
	// spawn runs a goroutine of the sidecar.
	spawn func(func())
	// down is told of each crash.
	down func()
	hold time.Duration

	mu   sync.Mutex
	boot string
	// known is set while boot is that of the running target.
	known   bool
	flights map[string]*flight
	past    map[string]*incident
}

// sent notes that the attempt goes to the target now.
func (c *crashes) sent(attempt, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flights[attempt] = &flight{fingerprint: fingerprint}
}

// produced notes that the target has produced output of the attempt.
func (c *crashes) produced(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flights[attempt]; f != nil {
		f.productive = true
	}
}

// inFlight reports whether the target has the attempt.
func (c *crashes) inFlight(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flights[attempt] != nil
}

// ended takes the attempt out of flight and judges its error: an error that came
// of a crash is returned as ErrTargetCrashed once the crash is durable, or as
// ErrCrashUnstored where that takes too long. Others are returned as they are.
func (c *crashes) ended(ctx context.Context, attempt string, err error) error {
	defer c.forget(attempt)
	if err == nil || !mayBeCrash(err) {
		return err
	}
	in := c.find(ctx, attempt)
	if in == nil {
		return err
	}
	timer := time.NewTimer(crashStoreWait)
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

func (c *crashes) forget(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flights[attempt]
	delete(c.flights, attempt)
	if f != nil && f.incident != nil {
		c.past[attempt] = f.incident
	}
}

// incidentOf takes out the incident that ended the attempt, nil without one.
func (c *crashes) incidentOf(attempt string) *incident {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.past[attempt]
	delete(c.past, attempt)
	return in
}

// learnWait bounds the wait for a target that restarts after a crash.
const learnWait = 3 * time.Second

// learnPause is the time between two probes of a target that restarts.
const learnPause = 20 * time.Millisecond

// learn waits until the boot identity of the running target is known, so that a
// later crash shows. It fails with ErrBusy where the target does not come up.
func (c *crashes) learn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, learnWait)
	defer cancel()
	for {
		c.mu.Lock()
		known := c.known
		c.mu.Unlock()
		if known {
			return nil
		}
		if boot, err := c.probe(ctx); err == nil {
			c.observe(boot)
			continue
		}
		if ctx.Err() != nil {
			return protocol.ErrBusy.New("target %s is down", c.target)
		}
		pause.For(ctx, learnPause)
	}
}

// find returns the incident that the attempt belongs to, nil where the target
// has not crashed. A target that is merely slow to answer has crashed only if
// it broke the stream itself.
func (c *crashes) find(ctx context.Context, attempt string) *incident {
	boot, err := c.probe(context.WithoutCancel(ctx))
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flights[attempt]
	if f == nil || f.incident != nil {
		return incidentIn(f)
	}
	if err != nil && ctx.Err() != nil && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	if err == nil && (!c.known || boot == c.boot) {
		return nil
	}
	c.boot, c.known = boot, err == nil
	return c.open()
}

func incidentIn(f *flight) *incident {
	if f == nil {
		return nil
	}
	return f.incident
}

// observe notes the boot identity of the running target. A change under calls in
// flight is a crash.
func (c *crashes) observe(boot string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && boot != c.boot {
		c.open()
	}
	c.boot, c.known = boot, true
}

// open makes every call in flight a suspect. The caller holds the lock.
func (c *crashes) open() *incident {
	in := &incident{id: protocol.NewID(), stored: make(chan struct{})}
	var fingerprints, productive []string
	for _, f := range c.flights {
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
		HoldMillis:   c.hold.Milliseconds(),
	}}
	klog.InfoS("target crashed", "target", c.target, "suspects", len(rec.Crash.Fingerprints), "productive", len(rec.Crash.Productive), "incident", in.id)
	c.spawn(func() { c.persist(in, rec) })
	c.spawn(c.down)
	return in
}

func (c *crashes) persist(in *incident, rec protocol.Record) {
	at, err := c.store(context.Background(), rec)
	if err != nil {
		klog.InfoS("crash record not stored", "target", c.target, "incident", in.id, "error", protocol.CauseOf(err))
		return
	}
	in.at = at
	close(in.stored)
}

// newCrashes returns the detector of the runner's target.
func (s *Sidecar) newCrashes(r *runner) *crashes {
	return &crashes{
		target:  r.target.Name,
		probe:   r.targetBoot,
		store:   s.storeCrash,
		spawn:   func(f func()) { s.goOn(func(context.Context) { f() }) },
		down:    func() { r.setHealthy(false) },
		hold:    time.Duration(s.settings.Process.QuarantineTime),
		flights: map[string]*flight{},
		past:    map[string]*incident{},
	}
}

// current returns the boot identity of the running target, and false while that
// is not known.
func (c *crashes) current() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot, c.known
}
