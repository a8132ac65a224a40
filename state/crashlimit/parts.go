package crashlimit

import (
	"cmp"
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

// PartVerdicts are the parts of prompts that are suspected to crash targets. Crashes point to
// those that are guilty as well.
type PartVerdicts struct {
	Suspected map[string]bool
	Guilty    map[string]bool
}

// JudgeParts judges the parts of prompts by the crashes at which they were in flight. The
// verdicts depend on the runs alone, so all processes that know of the same crashes agree.
//
// Requests with different parts share a target, and a part that crashes targets shares its
// requests with harmless ones. The part that was in flight at the most crashes is therefore
// judged first, and crashes that it explains count for no other part. Parts that wasCleared
// reports, with which a request has run to completion before, come last: a popular part is
// in flight at many crashes that another one causes.
func JudgeParts(runs []Run, wasCleared func(part string) bool) PartVerdicts {
	v := PartVerdicts{Suspected: map[string]bool{}, Guilty: map[string]bool{}}
	for {
		tallies := tallyParts(unexplained(runs, v.Guilty), wasCleared)
		guilty := slices.IndexFunc(tallies, (*partTally).isGuilty)
		if guilty < 0 {
			for _, t := range tallies {
				if len(t.targets) >= suspectedPartCrashes {
					v.Suspected[t.part] = true
				}
			}
			return v
		}
		v.Guilty[tallies[guilty].part] = true
		v.Suspected[tallies[guilty].part] = true
	}
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
	position int
	// cleared is 1 if the part was cleared before.
	cleared   int
	targets   map[string]bool
	requests  map[string]bool
	confirmed map[string]bool
}

func (t *partTally) isGuilty() bool {
	return len(t.targets) >= guiltyPartCrashes && len(t.requests) >= guiltyPartRequests && len(t.confirmed) >= confirmingCrashes
}

// tallyParts returns the tallies of the parts: those that were never cleared first, and of
// these those in flight at the most crashes. Of parts with equally many, the later one in
// the prompt comes first: it is shared by fewer requests.
func tallyParts(runs []Run, wasCleared func(part string) bool) []*partTally {
	byPart := map[string]*partTally{}
	for _, r := range runs {
		for position, part := range r.Parts {
			t := byPart[part]
			if t == nil {
				t = &partTally{part: part, targets: map[string]bool{}, requests: map[string]bool{}, confirmed: map[string]bool{}}
				if wasCleared(part) {
					t.cleared = 1
				}
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
	tallies := make([]*partTally, 0, len(byPart))
	for _, t := range byPart {
		tallies = append(tallies, t)
	}
	slices.SortFunc(tallies, func(a, b *partTally) int {
		return cmp.Or(cmp.Compare(a.cleared, b.cleared), cmp.Compare(len(b.targets), len(a.targets)), cmp.Compare(b.position, a.position), cmp.Compare(a.part, b.part))
	})
	return tallies
}
