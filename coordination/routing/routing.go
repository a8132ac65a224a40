// Package routing chooses the target of an attempt among those that a service
// selects.
package routing

import (
	"sync/atomic"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// Target is one target as an entry sees it. It is immutable but for its count
// of attempts, which all versions of the same target share.
type Target struct {
	Name       string
	Instance   string
	DataCentre string
	// HTTP and Peer are the addresses of the target's sidecar.
	HTTP   string
	Peer   string
	Report protocol.TargetReport
	// Reachable is false when the sidecar does not answer.
	Reachable bool
	// Leaving is true when the instance list says so.
	Leaving  bool
	InFlight *atomic.Int64
}

// Table is an immutable set of targets.
type Table struct {
	Targets []*Target
}

// Query says what an attempt needs.
type Query struct {
	Selector protocol.Selector
	// Tried holds the names of targets that refused or failed already.
	Tried map[string]bool
	// AffinityKey is the key that keeps related requests together, or zero.
	AffinityKey uint64
}

// Policy is how an entry chooses.
type Policy struct {
	Chooser Chooser
	// Share returns the part of its ordinary work that a target should get now;
	// nil means all of it.
	Share  func(target string) float64
	Random Random
}

// Pick chooses among the candidates by the policy. It fails with ErrNoTarget.
func (t *Table) Pick(q Query, config *state.Config, p *Policy) (*Target, error) {
	candidates := t.candidates(q, config)
	if len(candidates) == 0 {
		return nil, protocol.ErrNoTarget.New("none of %d targets can take the request", len(t.Targets))
	}
	return p.Chooser.Choose(p.filterByShare(candidates), q.AffinityKey), nil
}

// filterByShare leaves out targets that should get less than their share, each as often
// as its share says. It leaves all in where it would leave none.
func (p *Policy) filterByShare(candidates []*Target) []*Target {
	if p.Share == nil {
		return candidates
	}
	const steps = 1 << 16
	kept := make([]*Target, 0, len(candidates))
	for _, t := range candidates {
		share := p.Share(t.Name)
		if share >= 1 || share > 0 && float64(p.Random.IntN(steps)) < share*steps {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

func (t *Table) candidates(q Query, config *state.Config) []*Target {
	var found []*Target
	for _, target := range t.Targets {
		if q.Tried[target.Name] || target.State(config) != StateReady {
			continue
		}
		if q.Selector.Matches(config.Labels(target.Report.Labels)) {
			found = append(found, target)
		}
	}
	return found
}

// The states of a target.
const (
	StateReady       = "ready"
	StateUnreachable = "unreachable"
	StateUnhealthy   = "unhealthy"
	StateLeaving     = "leaving"
	StateDrained     = "drained"
)

// State says whether the target takes work, and if not, why.
func (t *Target) State(config *state.Config) string {
	switch {
	case !t.Reachable:
		return StateUnreachable
	case config.Drained(config.Labels(t.Report.Labels)):
		return StateDrained
	case t.Leaving || t.Report.Leaving:
		return StateLeaving
	case !t.Report.Healthy:
		return StateUnhealthy
	default:
		return StateReady
	}
}

// load is the part of the target's slots in use, above one when work waits.
// The entry's own attempts count as soon as they are sent.
func (t *Target) load() float64 {
	reported := int64(t.Report.Online + t.Report.Queued)
	return float64(max(reported, t.InFlight.Load())) / float64(max(1, t.Report.Slots))
}
