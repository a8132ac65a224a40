package balancing

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Candidates returns at most n targets to probe. Ejected targets are left out if there
// are others: a target that fails its requests has a low load. When load rises in a step
// at many gateways, none sees what the others send, so each probes a few targets before
// it chooses.
//
// All candidates but one are targets to which a connection is open, according to
// connected, if there are as many: with hundreds of targets a request would otherwise
// nearly always need a new connection, which costs a round trip and takes a slot of the
// target for a moment. The last one lets requests reach the other targets.
func (b *Balancer) Candidates(targets []*fleet.Target, tried map[string]bool, n int, connected func(*fleet.Target) bool) []*fleet.Target {
	b.mu.Lock()
	scored := b.scoreTargets(b.now(), targets, tried)
	b.mu.Unlock()
	slices.SortFunc(scored, compareLoad)
	if ejected := slices.IndexFunc(scored, func(s scoredTarget) bool { return s.load >= ejectedLoad }); ejected > 0 {
		scored = scored[:ejected]
	}
	var candidates, others []*fleet.Target
	for _, s := range scored {
		switch {
		case len(candidates) < n-1 && connected(s.target):
			candidates = append(candidates, s.target)
		case len(others) < n:
			others = append(others, s.target)
		}
	}
	return append(candidates, others[:min(n-len(candidates), len(others))]...)
}

// BeginProbed chooses a candidate by the probe answers and counts a request at it, as
// Begin does. It returns false if none of the candidates answered.
//
// If nothing was learned of any of them, it chooses the one with the fewest online requests.
// Otherwise it chooses among those that take another request well, if there are any, the one
// where a stream costs the least time.
func (b *Balancer) BeginProbed(candidates []*fleet.Target, answers []fleet.PeerLoad) (Choice, bool) {
	var probed []probedTarget
	for _, target := range candidates {
		i := slices.IndexFunc(answers, func(a fleet.PeerLoad) bool { return a.Target == target.ID })
		if i >= 0 {
			probed = append(probed, probedTarget{target: target, load: answers[i]})
		}
	}
	if len(probed) == 0 {
		return Choice{}, false
	}
	b.setCosts(probed)
	best := slices.MinFunc(probed, compareProbed)
	choice, found := b.Begin([]*fleet.Target{best.target}, nil)
	choice.ProbeAnswers, choice.ProbedOnline = len(answers), best.load.Online
	choice.Room, choice.RoomKnown = best.room()
	choice.Capacity = best.load.Capacity
	choice.ExpectedFirstEvent = time.Duration(best.load.FirstEventMicros) * time.Microsecond
	choice.ExpectedStep = time.Duration(best.load.StepMicros) * time.Microsecond
	return choice, found
}
