package waiting

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxRequests and MaxBytes bound the requests that wait in a queue, and their bodies:
	// the smallest gateways have 144 MB.
	MaxRequests = 256
	MaxBytes    = 8 << 20
	// minorityInterval is the number of departures of which one goes to a rank other than
	// the first that waits.
	minorityInterval = 10
	// maxIdleClasses bounds the classes that are remembered though nothing of theirs waits.
	maxIdleClasses = 1024
	// forgetAfter is the time without a departure after which the service that classes have
	// had no longer counts. It spans the trough between two waves of load.
	forgetAfter = 3 * time.Second
)

// Request is a request for which no target has room.
type Request struct {
	// Rank is the request's priority, 0 being the most urgent. Class is the name of its
	// workspace, empty for a request without one.
	Rank  int
	Class string
	// Bytes is the size of the body in bytes.
	Bytes int
	// RefuseBy is when it may be refused for the last time because its turn would come too
	// late: its caller must have time for another attempt.
	RefuseBy time.Time
	// LastChance is set if the caller has probably been refused before and does not come
	// again: it gets a late answer rather than none.
	LastChance bool
	// BeginBy is when it must begin in order to meet its latency objective. From then on it
	// is overdue: it gets what others leave, since serving it first would only make them
	// late too.
	BeginBy time.Time
	// EndBy is when it must have ended, zero if it need not.
	EndBy time.Time
}

// Ticket is a request's place in a Queue. Since is when the request was added.
type Ticket struct {
	Request
	Since   time.Time
	number  uint64
	waiting bool
}

// class holds the waiting requests of a class within a rank.
type class struct {
	// start is the start tag of the class's next request, finish the finish tag of its last
	// one, in departures of the rank.
	start, finish float64
	demand        demand
	// lastReturn is the latest time at which the caller of a refused request comes again.
	lastReturn time.Time
	// tickets are ordered by EndBy.
	tickets []*Ticket
}

// next returns the class's next request, nil if none waits: one that is not overdue if there
// is one.
func (c *class) next(now time.Time) (ticket *Ticket, overdue bool) {
	if len(c.tickets) == 0 {
		return nil, false
	}
	if i := slices.IndexFunc(c.tickets, func(t *Ticket) bool { return now.Before(t.BeginBy) }); i >= 0 {
		return c.tickets[i], false
	}
	return c.tickets[0], true
}

// rank holds the classes of a rank. clock is its virtual time: the start tag of the request
// that departed last.
type rank struct {
	clock   float64
	classes map[string]*class
	waiting int
}

// Queue holds the requests that wait for targets of a service. It is not safe for concurrent
// use.
type Queue struct {
	ranks     map[int]*rank
	count     int
	bytes     int
	departure rate
	// overtaken counts the departures of the first rank since one of another rank, while
	// another rank waited.
	overtaken  int
	lastNumber uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{ranks: map[int]*rank{}} }

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.count }

// Add adds a request. It returns a refusal if its turn would come too late, or if the queue
// is full. If a less urgent rank or a larger class of its rank waits in a full queue, the last
// request of the largest class of the last rank is displaced instead: it no longer waits and
// must be refused.
func (q *Queue) Add(now time.Time, r Request) (ticket, displaced *Ticket, refusal *Refusal) {
	q.forgetIdle(now)
	q.rank(r.Rank).class(r.Class).demand.add(now)
	if refusal := q.assess(now, r, nil); refusal != nil {
		return nil, nil, refusal
	}
	if q.count >= MaxRequests || q.bytes+r.Bytes > MaxBytes {
		displaced = q.last()
		if displaced == nil || !q.yields(displaced, r) || q.bytes-displaced.Bytes+r.Bytes > MaxBytes {
			return nil, nil, q.setReturn(now, q.refuse(now, ReasonFull, r, nil), r)
		}
		q.Remove(displaced)
	}
	q.lastNumber++
	ticket = &Ticket{Request: r, Since: now, number: q.lastNumber, waiting: true}
	q.insert(ticket)
	return ticket, displaced, nil
}

// insert adds the ticket to its class.
func (q *Queue) insert(t *Ticket) {
	r := q.rank(t.Rank)
	c := r.class(t.Class)
	if len(c.tickets) == 0 {
		c.start = max(r.clock, c.finish)
	}
	i, _ := slices.BinarySearchFunc(c.tickets, t, compareEnd)
	for i < len(c.tickets) && compareEnd(c.tickets[i], t) == 0 {
		i++
	}
	c.tickets = slices.Insert(c.tickets, i, t)
	r.waiting++
	q.count++
	q.bytes += t.Bytes
}

