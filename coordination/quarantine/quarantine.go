// Package quarantine limits the damage of a call that crashes targets. Permits let one
// copy of a call run until the call has completed once, and an AdmissionQueue lets a
// suspect run exclusively on its target. Both are state machines without I/O.
package quarantine

import "slices"

// maxHarmless bounds the fingerprints remembered as harmless; the oldest are forgotten
// first.
const maxHarmless = 1 << 16

// maxCalls bounds the calls whose permit holders are remembered; the oldest are
// forgotten first.
const maxCalls = 1 << 16

// maxAbandoned bounds the attempts remembered as abandoned.
const maxAbandoned = 1 << 14

// Permits lets at most one copy of each call run until one has completed, or two
// attempts of the same key. It is not safe for concurrent use.
type Permits struct {
	calls map[string]*permitHolders
	// grants holds calls in the order of their first grants, including calls that
	// have been removed from the calls map since.
	grants   []*permitHolders
	harmless *RecentSet
	// abandoned holds attempts that were released before they were granted a permit.
	abandoned *RecentSet
}

// permitHolders are the holders of permits for one call.
type permitHolders struct {
	fingerprint string
	holders     []Holder
}

// Holder is an attempt to run a call, and the sidecar that runs it.
type Holder struct {
	Fingerprint string
	Attempt     string
	Instance    string
	// Key is the key of the request, empty for a batch item.
	Key string
}

// NewPermits returns a set of permits without any holders.
func NewPermits() *Permits {
	return &Permits{calls: map[string]*permitHolders{}, harmless: NewRecentSet(maxHarmless), abandoned: NewRecentSet(maxAbandoned)}
}

// TryAcquire grants a permit to the attempt if it may run, and reports whether it may.
// A harmless call needs no permit, unless suspect is set: then its earlier completions
// do not count. A second attempt with the same key, a hedge, gets a permit if the call
// is not a suspect.
func (p *Permits) TryAcquire(h Holder, suspect bool) bool {
	if p.abandoned.Has(h.Attempt) {
		return false
	}
	if p.harmless.Has(h.Fingerprint) && !suspect {
		return true
	}
	holders := p.Holders(h.Fingerprint)
	for _, other := range holders {
		if other.Attempt == h.Attempt {
			return true
		}
	}
	hedge := len(holders) == 1 && !suspect && h.Key != "" && holders[0].Key == h.Key
	if len(holders) > 0 && !hedge {
		return false
	}
	p.grant(h)
	return true
}

// grant adds a holder. Beyond maxCalls, the calls granted first are forgotten: most of
// them have ended without a release.
func (p *Permits) grant(h Holder) {
	call := p.calls[h.Fingerprint]
	if call == nil {
		call = &permitHolders{fingerprint: h.Fingerprint}
		p.calls[h.Fingerprint] = call
		p.grants = append(p.grants, call)
	}
	call.holders = append(call.holders, h)
	for len(p.grants) > maxCalls {
		if oldest := p.grants[0]; p.calls[oldest.fingerprint] == oldest {
			delete(p.calls, oldest.fingerprint)
		}
		p.grants = p.grants[1:]
	}
}

// Release releases the permit of an attempt. If the attempt held none, it will not get
// one later. A completed run marks the call as harmless.
func (p *Permits) Release(fingerprint, attempt string, completed bool) {
	holders := p.Holders(fingerprint)
	remaining := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h.Attempt == attempt })
	if call := p.calls[fingerprint]; call != nil {
		call.holders = remaining
	}
	if len(remaining) == 0 {
		delete(p.calls, fingerprint)
	}
	if len(remaining) == len(holders) && !completed {
		p.abandoned.Add(attempt)
	}
	if completed {
		p.harmless.Add(fingerprint)
	}
}

// Holders returns the holders of permits for the call.
func (p *Permits) Holders(fingerprint string) []Holder {
	call := p.calls[fingerprint]
	if call == nil {
		return nil
	}
	return slices.Clone(call.holders)
}

// RecentSet is a set of bounded size that forgets its oldest members. It is not safe
// for concurrent use.
type RecentSet struct {
	limit   int
	members map[string]bool
	order   []string
}

// NewRecentSet returns an empty set of at most limit members.
func NewRecentSet(limit int) *RecentSet { return &RecentSet{limit: limit, members: map[string]bool{}} }

// Has reports whether id is a member.
func (r *RecentSet) Has(id string) bool { return r.members[id] }

// Add adds id and, if the set is full, removes the oldest member.
func (r *RecentSet) Add(id string) {
	if r.members[id] {
		return
	}
	r.members[id] = true
	r.order = append(r.order, id)
	if len(r.order) > r.limit {
		delete(r.members, r.order[0])
		r.order = r.order[1:]
	}
}
