package waiting

import (
	"math"
	"slices"
	"time"
)

const (
	// turnInterval is the mean time between two searches for room for what is most urgent. It
	// is below the interval at which batchers read their targets' reports, since their answers
	// also change with what gateways announce.
	turnInterval = 15 * time.Millisecond
	// maxTurnFactor bounds how much less often others have their turn.
	maxTurnFactor = 4
	// demandHalfLife is the half-life of the weight of a request in its class's demand.
	demandHalfLife = time.Second
	// heavyMultiple is the multiple of the median demand from which a class counts as sending
	// far more than others: by chance many exceed the median by less at times.
	heavyMultiple = 4
	// minDemand is the demand from which a class counts as active.
	minDemand = 0.1
)

// demand counts a class's recent requests, with weights that decay.
type demand struct {
	sum float64
	at  time.Time
}

func (d demand) value(now time.Time) float64 {
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(demandHalfLife))
}

func (d *demand) add(now time.Time) { *d = demand{d.value(now) + 1, now} }

// TurnFactor returns by how much less often a gateway looks for room for the request than for
// what is most urgent. A gateway does not know who waits at others, and a free slot goes to
// the one that looks first. So requests of less urgent ranks have their turn less often, and
// so do those of a class that sends far more than the median of the classes of its rank, since it
// probably does so at the other gateways too.
func (q *Queue) TurnFactor(now time.Time, t *Ticket) float64 {
	factor := float64(1 + max(0, t.Rank))
	if r := q.ranks[t.Rank]; r != nil {
		factor *= max(1, r.heaviness(now, t.Class)/heavyMultiple)
	}
	return min(factor, maxTurnFactor)
}

// heaviness returns the demand of a class as a multiple of the median of the rank's active
// classes. Requests without a workspace come from many callers, so it is 1 for these.
func (r *rank) heaviness(now time.Time, name string) float64 {
	if name == "" {
		return 1
	}
	var active []float64
	for _, c := range r.classes {
		if value := c.demand.value(now); value >= minDemand {
			active = append(active, value)
		}
	}
	if len(active) < 2 {
		return 1
	}
	slices.Sort(active)
	return r.class(name).demand.value(now) / active[(len(active)-1)/2]
}

// TurnInterval returns the time after which a gateway looks for room again on behalf of the
// next request. random draws from [0, 1).
func (q *Queue) TurnInterval(now time.Time, next *Ticket, random func() float64) time.Duration {
	return time.Duration((0.5 + random()) * q.TurnFactor(now, next) * float64(turnInterval))
}

// TakesTurnNow reports whether the next request has its turn at once because a slot may be
// free, instead of after TurnInterval. random draws from [0, 1).
func (q *Queue) TakesTurnNow(now time.Time, next *Ticket, random func() float64) bool {
	factor := q.TurnFactor(now, next)
	return random()*factor*factor < 1
}
