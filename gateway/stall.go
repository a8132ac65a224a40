package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// errStall is the cause that cancels an attempt whose target has sent nothing for too
// long.
var errStall = protocol.Errors.NewType("stall")

// alternativePollInterval is the interval at which a stalled stream that has only one
// target checks for another.
const alternativePollInterval = 100 * time.Millisecond

// stallTimer cancels an attempt that has received no event for too long, if the request
// can be resumed at another target.
type stallTimer struct {
	cancel context.CancelCauseFunc
	// hasAlternative reports whether the request could be resumed at another target.
	hasAlternative func() bool

	mu sync.Mutex
	// timer is guarded by mu. It is nil if the attempt is never cancelled or has ended.
	timer *time.Timer
}

// newStallTimer returns a running timer for an attempt at the target, or one that never
// fires if the request may not be resumed.
func newStallTimer(o *onlineRequest, target *fleet.Target, cancel context.CancelCauseFunc) *stallTimer {
	if o.route.Kind != fleet.KindStream || !o.route.Resumable || o.possibleRuns+1 >= o.route.MaxAttempts {
		return &stallTimer{}
	}
	timeout := firstEventTimeout(o.route)
	if o.answerBegun {
		timeout = nextEventTimeout
	}
	s := &stallTimer{cancel: cancel, hasAlternative: o.alternativeTo(target)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(timeout, s.onTimeout)
	return s
}

// alternativeTo returns a function that reports whether the request could be resumed at
// a target other than the given one and those tried so far.
func (o *onlineRequest) alternativeTo(target *fleet.Target) func() bool {
	tried := maps.Clone(o.tried)
	return func() bool {
		for _, other := range o.g.targets.Current().Services[o.service] {
			if other.ID != target.ID && !tried[other.ID] {
				return true
			}
		}
		return false
	}
}

// onTimeout cancels the attempt if there is another target. Otherwise it checks again
// after alternativePollInterval.
func (s *stallTimer) onTimeout() {
	if s.hasAlternative() {
		s.cancel(errStall.New("target sent no event in time"))
		return
	}
	s.reset(alternativePollInterval)
}

func (s *stallTimer) reset(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(timeout)
	}
}

// firstEventTimeout returns how long a stream waits for its first event from one target.
func firstEventTimeout(r *fleet.Route) time.Duration {
	if r.LatencyObjective == 0 {
		return defaultFirstEventTimeout
	}
	return max(minFirstEventTimeout, time.Duration(float64(r.LatencyObjective)*firstEventShare))
}

// eventReceived restarts the timer with the timeout for the next event.
func (s *stallTimer) eventReceived() { s.reset(nextEventTimeout) }

func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// isStalled reports whether the attempt was cancelled by its stallTimer.
func isStalled(ctx context.Context) bool {
	return errorx.IsOfType(context.Cause(ctx), errStall)
}
