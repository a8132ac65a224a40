package settings

// Routing names a way to choose a target.
type Routing string

// The ways to choose a target.
const (
	RoutingTwoChoices    Routing = "two_choices"
	RoutingRoundRobin    Routing = "round_robin"
	RoutingLeastInFlight Routing = "least_in_flight"
	RoutingAffinity      Routing = "affinity"
	RoutingLastOwner     Routing = "last_owner"
)

// Policy holds the choices between ways to route and schedule. The zero value
// is the recommended policy; the others exist to compare with.
type Policy struct {
	Routing Routing `toml:"routing"`
	// Choices is the number of random targets among which the least loaded is
	// taken; zero stands for the recommended number.
	Choices int `toml:"choices"`
	// NoEjection keeps sending work to targets that are much slower than others.
	NoEjection bool `toml:"no_ejection"`
	// Reserve is the number of slots of each target that batch work leaves free,
	// where the target's own setting is zero.
	Reserve int `toml:"reserve"`
	// NoHedges never opens a second attempt beside a stalled one.
	NoHedges bool `toml:"no_hedges"`
	// NoProbes lets the first target queue a request that another could run now.
	NoProbes bool `toml:"no_probes"`
	// NoLanes lets long work take every slot of a target.
	NoLanes bool `toml:"no_lanes"`
	// NoAdmission queues online work however long it will wait.
	NoAdmission bool `toml:"no_admission"`
	// NoPreemption lets batch work finish when online work waits.
	NoPreemption bool `toml:"no_preemption"`
}

// Validate reports the first fault as ErrSettings.
func (p *Policy) Validate() error {
	switch p.Routing {
	case "", RoutingTwoChoices, RoutingRoundRobin, RoutingLeastInFlight, RoutingAffinity, RoutingLastOwner:
	default:
		return ErrSettings.New("policy.routing: %q is unknown", p.Routing)
	}
	if p.Reserve < 0 {
		return ErrSettings.New("policy.reserve: must not be negative")
	}
	return nil
}
