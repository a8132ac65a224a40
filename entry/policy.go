package entry

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/budget"
	"github.com/sycamoretally/sycamoretally/coordination/latency"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/settings"
)

// sharedRandom uses the global random source, which is safe for concurrent use.
type sharedRandom struct{}

// IntN implements routing.Random.
func (sharedRandom) IntN(n int) int { return rand.IntN(n) }

const (
	// defaultChoices is the number of random targets from which the least loaded
	// one is taken.
	defaultChoices = 2
	// affinityLoadFactor and affinityMinLoad bound the load up to which a target
	// gets requests by affinity.
	affinityLoadFactor = 1.25
	affinityMinLoad    = 0.5
)

// Budgets of retries and hedges: the share that each request deposits, and the
// maximum balance.
const (
	retryRatio        = 0.1
	hedgeRatio        = 0.05
	extraAttemptBurst = 10
)

// policy holds the routing, latency and budget state that all requests share.
type policy struct {
	routing *routing.Policy
	latency *latency.Estimator
	retries *budget.Budget
	hedges  *budget.Budget
	// delays maps a service's name to its *stallDelays.
	delays sync.Map
}

func newPolicy(s settings.Policy) *policy {
	p := &policy{
		latency: latency.New(latency.DefaultParams()),
		retries: budget.New(budget.Params{Ratio: retryRatio, Burst: extraAttemptBurst}),
		hedges:  budget.New(budget.Params{Ratio: hedgeRatio, Burst: extraAttemptBurst}),
	}
	p.routing = &routing.Policy{Chooser: newChooser(s), Random: sharedRandom{}}
	if !s.NoEjection {
		p.routing.Share = func(target string) float64 { return p.latency.Share(target, time.Now()) }
	}
	return p
}

// deposit credits the budgets of retries and hedges for one request.
func (p *policy) deposit() {
	p.retries.Deposit()
	p.hedges.Deposit()
}

// isEjected reports whether a target gets no work because it is slow.
func (p *policy) isEjected(target string) bool {
	return p.routing.Share != nil && p.routing.Share(target) == 0
}

func (p *policy) stallDelaysOf(service string) *stallDelays {
	if found, ok := p.delays.Load(service); ok {
		return found.(*stallDelays)
	}
	found, _ := p.delays.LoadOrStore(service, newStallDelays())
	return found.(*stallDelays)
}

// newChooser returns the chooser that the settings name.
func newChooser(s settings.Policy) routing.Chooser {
	randomChoices := routing.RandomChoices{Count: cmp.Or(s.Choices, defaultChoices), Random: sharedRandom{}}
	switch s.Routing {
	case settings.RoutingRoundRobin:
		return &routing.RoundRobin{}
	case settings.RoutingLeastInFlight:
		return routing.LeastInFlight{Random: sharedRandom{}}
	case settings.RoutingAffinity:
		return routing.BoundedAffinity{LoadFactor: affinityLoadFactor, MinBound: affinityMinLoad, Fallback: randomChoices}
	case settings.RoutingLastOwner:
		return &routing.LastOwner{MaxLoad: affinityMinLoad, Fallback: randomChoices}
	default:
		return randomChoices
	}
}
