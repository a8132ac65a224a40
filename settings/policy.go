package settings

// Routing is the name of a routing algorithm, which chooses the target of a request.
type Routing string

// The routing algorithms.
const (
	RoutingTwoChoices    Routing = "two_choices"
	RoutingRoundRobin    Routing = "round_robin"
	RoutingLeastInFlight Routing = "least_in_flight"
	RoutingAffinity      Routing = "affinity"
	RoutingLastOwner     Routing = "last_owner"
)

// Policy selects the algorithms for routing and scheduling. The zero value is the
// recommended policy; other values exist for comparison.
type Policy struct {
	Routing Routing `toml:"routing"`
	// Choices is the number of random targets of which the least loaded is chosen; zero
	// means the recommended number.
	Choices int `toml:"choices"`
	// NoEjection keeps sending work to targets that are much slower than others.
	NoEjection bool `toml:"no_ejection"`
	// Reserve is the number of slots that batch work leaves free on each target whose
	// own setting is zero.
	Reserve int `toml:"reserve"`
	// NoHedges disables hedging: no second attempt is sent while the first one stalls.
	NoHedges bool `toml:"no_hedges"`
	// NoProbes lets the first target queue a request even if another target could run it
	// immediately.
	NoProbes bool `toml:"no_probes"`
	// NoLanes lets long requests occupy all slots of a target.
	NoLanes bool `toml:"no_lanes"`
	// NoAdmission disables admission control: online work is queued however long it will
	// wait.
	NoAdmission bool `toml:"no_admission"`
	// NoPreemption lets batch work finish while online work waits for its slot.
	NoPreemption bool `toml:"no_preemption"`
}

// Validate returns the first fault as an ErrSettings, or nil if there is none.
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
