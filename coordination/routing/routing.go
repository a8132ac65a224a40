// Package routing chooses the target of an attempt among the targets that a service
// selects.
package routing

import (
	"sync/atomic"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// Target is the state of a target as known to an entry. It is immutable except for
// InFlight, which all versions of the same target share.
type Target struct {
	Name       string
	Instance   string
	DataCentre string
	// HTTP and Peer are the addresses of the target's sidecar.
	HTTP   string
	Peer   string
	Report protocol.TargetReport
	// Reachable is false if the sidecar does not answer.
	Reachable bool
	// Leaving is true if the instance list says that the instance is leaving.
	Leaving bool
	// InFlight is the number of this entry's attempts in flight at the target.
	InFlight *atomic.Int64
}

// Table is an immutable set of targets.
type Table struct {
	Targets []*Target
}

// Query is what an attempt requires of its target.
type Query struct {
	Selector protocol.Selector
	// Tried holds the names of targets that have refused or failed the request.
	Tried map[string]bool
	// AffinityKey is the key by which related requests are sent to the same target,
	// or zero.
	AffinityKey uint64
}

// Policy is how an entry chooses among the candidates.
type Policy struct {
	Chooser Chooser
	// Share returns the fraction of its usual work that a target should get now. If
	// Share is nil, every target gets all of it.
	Share  func(target string) float64
	Random Random
}

// Pick chooses a target for the query by the policy. It fails with ErrNoTarget if no
// target qualifies.
func (t *Table) Pick(q Query, config *state.Config, p *Policy) (*Target, error) {
	candidates := t.candidates(q, config)
	if len(candidates) == 0 {
		return nil, protocol.ErrNoTarget.New("none of %d targets can take the request", len(t.Targets))
	}
	return p.Chooser.Choose(p.filterByShare(candidates), q.AffinityKey), nil
}

// filterByShare drops targets at random, so that each one remains with the
// probability of its share. It returns all candidates if none would remain.
func (p *Policy) filterByShare(candidates []*Target) []*Target {
	if p.Share == nil {
		return candidates
	}
	const resolution = 1 << 16
	kept := make([]*Target, 0, len(candidates))
	for _, t := range candidates {
		share := p.Share(t.Name)
		if share >= 1 || share > 0 && float64(p.Random.IntN(resolution)) < share*resolution {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// candidates returns the ready targets that the query selects and that were not
// tried.
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

// State returns StateReady if the target takes work, and otherwise the reason why it
// does not.
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

// load returns the fraction of the target's slots in use. It is above one if work is
// queued. The entry's own attempts count as soon as they are sent.
func (t *Target) load() float64 {
	reported := int64(t.Report.Online + t.Report.Queued)
	return float64(max(reported, t.InFlight.Load())) / float64(max(1, t.Report.Slots))
}
