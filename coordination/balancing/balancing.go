// Package balancing chooses the target of an online request.
//
// Several gateways send to the same targets without coordination, load rises in
// steps, and some targets fail. Each gateway therefore counts its own requests
// exactly and adds the load that targets last reported of other gateways, which
// decays within a fraction of a second. It ejects targets that have just failed, for
// a time that doubles with each failure.
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
	// reportHalfLife is the half-life of the weight of a reported load.
	reportHalfLife = 200 * time.Millisecond
	// othersWeight is the weight of a request of another gateway relative to one of
	// this gateway.
	othersWeight = 0.5
	// minEjection is how long a target is ejected after a failure; each further
	// failure doubles the time, up to maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 3 * time.Second
	// forgetIdleAfter is how long the state of an idle target is kept.
	forgetIdleAfter = 30 * time.Second
)

// targetState is what the balancer knows of one target.
type targetState struct {
	inFlight       int
	reportedOthers float64
	reportedAt     time.Time
	ejectionTime   time.Duration
	ejectedUntil   time.Time
	lastUsed       time.Time
}

// Balancer tracks the load and failures of targets as seen by one gateway. It is
// safe for concurrent use.
type Balancer struct {
	now    func() time.Time
	random func() float64
	// dataCentre is that of this process, empty if unknown.
	dataCentre string

	mu      sync.Mutex
	targets map[string]*targetState
	// lastSuccess is when a target last served a request of this gateway.
	lastSuccess time.Time
}

// New returns a balancer without any state. random draws from [0, 1); nil stands for
// rand.Float64.
func New(now func() time.Time, random func() float64) *Balancer {
	if random == nil {
		random = rand.Float64
	}
	return &Balancer{now: now, random: random, targets: map[string]*targetState{}}
}

// SetDataCentre sets the data centre of this process, whose targets are preferred where
// others are not expected to serve sooner. It must be called before the balancer is used.
func (b *Balancer) SetDataCentre(name string) { b.dataCentre = name }

// Choice is the chosen target and the figures that the choice was based on.
type Choice struct {
	Target *fleet.Target
	// InFlight counts the other requests of this process at the target.
	// ReportedOthers counts those of other processes that the target reported
	// ReportAge ago; ReportedOthers and ReportAge are 0 if it never reported.
	InFlight       int
	ReportedOthers int
	ReportAge      time.Duration
	// ProbeAnswers counts the targets that answered a probe of their load, and
	// ProbedOnline is the answer of the chosen one; both are 0 if no target was
	// probed or none answered.
	ProbeAnswers int
	ProbedOnline int
	// Capacity is the number of requests that the target takes well, as its batcher has
	// learned. ExpectedFirstEvent and ExpectedStep are the times that a stream should meet
	// there, to its first event and between two events. Each is 0 if unknown.
	Capacity           int
	ExpectedFirstEvent time.Duration
	ExpectedStep       time.Duration
	// Room is the number of requests that the target takes well beyond those it has, as far
	// as is known; it is negative if it has too many. RoomKnown is false if nothing is known.
	Room      int
	RoomKnown bool
	// Ejected is set if the target is ejected and was chosen because no other was left.
	Ejected bool
}

// Begin chooses the least loaded target that is not in tried and counts a request at
// it. It returns false if there is none. Ejected targets are chosen only if there
// are no others.
func (b *Balancer) Begin(targets []*fleet.Target, tried map[string]bool) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	scored := b.scoreTargets(now, targets, tried)
	if len(scored) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(scored, compareLoad).target
	s := b.state(best.ID)
	choice := Choice{Target: best, InFlight: s.inFlight, Ejected: now.Before(s.ejectedUntil)}
	if !s.reportedAt.IsZero() {
		choice.ReportedOthers, choice.ReportAge = int(s.reportedOthers), now.Sub(s.reportedAt)
	}
	s.inFlight++
	s.lastUsed = now
	return choice, true
}

const (
	// ejectedLoad is added to the load of an ejected target; it exceeds any real
	// load.
	ejectedLoad = 1000
	// maxRandomLoad bounds the random part of a load, which keeps gateways with the
	// same information from all choosing the same target.
	maxRandomLoad = 0.5
)

// scoredTarget is a target with its load, including the random part.
type scoredTarget struct {
	target *fleet.Target
	load   float64
}

func compareLoad(a, b scoredTarget) int { return cmp.Compare(a.load, b.load) }

// scoreTargets returns the targets that are not in tried with their loads. mu must
// be held.
func (b *Balancer) scoreTargets(now time.Time, targets []*fleet.Target, tried map[string]bool) []scoredTarget {
	ejects := !b.isObserverAtFault(now, targets)
	scored := make([]scoredTarget, 0, len(targets))
	for _, target := range targets {
		if tried[target.ID] {
			continue
		}
		load := b.targetLoad(target, now) + b.random()*maxRandomLoad
		if ejects && b.targets[target.ID].isEjected(now) {
			load += ejectedLoad
		}
		scored = append(scored, scoredTarget{target, load})
	}
	return scored
}

func (b *Balancer) targetLoad(target *fleet.Target, now time.Time) float64 {
	s := b.targets[target.ID]
	if s == nil {
		return 0
	}
	decay := math.Exp2(-float64(now.Sub(s.reportedAt)) / float64(reportHalfLife))
	return float64(s.inFlight) + othersWeight*s.reportedOthers*decay
}

func (b *Balancer) state(id string) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{}
		b.targets[id] = s
	}
	return s
}

// End removes a request that Begin has counted.
func (b *Balancer) End(target *fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(target.ID)
	s.inFlight = max(0, s.inFlight-1)
	s.lastUsed = b.now()
}

// RecordLoad stores the load that a target reported with a response.
func (b *Balancer) RecordLoad(target *fleet.Target, load fleet.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(target.ID)
	s.reportedOthers = max(0, float64(load.Running+load.Waiting-s.inFlight))
	s.reportedAt = b.now()
}

// RecordFailure ejects a target, unless it is ejected already.
func (b *Balancer) RecordFailure(target *fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(target.ID)
	now := b.now()
	if now.Before(s.ejectedUntil) {
		return // failures of requests in flight at the same time count once
	}
	s.ejectionTime = min(max(minEjection, 2*s.ejectionTime), maxEjection)
	s.ejectedUntil = now.Add(s.ejectionTime)
}

// RecordWithdrawal ejects a target for minEjection, because a request was withdrawn
// from it before it had started the request: the target is busy or unresponsive, and
// withdrawn requests no longer count towards its load.
func (b *Balancer) RecordWithdrawal(target *fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(target.ID)
	if until := b.now().Add(minEjection); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// RecordSuccess ends the ejection of a target and resets the ejection time.
func (b *Balancer) RecordSuccess(target *fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(target.ID)
	s.ejectionTime = 0
	s.ejectedUntil = time.Time{}
	b.lastSuccess = b.now()
}

// ForgetIdle drops the state of targets that have had no request for
// forgetIdleAfter.
func (b *Balancer) ForgetIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, s := range b.targets {
		if s.inFlight == 0 && now.Sub(s.lastUsed) > forgetIdleAfter {
			delete(b.targets, id)
		}
	}
}
