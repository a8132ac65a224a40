package crashlimit

import (
	"maps"
	"slices"
)

const (
	// suspectedPartCrashes is the number of crashes at which a part of a prompt is
	// suspected.
	suspectedPartCrashes = 3
	// guiltyPartCrashes is the number of crashes at which a part may be guilty, and
	// guiltyPartRequests the number of different requests that they must come from: a
	// single request that is sent again takes all its parts along.
	guiltyPartCrashes  = 5
	guiltyPartRequests = 2
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

// PartVerdicts are the parts of prompts that are suspected to crash targets. Crashes point to
// those that are guilty as well.
type PartVerdicts struct {
	Suspected map[string]bool
	Guilty    map[string]bool
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
	v := PartVerdicts{Suspected: maps.Clone(history.Quarantined), Guilty: maps.Clone(history.Quarantined)}
	if v.Guilty == nil {
		v = PartVerdicts{Suspected: map[string]bool{}, Guilty: map[string]bool{}}
	}
	for {
		tallies := tallyParts(unexplained(runs, v.Guilty))
		guilty := mostGuilty(tallies, history.Cleared)
		if guilty == nil {
			for _, t := range tallies {
				if len(t.targets) >= suspectedPartCrashes {
					v.Suspected[t.part] = true
				}
			}
			return v
		}
		v.Guilty[guilty.part] = true
		v.Suspected[guilty.part] = true
	}
}

// mostGuilty returns the part to which the crashes point most, nil if there is none. Parts
// that were cleared before come last. Of parts in flight at about equally many crashes the
// last one in the prompt counts: it is shared by the fewest requests, and some runs of a
// part that crashes targets are not known.
func mostGuilty(tallies []*partTally, cleared map[string]bool) *partTally {
	var best *partTally
	for _, t := range tallies {
		if t.isGuilty() && (best == nil || t.moreGuiltyThan(best, cleared)) {
			best = t
		}
	}
	return best
}

func (t *partTally) moreGuiltyThan(other *partTally, cleared map[string]bool) bool {
	if cleared[t.part] != cleared[other.part] {
		return cleared[other.part]
	}
	if t.position > other.position {
		return float64(len(t.targets)) >= similarShare*float64(len(other.targets))
	}
	return t.position == other.position && len(t.targets) > len(other.targets) ||
		float64(len(other.targets)) < similarShare*float64(len(t.targets))
}

// unexplained returns the runs at targets at which no run had a guilty part.
func unexplained(runs []Run, guilty map[string]bool) []Run {
	explained := map[string]bool{}
	for _, r := range runs {
		if slices.ContainsFunc(r.Parts, func(part string) bool { return guilty[part] }) {
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

func (t *partTally) isGuilty() bool {
	return len(t.targets) >= guiltyPartCrashes && len(t.requests) >= guiltyPartRequests && len(t.confirmed) >= confirmingCrashes
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