// compareEnd orders tickets by deadline; those without one are last.
func compareEnd(a, b *Ticket) int {
	if a.EndBy.IsZero() || b.EndBy.IsZero() {
		return cmp.Compare(boolInt(a.EndBy.IsZero()), boolInt(b.EndBy.IsZero()))
	}
	return a.EndBy.Compare(b.EndBy)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Next returns the request whose turn it is, nil if none waits. It stays in the queue.
func (q *Queue) Next(now time.Time) *Ticket {
	waiting := q.waitingRanks()
	if len(waiting) == 0 {
		return nil
	}
	if len(waiting) > 1 && q.overtaken >= minorityInterval-1 {
		return slices.MinFunc(q.heads(now, waiting[1:]), func(a, b *Ticket) int { return cmp.Compare(a.number, b.number) })
	}
	return q.ranks[waiting[0]].head(now)
}

// waitingRanks returns the ranks with requests that wait, the most urgent first.
func (q *Queue) waitingRanks() []int {
	var waiting []int
	for number, r := range q.ranks {
		if r.waiting > 0 {
			waiting = append(waiting, number)
		}
	}
	slices.Sort(waiting)
	return waiting
}

// heads returns the next request of each of the ranks.
func (q *Queue) heads(now time.Time, ranks []int) []*Ticket {
	var heads []*Ticket
	for _, number := range ranks {
		heads = append(heads, q.ranks[number].head(now))
	}
	return heads
}

// Depart removes a request because a target takes it.
func (q *Queue) Depart(now time.Time, t *Ticket) {
	if !t.waiting {
		return
	}
	waiting := q.waitingRanks()
	switch {
	case t.Rank != waiting[0]:
		q.overtaken = 0
	case len(waiting) > 1:
		q.overtaken++
	}
	q.Remove(t)
	q.charge(now, t.Request)
}

// CountDirect counts a request that a target takes though others wait or have just waited:
// what a class gets without waiting is part of its share.
func (q *Queue) CountDirect(now time.Time, r Request) {
	q.forgetIdle(now)
	if q.departure.known() {
		q.rank(r.Rank).class(r.Class).demand.add(now)
		q.charge(now, r)
	}
}

// charge counts a departure against the request's class and for the rate of departures.
func (q *Queue) charge(now time.Time, request Request) {
	r := q.rank(request.Rank)
	c := r.class(request.Class)
	if len(c.tickets) == 0 {
		c.start = max(r.clock, c.finish)
	}
	r.clock = max(r.clock, c.start)
	c.finish = c.start + 1
	c.start = c.finish
	q.departure.observe(now)
}

// Remove removes a request that no longer waits: its caller has left, or it is refused.
func (q *Queue) Remove(t *Ticket) {
	if !t.waiting {
		return
	}
	t.waiting = false
	r := q.ranks[t.Rank]
	c := r.classes[t.Class]
	c.tickets = slices.DeleteFunc(c.tickets, func(other *Ticket) bool { return other == t })
	r.waiting--
	q.count--
	q.bytes -= t.Bytes
}

// yields reports whether a request that waits gives its place in a full queue to another one.
func (q *Queue) yields(waiting *Ticket, r Request) bool {
	if waiting.Rank != r.Rank {
		return waiting.Rank > r.Rank
	}
	classes := q.ranks[r.Rank].classes
	own := classes[r.Class]
	return own == nil || len(classes[waiting.Class].tickets) > len(own.tickets)+1
}

// last returns the request of the last rank, and there of the largest class, whose turn is
// last; nil if none waits.
func (q *Queue) last() *Ticket {
	waiting := q.waitingRanks()
	if len(waiting) == 0 {
		return nil
	}
	var largest *class
	for _, c := range q.ranks[waiting[len(waiting)-1]].classes {
		if largest == nil || len(c.tickets) > len(largest.tickets) {
			largest = c
		}
	}
	return largest.tickets[len(largest.tickets)-1]
}

// forgetIdle drops what classes have had and the rate of departures, if nothing waits and
// nothing has departed for forgetAfter.
func (q *Queue) forgetIdle(now time.Time) {
	if q.count == 0 && q.departure.silence(now) > forgetAfter {
		q.ranks = map[int]*rank{}
		q.departure = rate{}
		q.overtaken = 0
	}
}

func (q *Queue) rank(number int) *rank {
	r := q.ranks[number]
	if r == nil {
		r = &rank{classes: map[string]*class{}}
		q.ranks[number] = r
	}
	return r
}

// class returns the class of the name. If there are too many, it first drops those of which
// nothing waits.
func (r *rank) class(name string) *class {
	if c := r.classes[name]; c != nil {
		return c
	}
	if len(r.classes) >= maxIdleClasses {
		maps.DeleteFunc(r.classes, func(_ string, c *class) bool { return len(c.tickets) == 0 })
	}
	c := &class{}
	r.classes[name] = c
	return c
}

// head returns the rank's next request: the one of the class with the least start tag, of
// several the one with the earliest deadline. Overdue requests come after all others.
func (r *rank) head(now time.Time) *Ticket {
	var best *Ticket
	var bestTag tag
	for _, c := range r.classes {
		ticket, overdue := c.next(now)
		if ticket == nil {
			continue
		}
		if t := (tag{overdue, c.start, ticket}); best == nil || t.compare(bestTag) < 0 {
			best, bestTag = ticket, t
		}
	}
	return best
}

// tag is what the order of the classes of a rank rests on.
type tag struct {
	overdue bool
	start   float64
	next    *Ticket
}

func (t tag) compare(other tag) int {
	return cmp.Or(
		cmp.Compare(boolInt(t.overdue), boolInt(other.overdue)),
		cmp.Compare(t.start, other.start),
		compareEnd(t.next, other.next),
		cmp.Compare(t.next.number, other.next.number),
	)
}
