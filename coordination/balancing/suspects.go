package balancing

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// maxEjectedShare is the share of the targets above which a gateway without any success
	// within successWindow takes itself to be at fault.
	maxEjectedShare = 0.5
	successWindow   = time.Second
)

// isEjected reports whether the target should get no request while there are others. After
// an ejection it gets one request at a time until it has served one, so that a target that
// goes down and up by turns comes back by a few requests of each gateway and not by a wave.
func (s *targetState) isEjected(now time.Time) bool {
	if s == nil {
		return false
	}
	onProbation := s.ejectionTime > 0 && s.inFlight > 0
	return now.Before(s.ejectedUntil) || onProbation
}

// isObserverAtFault reports whether this gateway rather than its targets has failed: most of
// them look bad at once and none has served a request lately, as when the gateway is cut off
// or was suspended. Ejections then say nothing, and must not send all requests to the few
// targets that are left. mu must be held.
func (b *Balancer) isObserverAtFault(now time.Time, targets []*fleet.Target) bool {
	if now.Sub(b.lastSuccess) <= successWindow {
		return false
	}
	ejected := 0
	for _, target := range targets {
		if b.targets[target.ID].isEjected(now) {
			ejected++
		}
	}
	return float64(ejected) > maxEjectedShare*float64(len(targets))
}
