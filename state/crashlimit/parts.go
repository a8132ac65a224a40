package crashlimit

import (
	"maps"
	"slices"
)

const (
	// suspectedPartCrashes is the number of crashes at which a part of a prompt is
	// suspected.
	suspectedPartCrashes = 3
	// implicatedPartCrashes is the number of crashes at which a part is implicated, and
	// implicatedPartRequests the number of different requests that they must come from: a
	// single request that is sent again takes all its parts along.
	implicatedPartCrashes  = 5
	implicatedPartRequests = 2
	// confirmingCrashes is the number of these crashes under runs that began while the part
	// was suspected. When many targets are lost at once for another reason, popular parts
	// are in flight at several of them, but not again after that.
	confirmingCrashes = 2
	// similarShare is the share of the crashes of one part from which on another one was in
	// flight at about equally many.
	similarShare = 0.75
)

// Run is a run of a request that was in flight when its target crashed.
type Run struct {
	Request string
	Target  string
	// Parts are the shared parts of the request's prompt, in their order, without those
	// with which a request has run to completion since.
	Parts []string
	// Suspected are the parts that were suspected when the run began.
	Suspected []string
}

// PartHistory is what is known of parts beside the crashes.
type PartHistory struct {
	// Cleared parts are those with which a request has run to completion before. A popular
	// part is in flight at many crashes that another one causes.
	Cleared map[string]bool
	// Quarantined parts must not be sent to targets any more.
	Quarantined map[string]bool
}

// PartVerdicts are the verdicts on parts of prompts.
type PartVerdicts struct {
	// Suspected parts were in flight at several crashes that no other part explains.
	Suspected map[string]bool
	// Implicated parts, which are suspected too, explain the crashes.
	Implicated map[string]bool
}

// JudgeParts judges the parts of prompts by the crashes at which they were in flight. The
// verdicts depend on the arguments alone, so all processes that know of the same crashes
// agree.
//
// Requests with different parts share a target, and a part that crashes targets shares its
// requests with harmless ones. The part that was in flight at the most crashes is therefore
// judged first, and crashes that it explains count for no other part. Quarantined parts have
// been judged already.
func JudgeParts(runs []Run, history PartHistory) PartVerdicts {
	v := PartVerdicts{Suspected: map[string]bool{}, Implicated: map[string]bool{}}
	for part := range history.Quarantined {
		v.addImplicated(part)
	}
	for {
		tallies := tallyParts(unexplained(runs, v.Implicated))
		implicated := mostImplicated(tallies, history.Cleared)
		if implicated == nil {
			for _, t := range tallies {
				if len(t.targets) >= suspectedPartCrashes {
					v.Suspected[t.part] = true
				}
			}
			return v
		}
		v.addImplicated(implicated.part)
	}
}

func (v *PartVerdicts) addImplicated(part string) {
	v.Suspected[part] = true
	v.Implicated[part] = true
}

// mostImplicated returns the part to which the crashes point most, nil if there is none. Parts
// that were cleared before come last. Of parts in flight at about equally many crashes the
// last one in the prompt counts: it is shared by the fewest requests, and some runs of a
// part that crashes targets are not known.
func mostImplicated(tallies []*partTally, cleared map[string]bool) *partTally {
	var best *partTally
	for _, t := range tallies {
		if t.isImplicated() && (best == nil || t.moreImplicatedThan(best, cleared)) {
			best = t
		}
	}
	return best
}

// moreImplicatedThan reports whether t counts before another implicated part.
func (t *partTally) moreImplicatedThan(other *partTally, cleared map[string]bool) bool {
	if cleared[t.part] != cleared[other.part] {
		return cleared[other.part]
	}
	if t.position > other.position {
		return float64(len(t.targets)) >= similarShare*float64(len(other.targets))
	}
	return t.position == other.position && len(t.targets) > len(other.targets) ||
		float64(len(other.targets)) < similarShare*float64(len(t.targets))
}

// unexplained returns the runs at targets at which no run had an implicated part.
func unexplained(runs []Run, implicated map[string]bool) []Run {
	explained := map[string]bool{}
	for _, r := range runs {
		if slices.ContainsFunc(r.Parts, func(part string) bool { return implicated[part] }) {
			explained[r.Target] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return explained[r.Target] })
}

// partTally counts the crashes at which a part was in flight.
type partTally struct {
	part string
	// position is the part's position in a prompt.
	position  int
	targets   map[string]bool
	requests  map[string]bool
	confirmed map[string]bool
}

func (t *partTally) isImplicated() bool {
	return len(t.targets) >= implicatedPartCrashes && len(t.requests) >= implicatedPartRequests && len(t.confirmed) >= confirmingCrashes
}

// tallyParts returns the tallies of the parts, in the order of their names.
func tallyParts(runs []Run) []*partTally {
	byPart := map[string]*partTally{}
	for _, r := range runs {
		for position, part := range r.Parts {
			t := byPart[part]
			if t == nil {
				t = &partTally{part: part, targets: map[string]bool{}, requests: map[string]bool{}, confirmed: map[string]bool{}}
				byPart[part] = t
			}
			t.position = max(t.position, position)
			t.targets[r.Target] = true
			t.requests[r.Request] = true
			if slices.Contains(r.Suspected, part) {
				t.confirmed[r.Target] = true
			}
		}
	}
	var tallies []*partTally
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		tallies = append(tallies, byPart[part])
	}
	return tallies
}
