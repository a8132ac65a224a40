package balancing

import (
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Candidates returns at most n targets to probe, in order of preference. Ejected
// targets are left out if there are others: a target that fails its requests has a
// low load. When load rises in a step at many gateways, none sees what the others
// send, so each probes a few targets before it chooses.
func (b *Balancer) Candidates(targets []*fleet.Target, tried map[string]bool, n int) []*fleet.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	scored := b.scoreTargets(b.now(), targets, tried)
	slices.SortFunc(scored, compareLoad)
	var candidates []*fleet.Target
	for _, s := range scored[:min(n, len(scored))] {
		if s.load >= ejectedLoad && scored[0].load < ejectedLoad {
			break
		}
		candidates = append(candidates, s.target)
	}
	return candidates
}

// BeginProbed chooses the candidate with the fewest online requests according to the
// probe answers and counts a request at it, as Begin does. It returns false if none
// of the candidates answered.
func (b *Balancer) BeginProbed(candidates []*fleet.Target, answers []fleet.PeerLoad) (Choice, bool) {
	var best *fleet.Target
	fewest := 0
	for _, target := range candidates {
		i := slices.IndexFunc(answers, func(a fleet.PeerLoad) bool { return a.Target == target.ID })
		if i >= 0 && (best == nil || answers[i].Online < fewest) {
			best, fewest = target, answers[i].Online
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice, found := b.Begin([]*fleet.Target{best}, nil)
	choice.ProbeAnswers, choice.ProbedOnline = len(answers), fewest
	return choice, found
}
