// Package placing chooses the target of an online request.
//
// It answers several gateways that send to the same targets without a word to
// each other, while bursts come in steps and some targets fail: each gateway
// counts its own requests exactly, adds what targets last reported of others,
// which fades within a fraction of a second, and leaves out targets that just
// failed for a time that doubles with each failure.
package placing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// reportHalfLife is the time in which half of a reported load counts no more.
	reportHalfLife = 200 * time.Millisecond
	// othersWeight is how much a request of others counts against one's own.
	othersWeight = 0.5
	// firstSuspicion is how long a target is left out after a failure; each
	// further failure doubles it up to maxSuspicion.
	firstSuspicion = 300 * time.Millisecond
	maxSuspicion   = 3 * time.Second
	// forgetAfter is when an idle target's counts are dropped.
	forgetAfter = 30 * time.Second
)

// state is what a gateway knows of one target.
type state struct {
	inFlight   int
	others     float64
	reportedAt time.Time
	suspicion  time.Duration
	suspect    time.Time
	used       time.Time
}

// Table is what a gateway knows of the targets. It is safe for concurrent use.
type Table struct {
	now    func() time.Time
	random func() float64

	mu      sync.Mutex
	targets map[string]*state
}

// New returns a table that knows nothing. random draws from [0, 1).
func New(now func() time.Time, random func() float64) *Table {
	if random == nil {
		random = rand.Float64
	}
	return &Table{now: now, random: random, targets: map[string]*state{}}
}

// Choice is a target with what decided for it.
type Choice struct {
	Target *fleet.Target
	// InFlight counts this process's other requests there, Others those that the
	// target reported of others, ReportAge ago; 0 if it never did.
	InFlight  int
	Others    int
	ReportAge time.Duration
	// Answers counts the targets that told their load when asked, Online is what the
	// chosen one told; 0 where none was asked or answered.
	Answers int
	Online  int
	// Suspect is set where no target was left that had not just failed.
	Suspect bool
}

// Begin chooses the least loaded of the targets that are not in tried and counts
// a request at it. It returns false where there is none. Suspects are chosen only
// where there are no others.
func (t *Table) Begin(targets []*fleet.Target, tried map[string]bool) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	list := t.weigh(now, targets, tried)
	if len(list) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(list, byLoad).target
	s := t.state(best.ID)
	choice := Choice{Target: best, InFlight: s.inFlight, Suspect: now.Before(s.suspect)}
	if !s.reportedAt.IsZero() {
		choice.Others, choice.ReportAge = int(s.others), now.Sub(s.reportedAt)
	}
	s.inFlight++
	s.used = now
	return choice, true
}

const (
	// suspectLoad is added to the load of a suspect, above any real load.
	suspectLoad = 1000
	// chanceLoad bounds what chance adds to a load, so that gateways which know the
	// same do not all choose the same target.
	chanceLoad = 0.5
)

// weighed is a target with its load and some chance.
type weighed struct {
	target *fleet.Target
	load   float64
}

func byLoad(a, b weighed) int { return cmp.Compare(a.load, b.load) }

// weigh returns the targets that are not in tried. The lock is held.
func (t *Table) weigh(now time.Time, targets []*fleet.Target, tried map[string]bool) []weighed {
	list := make([]weighed, 0, len(targets))
	for _, target := range targets {
		if !tried[target.ID] {
			list = append(list, weighed{target, t.load(target, now) + t.random()*chanceLoad})
		}
	}
	return list
}

func (t *Table) load(target *fleet.Target, now time.Time) float64 {
	s := t.targets[target.ID]
	if s == nil {
		return 0
	}
	fade := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(reportHalfLife))
	load := float64(s.inFlight) + othersWeight*s.others*fade
	if now.Before(s.suspect) {
		load += suspectLoad
	}
	return load
}

func (t *Table) state(id string) *state {
	s := t.targets[id]
	if s == nil {
		s = &state{}
		t.targets[id] = s
	}
	return s
}

// End takes the request off again.
func (t *Table) End(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.inFlight = max(0, s.inFlight-1)
	s.used = t.now()
}

// Report takes the load that a target reported with an answer.
func (t *Table) Report(target *fleet.Target, load fleet.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.others = max(0, float64(load.Running+load.Waiting-s.inFlight))
	s.reportedAt = t.now()
}

// Failed leaves a target out for a while.
func (t *Table) Failed(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	now := t.now()
	if now.Before(s.suspect) {
		return // failures of requests that were sent at the same time count once
	}
	s.suspicion = min(max(firstSuspicion, 2*s.suspicion), maxSuspicion)
	s.suspect = now.Add(s.suspicion)
}

// Left leaves a target out for the shortest time, because a request was taken
// away from it that it had not begun: it is busy, or silent, and the requests that
// have left no longer count there.
func (t *Table) Left(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	if until := t.now().Add(firstSuspicion); until.After(s.suspect) {
		s.suspect = until
	}
}

// Succeeded ends a suspicion.
func (t *Table) Succeeded(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.suspicion = 0
	s.suspect = time.Time{}
}

// Forget drops targets that have had no request for a while.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, s := range t.targets {
		if s.inFlight == 0 && now.Sub(s.used) > forgetAfter {
			delete(t.targets, id)
		}
	}
}
