package gateway

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// errStall ends an attempt whose target has sent nothing for too long.
var errStall = protocol.Errors.NewType("stall")

// stall breaks an attempt off that brings nothing, where it may go on elsewhere.
type stall struct {
	timer *time.Timer
}

func newStall(o *online, cancel context.CancelCauseFunc) *stall {
	if o.route.Kind != fleet.KindStream || !o.route.Resumable || o.runs+1 >= o.route.Attempts {
		return &stall{}
	}
	patience := firstEventPatience(o.route)
	if o.begun {
		patience = eventPatience
	}
	return &stall{timer: time.AfterFunc(patience, func() { cancel(errStall.New("the target sends nothing")) })}
}

// firstEventPatience returns how long a stream may wait to begin at one target.
func firstEventPatience(r *fleet.Route) time.Duration {
	if r.Objective == 0 {
		return defaultPatience
	}
	return max(minPatience, time.Duration(float64(r.Objective)*patienceShare))
}

// event notes that something has come.
func (s *stall) event() {
	if s.timer != nil {
		s.timer.Reset(eventPatience)
	}
}

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// isStall reports whether the attempt was broken off because nothing came.
func isStall(ctx context.Context) bool {
	return errorx.IsOfType(context.Cause(ctx), errStall)
}
