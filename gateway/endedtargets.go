package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// silenceBeforeProbe is how long a target may send nothing for an attempt before the gateway
// checks whether the target has ended. It is well above the gap between events that counts as
// on time. The check is repeated as often.
const silenceBeforeProbe = 1200 * time.Millisecond

// errTargetEnded is the cause that cancels an attempt whose target has ended. A target whose
// host loses power or is cut off closes no connection, so without this the attempt would
// last until its deadline.
var errTargetEnded = protocol.Errors.NewType("target_ended")

// hasTargetEnded reports whether the attempt was cancelled because its target has ended.
func hasTargetEnded(ctx context.Context) bool {
	return errorx.IsOfType(context.Cause(ctx), errTargetEnded)
}

// attemptTracker holds the attempts in flight by their target's incarnation.
type attemptTracker struct {
	mu      sync.Mutex
	targets map[string]*trackedTarget
}

// trackedTarget holds the attempts in flight at an incarnation. The tracker's mu guards it.
type trackedTarget struct {
	target   *fleet.Target
	attempts map[*trackedAttempt]bool
	// probedAt is when the target was last checked. probing is set during a check.
	probedAt time.Time
	probing  bool
}

// trackedAttempt is an attempt in flight.
type trackedAttempt struct {
	tracker *attemptTracker
	target  *fleet.Target
	cancel  context.CancelCauseFunc
	// heardAt is when the target last sent something, or when the attempt began, in
	// nanoseconds since the epoch.
	heardAt atomic.Int64
}

func newAttemptTracker() *attemptTracker {
	return &attemptTracker{targets: map[string]*trackedTarget{}}
}

// add adds an attempt that cancel ends. The caller must call remove when it has ended.
func (t *attemptTracker) add(target *fleet.Target, cancel context.CancelCauseFunc) *trackedAttempt {
	a := &trackedAttempt{tracker: t, target: target, cancel: cancel}
	a.heard()
	t.mu.Lock()
	defer t.mu.Unlock()
	name := incarnation(target)
	if t.targets[name] == nil {
		t.targets[name] = &trackedTarget{target: target, attempts: map[*trackedAttempt]bool{}}
	}
	t.targets[name].attempts[a] = true
	return a
}

// heard records that the target has sent something.
func (a *trackedAttempt) heard() { a.heardAt.Store(time.Now().UnixNano()) }

// silence returns the time for which the target has sent nothing.
func (a *trackedAttempt) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - a.heardAt.Load())
}

func (a *trackedAttempt) remove() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	name := incarnation(a.target)
	known := a.tracker.targets[name]
	delete(known.attempts, a)
	if len(known.attempts) == 0 {
		delete(a.tracker.targets, name)
	}
}

// endSilent cancels the attempts at an incarnation that seems to have ended, those that have
// heard nothing for silenceBeforeProbe. The others go on: a target that leaves serves what it
// has, also where its successor listens at the same address already.
func (t *attemptTracker) endSilent(now time.Time, name, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[name]
	if known == nil {
		return
	}
	ended := 0
	for a := range known.attempts {
		if a.silence(now) >= silenceBeforeProbe {
			a.cancel(errTargetEnded.New("%s", reason))
			ended++
		}
	}
	if ended > 0 {
		klog.InfoS("attempts ended with their target", "target", name, "attempts", ended, "reason", reason)
	}
}

// all returns the targets of the attempts by incarnation.
func (t *attemptTracker) all() map[string]*fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make(map[string]*fleet.Target, len(t.targets))
	for name, known := range t.targets {
		targets[name] = known.target
	}
	return targets
}

// takeSilent returns the targets to be checked: those from which an attempt has heard nothing
// for silenceBeforeProbe and which were not checked since then. They count as being checked.
func (t *attemptTracker) takeSilent(now time.Time) map[string]*fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := map[string]*fleet.Target{}
	for name, known := range t.targets {
		if known.probing || now.Sub(known.probedAt) < silenceBeforeProbe || len(silent) >= maxProbes {
			continue
		}
		for a := range known.attempts {
			if a.silence(now) >= silenceBeforeProbe {
				known.probing = true
				silent[name] = known.target
				break
			}
		}
	}
	return silent
}

// probed records that the check of an incarnation is over.
func (t *attemptTracker) probed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.targets[name]; known != nil {
		known.probing, known.probedAt = false, time.Now()
	}
}

// isService reports whether the configuration names the service. An entry of the registry that names
// another one may be of a foreign writer, and says nothing of the target at its address.
func (g *Gateway) isService(name string) bool {
	config := g.configs.Current()
	return config != nil && config.Services[name] != nil
}

// endLostAttempts ends the silent attempts at targets that have ended: those that another
// incarnation has replaced, and those that do not leave and on whose host nothing listens any more.
func (g *Gateway) endLostAttempts() {
	snapshot := g.targets.Current()
	for name, target := range g.inFlight.all() {
		if next := snapshot.ReplacedBy(target); next != nil && g.isService(next.Service) {
			g.inFlight.endSilent(time.Now(), name, "another incarnation is registered at its address")
		}
	}
	if g.params.HasEnded == nil {
		return
	}
	status := targetStatuses(snapshot)
	for name, target := range g.inFlight.takeSilent(time.Now()) {
		if status(name) != quarantine.TargetRunning {
			g.inFlight.probed(name) // one that leaves may only have stopped listening
			continue
		}
		g.tomb.Go(func() error {
			if g.probe(target) {
				g.inFlight.endSilent(time.Now(), name, "nothing listens at its address")
			}
			g.inFlight.probed(name)
			return nil
		})
	}
}
