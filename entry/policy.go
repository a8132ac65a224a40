package entry

import (
	"math/rand/v2"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/settings"
)

// sharedRandom draws from the runtime's source, which any goroutine may use.
type sharedRandom struct{}

// IntN implements routing.Random.
func (sharedRandom) IntN(n int) int { return rand.IntN(n) }

// newChooser returns the chooser that the policy names.
func newChooser(p settings.Policy) routing.Chooser {
	switch p.Routing {
	case settings.RoutingRoundRobin:
		return &routing.RoundRobin{}
	case settings.RoutingLeastInFlight:
		return routing.LeastInFlight{Random: sharedRandom{}}
	default:
		return routing.TwoChoices{Random: sharedRandom{}}
	}
}
