package waiting

import "time"

const (
	// rateGain is the weight of the newest interval in the mean time between departures.
	rateGain = 0.1
	// minIntervals is the number of intervals from which the mean is used.
	minIntervals = 4
	// lastChanceShare is the share of the time between BeginBy and EndBy within which the turn
	// of a request without another chance must come. It is well below one, since overdue
	// requests get only what others leave.
	lastChanceShare = 0.2
	// silentIntervals is the number of intervals without a departure that chance explains.
	silentIntervals = 4
	// maxInterval bounds an interval that counts: a longer one is the gap between two times
	// of load.
	maxInterval = time.Second
)

// rate estimates the time between two departures.
type rate struct {
	mean      time.Duration
	intervals int
	last      time.Time
}

// observe adds a departure.
func (r *rate) observe(now time.Time) {
	if !r.last.IsZero() {
		interval := min(now.Sub(r.last), maxInterval)
		if r.intervals == 0 {
			r.mean = interval
		}
		r.intervals++
		r.mean += time.Duration(rateGain * float64(interval-r.mean))
	}
	r.last = now
}

func (r *rate) known() bool { return r.intervals >= minIntervals }

// silence returns the time since the last departure, 0 if there was none.
func (r *rate) silence(now time.Time) time.Duration {
	if r.last.IsZero() {
		return 0
	}
	return now.Sub(r.last)
}

// interval returns the expected time between departures from now on. It is longer than the
// mean if none has come for several intervals: targets are lost.
func (r *rate) interval(now time.Time) time.Duration {
	return max(r.mean, r.silence(now)/silentIntervals)
}

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonLate means that the request's turn would come too late.
	ReasonLate Reason = "turn_too_late"
	// ReasonFull means that too many requests wait.
	ReasonFull Reason = "queue_full"
	// ReasonDisplaced means that a more urgent request took the place in a full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonDraining means that the gateway stops before the request would have ended.
	ReasonDraining Reason = "draining"
	// ReasonSuspended means that the gateway was suspended while the request waited.
	ReasonSuspended Reason = "suspended"
)

// Refusal says why a request is refused, and what that rests on.
type Refusal struct {
	Reason Reason
	// Place is the number of requests whose turn comes before.
	Place int
	// Interval is the expected time between departures, 0 if it is not known.
	Interval time.Duration
	// Turn is the time until the request's turn, 0 if it is not known.
	Turn time.Duration
	// Return is the time after which its caller should come again.
	Return time.Duration
}

const (
	// minReturn is the least time after which a caller should come again: a slot becomes free
	// within this time unless the overload lasts.
	minReturn = 150 * time.Millisecond
	// maxReturnShare bounds that time, as a share of the time that the request has left.
	maxReturnShare = 1. / 3
	// maxReturn bounds that time where it is not known how long the caller waits.
	maxReturn = 5 * time.Second
)

// setReturn sets the time after which the caller of a refused request should come again: its
// turn, but not before those of its class that were refused earlier, and each after the time in
// which one request departs. So a wave of callers comes back in its order, spread over the time
// that it takes to serve it.
func (q *Queue) setReturn(now time.Time, refusal *Refusal, r Request) *Refusal {
	next := now.Add(max(refusal.Turn, minReturn))
	c := q.rank(r.Rank).class(r.Class)
	if after := c.lastReturn.Add(refusal.Interval); after.After(next) {
		next = after
	}
	latest := now.Add(maxReturn)
	if !r.EndBy.IsZero() {
		latest = now.Add(time.Duration(maxReturnShare * float64(r.EndBy.Sub(now))))
	}
	if next.After(latest) {
		next = latest
	}
	c.lastReturn = next
	refusal.Return = max(next.Sub(now), minReturn)
	return refusal
}

// Review returns a refusal of a request that waits, nil if it may go on: if its turn would come
// too late and it may still be refused for that, and when it becomes overdue while its class
// sends far more than others. What others leave does not suffice for such a class, and its
// requests would wait for most of their time in vain.
func (q *Queue) Review(now time.Time, t *Ticket) *Refusal {
	switch {
	case !t.waiting:
		return nil
	case !now.Before(t.BeginBy) && q.isHeavy(now, t.Request):
		return q.Refuse(now, ReasonLate, t)
	}
	return q.assess(now, t.Request, t)
}

