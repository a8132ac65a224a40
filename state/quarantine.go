package state

import (
	"slices"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state/crashlimit"
)

const (
	// maxSuspects bounds the suspects kept; the oldest go first.
	maxSuspects = 4096
)

// Suspicion is what the log says of a fingerprint.
type Suspicion struct {
	// Crashes is the number of crashes that the call was in flight at.
	Crashes int
	// Quarantined is set once the call is in quarantine.
	Quarantined bool
	// Trial is the attempt that holds the one permitted run, if any does.
	Trial string
}

type suspect struct {
	crashes []string
	// productive counts the crashes before which the call had produced output.
	productive int
	trial      string
	// expiresAt is when the entry expires, in milliseconds of the fold's time.
	expiresAt  int64
	holdMillis int64
}

// Quarantine folds crashes into suspects and convictions. Its time passes only
// by Elapsed records, so that it is the same in every process.
type Quarantine struct {
	mu       sync.RWMutex
	now      int64
	timeAt   protocol.Position
	order    []string
	suspects map[string]*suspect
	// quarantinedTotal counts those folded by this process.
	quarantinedTotal uint64
}

// NewQuarantine returns a fold without suspects.
func NewQuarantine() *Quarantine { return &Quarantine{suspects: map[string]*suspect{}} }

// Lookup returns what is known of the fingerprint; the zero value for a call
// that no crash has touched.
func (q *Quarantine) Lookup(fingerprint string) Suspicion {
	q.mu.RLock()
	defer q.mu.RUnlock()
	s := q.suspects[fingerprint]
	if s == nil {
		return Suspicion{}
	}
	return Suspicion{Crashes: len(s.crashes), Quarantined: s.quarantined(), Trial: s.trial}
}

// Counts returns the numbers of suspects not convicted and of convictions.
func (q *Quarantine) Counts() (suspects, convicted int) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	for _, s := range q.suspects {
		if s.quarantined() {
			convicted++
		}
	}
	return len(q.suspects) - convicted, convicted
}

// QuarantinedTotal returns the number of convictions that this process has folded,
// those that a snapshot held left out.
func (q *Quarantine) QuarantinedTotal() uint64 {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.quarantinedTotal
}

// TimeAt returns the record from which the next Elapsed counts.
func (q *Quarantine) TimeAt() protocol.Position {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.timeAt
}

// Apply folds the record at position pos.
func (q *Quarantine) Apply(pos protocol.Position, rec *protocol.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case rec.Crash != nil:
		q.applyCrash(pos, rec.ID, rec.Crash)
	case rec.Trial != nil:
		q.startTrial(rec.Trial)
	case rec.TrialOf != nil:
		q.endTrial(rec.TrialOf)
	case rec.Elapsed != nil:
		q.advanceTime(pos, rec.Elapsed)
	}
}

func (s *suspect) quarantined() bool {
	return crashlimit.Reached(len(s.crashes), s.productive)
}

// addCrash counts a crash once and restarts the time of the entry.
func (q *Quarantine) addCrash(s *suspect, id string, productive bool) {
	if s.quarantined() || slices.Contains(s.crashes, id) {
		return
	}
	s.crashes = append(s.crashes, id)
	if productive {
		s.productive++
	}
	s.trial = ""
	s.expiresAt = q.now + s.holdMillis
	if s.quarantined() {
		q.quarantinedTotal++
	}
}

func (q *Quarantine) applyCrash(pos protocol.Position, id string, c *protocol.TargetCrash) {
	if len(q.suspects) == 0 {
		q.timeAt = pos
	}
	for _, fingerprint := range c.Fingerprints {
		s := q.suspects[fingerprint]
		if s == nil {
			s = &suspect{holdMillis: c.HoldMillis}
			q.suspects[fingerprint] = s
			q.order = append(q.order, fingerprint)
		}
		q.addCrash(s, id, slices.Contains(c.Productive, fingerprint))
	}
	for len(q.order) > maxSuspects {
		q.remove(q.order[0])
	}
}

func (q *Quarantine) startTrial(t *protocol.SuspectTrial) {
	s := q.suspects[t.Fingerprint]
	if s != nil && s.trial == "" && !s.quarantined() {
		s.trial = t.Attempt
		s.expiresAt = q.now + s.holdMillis
	}
}

func (q *Quarantine) endTrial(e *protocol.TrialEnd) {
	s := q.suspects[e.Fingerprint]
	if s == nil || s.trial != e.Attempt || s.quarantined() {
		return
	}
	s.trial = ""
	if e.Completed {
		q.remove(e.Fingerprint)
	}
}

// advanceTime lets time pass and forgets what has expired.
func (q *Quarantine) advanceTime(pos protocol.Position, e *protocol.Elapsed) {
	if e.Since != q.timeAt || e.Millis <= 0 {
		return
	}
	q.timeAt = pos
	q.now += e.Millis
	for _, fingerprint := range slices.Clone(q.order) {
		if q.suspects[fingerprint].expiresAt <= q.now {
			q.remove(fingerprint)
		}
	}
}

func (q *Quarantine) remove(fingerprint string) {
	delete(q.suspects, fingerprint)
	if i := slices.Index(q.order, fingerprint); i >= 0 {
		q.order = slices.Delete(q.order, i, i+1)
	}
}
