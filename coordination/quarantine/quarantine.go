// Package quarantine limits what a call that crashes targets can do. Permits let
// one copy of a call run until it has once run to its end, and a Gate lets a
// suspect run alone on its target. Both are state machines without I/O.
package quarantine

import "slices"

// maxHarmless bounds the fingerprints remembered as harmless; the oldest go first.
const maxHarmless = 1 << 16

// maxCalls bounds the calls whose holders are remembered; the oldest go first.
const maxCalls = 1 << 16

// maxAbandoned bounds the attempts remembered as given up.
const maxAbandoned = 1 << 14

// Permits lets at most one copy of each call run until one has completed, or two
// attempts of the same key. It is not safe for concurrent use.
type Permits struct {
	calls map[string]*permitHolders
	// grants are the calls in running in order of their first grants, with
	// those that have ended since.
	grants   []*permitHolders
	harmless *RecentSet
	// abandoned holds attempts that gave up before they were granted a permit.
	abandoned *RecentSet
}

// permitHolders are the holders of one call's permits.
type permitHolders struct {
	fingerprint string
	holders     []Holder
}

// Holder is the attempt that runs a call, and the sidecar that runs it.
type Holder struct {
	Fingerprint string
	Attempt     string
	Instance    string
	// Key is that of the request, empty for a batch item.
	Key string
}

// NewPermits returns permits that nobody holds.
func NewPermits() *Permits {
	return &Permits{calls: map[string]*permitHolders{}, harmless: NewRecentSet(maxHarmless), abandoned: NewRecentSet(maxAbandoned)}
}

// TryAcquire reports whether the attempt may run. suspect is set where the call's
// earlier completions no longer count.
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

// grant notes a holder. The calls granted longest ago are forgotten: most have
// ended without notice.
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

// Release gives the permit of an attempt back, which then gets none any more. A
// completed run proves the call.
func (p *Permits) Release(fingerprint, attempt string, completed bool) {
	holders := p.Holders(fingerprint)
	left := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h.Attempt == attempt })
	if call := p.calls[fingerprint]; call != nil {
		call.holders = left
	}
	if len(left) == 0 {
		delete(p.calls, fingerprint)
	}
	if len(left) == len(holders) && !completed {
		p.abandoned.Add(attempt)
	}
	if completed {
		p.harmless.Add(fingerprint)
	}
}

// Holders returns who holds permits of the call.
func (p *Permits) Holders(fingerprint string) []Holder {
	call := p.calls[fingerprint]
	if call == nil {
		return nil
	}
	return slices.Clone(call.holders)
}

// RecentSet is a set that forgets its oldest members. It is not safe for concurrent
// use.
type RecentSet struct {
	limit   int
	members map[string]bool
	order   []string
}

// NewRecentSet returns an empty set of at most limit members.
func NewRecentSet(limit int) *RecentSet { return &RecentSet{limit: limit, members: map[string]bool{}} }

// Has reports whether id is among the newest members.
func (r *RecentSet) Has(id string) bool { return r.members[id] }

// Add makes id a member.
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