// isHeavy reports whether the request's class sends far more than others.
func (q *Queue) isHeavy(now time.Time, r Request) bool {
	return q.rank(r.Rank).heaviness(now, r.Class) > heavyMultiple
}

// Turn returns the time until the turn of a request that waits, and how many come before it.
// The time is 0 if the rate of departures is not known.
func (q *Queue) Turn(now time.Time, t *Ticket) (turn time.Duration, place int) {
	refusal := q.refuse(now, "", t.Request, t)
	return refusal.Turn, refusal.Place
}

// Refuse returns a refusal of a request that waits.
func (q *Queue) Refuse(now time.Time, reason Reason, t *Ticket) *Refusal {
	return q.setReturn(now, q.refuse(now, reason, t.Request, t), t.Request)
}

// assess returns a refusal if the request's turn would come too late. ticket is nil for one
// that does not wait yet.
func (q *Queue) assess(now time.Time, r Request, ticket *Ticket) *Refusal {
	if !q.departure.known() || now.After(r.RefuseBy) {
		return nil
	}
	refusal := q.refuse(now, ReasonLate, r, ticket)
	if refusal.Place > 0 && now.Add(refusal.Turn).After(q.latestTurn(now, r)) {
		return q.setReturn(now, refusal, r)
	}
	return nil
}

// latestTurn returns when the request's turn must come for it to be let in. One without another
// chance may also wait beyond its objective, unless its class sends far more than others: then
// the others would wait for it.
func (q *Queue) latestTurn(now time.Time, r Request) time.Time {
	if !r.LastChance || r.EndBy.IsZero() || q.isHeavy(now, r) {
		return r.BeginBy
	}
	return r.BeginBy.Add(time.Duration(lastChanceShare * float64(r.EndBy.Sub(r.BeginBy))))
}

// refuse returns a refusal with the request's place and turn.
func (q *Queue) refuse(now time.Time, reason Reason, r Request, ticket *Ticket) *Refusal {
	refusal := &Refusal{Reason: reason, Place: q.place(now, r, ticket)}
	if q.departure.known() {
		refusal.Interval = q.departure.interval(now)
		refusal.Turn = refusal.Interval * time.Duration(refusal.Place+1)
	}
	return refusal
}

// place returns the number of requests that are served before the request: those of more
// urgent ranks, those of its class with an earlier deadline, and of each other class of its
// rank as many as have their turn until then. Of other classes overdue ones do not count.
func (q *Queue) place(now time.Time, r Request, ticket *Ticket) int {
	urgent, own := 0, 0
	for number, other := range q.ranks {
		switch {
		case number < r.Rank:
			urgent += other.inTime(now)
		case number == r.Rank:
			own = other.place(now, r, ticket)
		}
	}
	return own + min(urgent, (minorityInterval-1)*(own+1))
}

// inTime returns the number of the rank's requests that are not overdue.
func (r *rank) inTime(now time.Time) int {
	count := 0
	for _, c := range r.classes {
		count += c.ahead(now, nil)
	}
	return count
}

// place returns the number of requests of the rank that are served before the request.
func (r *rank) place(now time.Time, request Request, ticket *Ticket) int {
	probe := ticket
	if probe == nil {
		probe = &Ticket{Request: request, Since: now}
	}
	start, before := r.clock, 0
	if own := r.classes[request.Class]; own != nil {
		before = own.ahead(now, probe)
		start = max(r.clock, own.finish)
		if len(own.tickets) > 0 {
			start = own.start
		}
	}
	finish := start + float64(before)
	for name, c := range r.classes {
		if name != request.Class && c.start <= finish {
			before += min(c.ahead(now, nil), int(finish-c.start)+1)
		}
	}
	return before
}

// ahead returns the number of the class's requests with an earlier deadline than the given one,
// and if it is nil of all that are not overdue.
func (c *class) ahead(now time.Time, ticket *Ticket) int {
	count := 0
	for _, other := range c.tickets {
		if other == ticket || ticket != nil && compareEnd(other, ticket) > 0 {
			break
		}
		if ticket != nil || now.Before(other.BeginBy) {
			count++
		}
	}
	return count
}

// HasOutlived reports whether a request's time was over before the gateway ran again after a
// suspension: since its entry, more time has passed than it may take. Both times are by a
// clock that also counts the time in suspension.
func HasOutlived(entered, now, limit time.Duration) bool { return limit > 0 && now-entered >= limit }
