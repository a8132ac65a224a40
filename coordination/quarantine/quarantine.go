// Package quarantine limits what a call that crashes targets can do. Permits let
// one copy of a call run until it has once run to its end, and a Gate lets a
// suspect run alone on its target. Both are state machines without I/O.
package quarantine

import "slices"

// maxProven bounds the fingerprints remembered as harmless; the oldest go first.
const maxProven = 1 << 16

// maxHeld bounds the calls whose holders are remembered; the oldest go first.
const maxHeld = 1 << 16

// maxEnded bounds the attempts remembered as given up.
const maxEnded = 1 << 14

// Permits lets at most one copy of each call run until one has completed, or two
// attempts of the same key. It is not safe for concurrent use.
type Permits struct {
	running map[string]*held
	// grants are the calls in running in order of their first grants, with
	// those that have ended since.
	grants []*held
	proven *Recent
	// ended holds attempts that gave up before they were granted a permit.
	ended *Recent
}

// held are the holders of one call's permits.
type held struct {
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
	return &Permits{running: map[string]*held{}, proven: NewRecent(maxProven), ended: NewRecent(maxEnded)}
}

// Ask reports whether the attempt may run. suspect is set where the call's
// earlier completions no longer count.
func (p *Permits) Ask(h Holder, suspect bool) bool {
	if p.ended.Has(h.Attempt) {
		return false
	}
	if p.proven.Has(h.Fingerprint) && !suspect {
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
	call := p.running[h.Fingerprint]
	if call == nil {
		call = &held{fingerprint: h.Fingerprint}
		p.running[h.Fingerprint] = call
		p.grants = append(p.grants, call)
	}
	call.holders = append(call.holders, h)
	for len(p.grants) > maxHeld {
		if oldest := p.grants[0]; p.running[oldest.fingerprint] == oldest {
			delete(p.running, oldest.fingerprint)
		}
		p.grants = p.grants[1:]
	}
}

// End gives the permit of an attempt back, which then gets none any more. A
// completed run proves the call.
func (p *Permits) End(fingerprint, attempt string, completed bool) {
	holders := p.Holders(fingerprint)
	left := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h.Attempt == attempt })
	if call := p.running[fingerprint]; call != nil {
		call.holders = left
	}
	if len(left) == 0 {
		delete(p.running, fingerprint)
	}
	if len(left) == len(holders) && !completed {
		p.ended.Add(attempt)
	}
	if completed {
		p.proven.Add(fingerprint)
	}
}

// Holders returns who holds permits of the call.
func (p *Permits) Holders(fingerprint string) []Holder {
	call := p.running[fingerprint]
	if call == nil {
		return nil
	}
	return slices.Clone(call.holders)
}

// Recent is a set that forgets its oldest members. It is not safe for concurrent
// use.
type Recent struct {
	limit   int
	members map[string]bool
	order   []string
}

// NewRecent returns an empty set of at most limit members.
func NewRecent(limit int) *Recent { return &Recent{limit: limit, members: map[string]bool{}} }

// Has reports whether id is among the newest members.
func (r *Recent) Has(id string) bool { return r.members[id] }

// Add makes id a member.
func (r *Recent) Add(id string) {
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
