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

// sharedRandom draws from the runtime's source, which any goroutine may use.
type sharedRandom struct{}

// IntN implements routing.Random.
func (sharedRandom) IntN(n int) int { return rand.IntN(n) }

const (
	// defaultChoices is the number of targets among which the least loaded is taken.
	defaultChoices = 2
	// affinityLoadFactor and affinitySlack bound the load of a target that takes a
	// request for its prefix.
	affinityLoadFactor = 1.25
	affinityMinLoad    = 0.5
)

// The budgets of extra attempts: what one request earns, and what can be saved.
const (
	retryRatio        = 0.1
	hedgeRatio        = 0.05
	extraAttemptBurst = 10
)

// policy bundles the decisions that requests share.
type policy struct {
	routing *routing.Policy
	latency *latency.Estimator
	retries *budget.Budget
	hedges  *budget.Budget
	// delays holds a *pace for each service.
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

// deposit counts a request towards the budgets of extra attempts.
func (p *policy) deposit() {
	p.retries.Deposit()
	p.hedges.Deposit()
}

// isEjected reports whether a target gets no work for being slow.
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
	two := routing.RandomChoices{Count: cmp.Or(s.Choices, defaultChoices), Random: sharedRandom{}}
	switch s.Routing {
	case settings.RoutingRoundRobin:
		return &routing.RoundRobin{}
	case settings.RoutingLeastInFlight:
		return routing.LeastInFlight{Random: sharedRandom{}}
	case settings.RoutingAffinity:
		return routing.BoundedAffinity{LoadFactor: affinityLoadFactor, MinBound: affinityMinLoad, Fallback: two}
	case settings.RoutingLastOwner:
		return &routing.LastOwner{MaxLoad: affinityMinLoad, Fallback: two}
	default:
		return two
	}
}
