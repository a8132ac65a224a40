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

// errStall ends an attempt whose target has sent nothing for too long.
var errStall = protocol.Errors.NewType("stall")

// elsewherePoll is how often a stream that waits at the only target looks for another.
const elsewherePoll = 100 * time.Millisecond

// stall breaks an attempt off that brings nothing, where it may go on elsewhere.
type stall struct {
	cancel context.CancelCauseFunc
	// elsewhere reports whether there is another target.
	elsewhere func() bool

	mu sync.Mutex
	// timer is nil for an attempt that is never broken off.
	timer *time.Timer
}

func newStall(o *online, target *fleet.Target, cancel context.CancelCauseFunc) *stall {
	if o.route.Kind != fleet.KindStream || !o.route.Resumable || o.runs+1 >= o.route.Attempts {
		return &stall{}
	}
	patience := firstEventPatience(o.route)
	if o.begun {
		patience = eventPatience
	}
	s := &stall{cancel: cancel, elsewhere: o.elsewhere(target)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(patience, s.expired)
	return s
}

// elsewhere returns a function that reports whether the request could go on at
// another target.
func (o *online) elsewhere(target *fleet.Target) func() bool {
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

// expired breaks the attempt off, or lets it wait on where there is no other target.
func (s *stall) expired() {
	if s.elsewhere() {
		s.cancel(errStall.New("the target sends nothing"))
		return
	}
	s.reset(elsewherePoll)
}

func (s *stall) reset(patience time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(patience)
	}
}

// firstEventPatience returns how long a stream may wait to begin at one target.
func firstEventPatience(r *fleet.Route) time.Duration {
	if r.Objective == 0 {
		return defaultPatience
	}
	return max(minPatience, time.Duration(float64(r.Objective)*patienceShare))
}

// event notes that something has come.
func (s *stall) event() { s.reset(eventPatience) }

func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}

// isStall reports whether the attempt was broken off because nothing came.
func isStall(ctx context.Context) bool {
	return errorx.IsOfType(context.Cause(ctx), errStall)
}
