// Package quarantine limits what a call that crashes targets can do. Permits let
// one copy of a call run until it has once run to its end, and a Gate lets a
// suspect run alone on its target. Both are state machines without I/O.
package quarantine

import "slices"

// maxProven bounds the fingerprints remembered as harmless; the oldest go first.
const maxProven = 1 << 16

// maxEnded bounds the attempts remembered as given up.
const maxEnded = 1 << 14

// Permits lets at most one copy of each call run until one has completed, or two
// attempts of the same key. It is not safe for concurrent use.
type Permits struct {
	running map[string][]Holder
	proven  *recent
	// ended holds attempts that gave up before they were granted a permit.
	ended *recent
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
	return &Permits{running: map[string][]Holder{}, proven: newRecent(maxProven), ended: newRecent(maxEnded)}
}

// Ask reports whether the attempt may run. suspect is set where the call's
// earlier completions no longer count.
func (p *Permits) Ask(h Holder, suspect bool) bool {
	if p.ended.has(h.Attempt) {
		return false
	}
	if p.proven.has(h.Fingerprint) && !suspect {
		return true
	}
	held := p.running[h.Fingerprint]
	for _, other := range held {
		if other.Attempt == h.Attempt {
			return true
		}
	}
	hedge := len(held) == 1 && !suspect && h.Key != "" && held[0].Key == h.Key
	if len(held) > 0 && !hedge {
		return false
	}
	p.running[h.Fingerprint] = append(held, h)
	return true
}

// End gives the permit of an attempt back, which then gets none any more. A
// completed run proves the call.
func (p *Permits) End(fingerprint, attempt string, completed bool) {
	held := p.running[fingerprint]
	left := slices.DeleteFunc(slices.Clone(held), func(h Holder) bool { return h.Attempt == attempt })
	p.running[fingerprint] = left
	if len(left) == 0 {
		delete(p.running, fingerprint)
	}
	if len(left) == len(held) && !completed {
		p.ended.add(attempt)
	}
	if completed {
		p.proven.add(fingerprint)
	}
}

// Holders returns who holds permits of the call.
func (p *Permits) Holders(fingerprint string) []Holder {
	return slices.Clone(p.running[fingerprint])
}

// recent is a set that forgets its oldest members.
type recent struct {
	limit   int
	members map[string]bool
	order   []string
}

func newRecent(limit int) *recent { return &recent{limit: limit, members: map[string]bool{}} }

func (r *recent) has(id string) bool { return r.members[id] }

func (r *recent) add(id string) {
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
