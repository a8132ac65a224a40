// Package quarantine limits what a call that crashes targets can do. Permits let
// one copy of a call run until it has once run to its end, and a Gate lets a
// suspect run alone on its target. Both are state machines without I/O.
package quarantine

// maxProven bounds the fingerprints remembered as harmless; the oldest go first.
const maxProven = 1 << 16

// maxEnded bounds the attempts remembered as given up.
const maxEnded = 1 << 14

// Permits lets at most one copy of each call run until one has completed. It is
// not safe for concurrent use.
type Permits struct {
	running map[string]Holder
	proven  *recent
	// ended holds attempts that gave up before they were granted a permit.
	ended *recent
}

// Holder is the attempt that runs a call, and the sidecar that runs it.
type Holder struct {
	Fingerprint string
	Attempt     string
	Instance    string
}

// NewPermits returns permits that nobody holds.
func NewPermits() *Permits {
	return &Permits{running: map[string]Holder{}, proven: newRecent(maxProven), ended: newRecent(maxEnded)}
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
	if held, found := p.running[h.Fingerprint]; found {
		return held.Attempt == h.Attempt
	}
	p.running[h.Fingerprint] = h
	return true
}

// End gives the permit of an attempt back, which then gets none any more. A
// completed run proves the call.
func (p *Permits) End(fingerprint, attempt string, completed bool) {
	held, found := p.running[fingerprint]
	switch {
	case found && held.Attempt == attempt:
		delete(p.running, fingerprint)
	case !completed:
		p.ended.add(attempt)
	}
	if completed {
		p.proven.add(fingerprint)
	}
}

// Holder returns who holds the permit of the call, if anyone does.
func (p *Permits) Holder(fingerprint string) (Holder, bool) {
	h, found := p.running[fingerprint]
	return h, found
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
