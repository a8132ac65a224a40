// Package balancing chooses the target of an online request.
//
// It answers several gateways that send to the same targets without a word to
// each other, while bursts come in steps and some targets fail: each gateway
// counts its own requests exactly, adds what targets last reported of others,
// which fades within a fraction of a second, and leaves out targets that just
// failed for a time that doubles with each failure.
package balancing

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
	// minEjection is how long a target is left out after a failure; each
	// further failure doubles it up to maxSuspicion.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// forgetIdleAfter is when an idle target's counts are dropped.
	forgetIdleAfter = 30 * time.Second
)

// targetState is what a gateway knows of one target.
type targetState struct {
	inFlight       int
	reportedOthers float64
	reportedAt     time.Time
	ejectionTime   time.Duration
	ejectedUntil   time.Time
	lastUsed       time.Time
}

// Balancer is what a gateway knows of the targets. It is safe for concurrent use.
type Balancer struct {
	now    func() time.Time
	random func() float64

	mu      sync.Mutex
	targets map[string]*targetState
}

// New returns a table that knows nothing. random draws from [0, 1).
func New(now func() time.Time, random func() float64) *Balancer {
	if random == nil {
		random = rand.Float64
	}
	return &Balancer{now: now, random: random, targets: map[string]*targetState{}}
}

// Choice is a target with what decided for it.
type Choice struct {
	Target *fleet.Target
	// InFlight counts this process's other requests there, Others those that the
	// target reported of others, ReportAge ago; 0 if it never did.
	InFlight       int
	ReportedOthers int
	ReportAge      time.Duration
	// ProbeAnswers counts the targets that told their load when asked, Online is what the
	// chosen one told; 0 where none was asked or answered.
	ProbeAnswers int
	ProbedOnline int
	// Ejected is set where no target was left that had not just failed.
	Ejected bool
}

// Begin chooses the least loaded of the targets that are not in tried and counts
// a request at it. It returns false where there is none. Suspects are chosen only
// where there are no others.
func (t *Balancer) Begin(targets []*fleet.Target, tried map[string]bool) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	list := t.scoreTargets(now, targets, tried)
	if len(list) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(list, compareLoad).target
	s := t.state(best.ID)
	choice := Choice{Target: best, InFlight: s.inFlight, Ejected: now.Before(s.ejectedUntil)}
	if !s.reportedAt.IsZero() {
		choice.ReportedOthers, choice.ReportAge = int(s.reportedOthers), now.Sub(s.reportedAt)
	}
	s.inFlight++
	s.lastUsed = now
	return choice, true
}

const (
	// ejectedLoad is added to the load of a suspect, above any real load.
	ejectedLoad = 1000
	// maxRandomLoad bounds what chance adds to a load, so that gateways which know the
	// same do not all choose the same target.
	maxRandomLoad = 0.5
)

// scoredTarget is a target with its load and some chance.
type scoredTarget struct {
	target *fleet.Target
	load   float64
}

func compareLoad(a, b scoredTarget) int { return cmp.Compare(a.load, b.load) }

// scoreTargets returns the targets that are not in tried. The lock is held.
func (t *Balancer) scoreTargets(now time.Time, targets []*fleet.Target, tried map[string]bool) []scoredTarget {
	list := make([]scoredTarget, 0, len(targets))
	for _, target := range targets {
		if !tried[target.ID] {
			list = append(list, scoredTarget{target, t.targetLoad(target, now) + t.random()*maxRandomLoad})
		}
	}
	return list
}

func (t *Balancer) targetLoad(target *fleet.Target, now time.Time) float64 {
	s := t.targets[target.ID]
	if s == nil {
		return 0
	}
	fade := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(reportHalfLife))
	load := float64(s.inFlight) + othersWeight*s.reportedOthers*fade
	if now.Before(s.ejectedUntil) {
		load += ejectedLoad
	}
	return load
}

func (t *Balancer) state(id string) *targetState {
	s := t.targets[id]
	if s == nil {
		s = &targetState{}
		t.targets[id] = s
	}
	return s
}

// End takes the request off again.
func (t *Balancer) End(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.inFlight = max(0, s.inFlight-1)
	s.lastUsed = t.now()
}

// RecordLoad takes the load that a target reported with an answer.
func (t *Balancer) RecordLoad(target *fleet.Target, load fleet.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.reportedOthers = max(0, float64(load.Running+load.Waiting-s.inFlight))
	s.reportedAt = t.now()
}

// RecordFailure leaves a target out for a while.
func (t *Balancer) RecordFailure(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	now := t.now()
	if now.Before(s.ejectedUntil) {
		return // failures of requests that were sent at the same time count once
	}
	s.ejectionTime = min(max(minEjection, 2*s.ejectionTime), maxEjection)
	s.ejectedUntil = now.Add(s.ejectionTime)
}

// RecordWithdrawal leaves a target out for the shortest time, because a request was taken
// away from it that it had not begun: it is busy, or silent, and the requests that
// have left no longer count there.
func (t *Balancer) RecordWithdrawal(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	if until := t.now().Add(minEjection); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// RecordSuccess ends a suspicion.
func (t *Balancer) RecordSuccess(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(target.ID)
	s.ejectionTime = 0
	s.ejectedUntil = time.Time{}
}

// ForgetIdle drops targets that have had no request for a while.
func (t *Balancer) ForgetIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, s := range t.targets {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > forgetIdleAfter {
			delete(t.targets, id)
		}
	}
}
