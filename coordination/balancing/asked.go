package balancing

import (
	"slices"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Candidates returns at most n targets that Begin would prefer, those first that it
// prefers most, and no suspects where there are others: a target that fails its
// requests is idle. It answers steps of traffic that come to many gateways at once:
// none sees what the others send, so that each asks a few targets before it chooses.
func (t *Balancer) Candidates(targets []*fleet.Target, tried map[string]bool, n int) []*fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.scoreTargets(t.now(), targets, tried)
	slices.SortFunc(list, compareLoad)
	var candidates []*fleet.Target
	for _, w := range list[:min(n, len(list))] {
		if w.load >= ejectedLoad && list[0].load < ejectedLoad {
			break
		}
		candidates = append(candidates, w.target)
	}
	return candidates
}

// BeginProbed chooses the candidate with the fewest online requests by the answers
// and counts a request at it, as Begin does. It returns false where none of the
// candidates answered.
func (t *Balancer) BeginProbed(candidates []*fleet.Target, answers []fleet.PeerLoad) (Choice, bool) {
	var best *fleet.Target
	least := 0
	for _, target := range candidates {
		i := slices.IndexFunc(answers, func(a fleet.PeerLoad) bool { return a.Target == target.ID })
		if i >= 0 && (best == nil || answers[i].Online < least) {
			best, least = target, answers[i].Online
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice, found := t.Begin([]*fleet.Target{best}, nil)
	choice.ProbeAnswers, choice.ProbedOnline = len(answers), least
	return choice, found
}
