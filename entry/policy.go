package entry

import (
	"math/rand/v2"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/latency"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/settings"
)

// sharedRandom draws from the runtime's source, which any goroutine may use.
type sharedRandom struct{}

// IntN implements routing.Random.
func (sharedRandom) IntN(n int) int { return rand.IntN(n) }

const (
	// affinityLoadFactor and affinitySlack bound the load of a target that takes a
	// request for its prefix.
	affinityLoadFactor = 1.25
	affinitySlack      = 0.5
)

// policy bundles the decisions that requests share.
type policy struct {
	routing *routing.Policy
	latency *latency.Estimator
}

func newPolicy(s settings.Policy) *policy {
	p := &policy{latency: latency.New(latency.DefaultParams())}
	p.routing = &routing.Policy{Choose: newChooser(s), Random: sharedRandom{}}
	if !s.NoEjection {
		p.routing.Share = func(target string) float64 { return p.latency.Share(target, time.Now()) }
	}
	return p
}

// newChooser returns the chooser that the settings name.
func newChooser(s settings.Policy) routing.Chooser {
	two := routing.TwoChoices{Random: sharedRandom{}}
	switch s.Routing {
	case settings.RoutingRoundRobin:
		return &routing.RoundRobin{}
	case settings.RoutingLeastInFlight:
		return routing.LeastInFlight{Random: sharedRandom{}}
	case settings.RoutingAffinity:
		return routing.Affine{LoadFactor: affinityLoadFactor, Slack: affinitySlack, Otherwise: two}
	case settings.RoutingLastOwner:
		return &routing.LastOwner{MaxLoad: affinitySlack, Otherwise: two}
	default:
		return two
	}
}
