package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/waiting"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// beginShare is the share of a latency objective within which a request must begin. The
	// rest suffices for the answer's first part.
	beginShare = 0.6
	// waitShare is the share of its time that a request may wait for room.
	waitShare = 0.7
	// refusalShare is the share of a latency objective within which a request is refused that
	// would begin too late, so that its caller can still be served elsewhere.
	refusalShare = 0.25
	// defaultObjective stands for the objective of a route without one.
	defaultObjective = time.Second
	// retrySpread is the random part of the time after which a caller is told to retry, as a
	// share of it: other gateways refuse callers of the same wave.
	retrySpread = 0.2
	// longWait is the time in the waiting room from which a request is logged.
	longWait = 100 * time.Millisecond
	// maxRankLabel is the highest rank with a metric label of its own.
	maxRankLabel = 9
)

// waitingRoom holds the requests for which no target has room, by service. Each request waits
// in its own goroutine. One at a time of a service has its turn to look for room.
type waitingRoom struct {
	metrics *waitingMetrics

	mu       sync.Mutex
	queues   map[string]*serviceQueue
	patience waiting.Patience
}

// serviceQueue holds the requests that wait for a service. The room's mu guards it.
type serviceQueue struct {
	*waiting.Queue
	waiters map[*waiting.Ticket]*waiter
	// turn is the request that looks for room at the moment, nil if none does.
	turn *waiting.Ticket
	// timer starts the next turn, at due. It is nil if none is scheduled.
	timer *time.Timer
	due   time.Time
}

// waiter is a request in the waiting room.
type waiter struct {
	service string
	ticket  *waiting.Ticket
	// wake has room for one value. It is sent to when it is the request's turn, or when it
	// must check again whether it may wait.
	wake chan struct{}
	// released is set if nothing is known of targets' room any more.
	released bool
	// displaced is set if a more urgent request has taken the place.
	displaced bool
	// promised is the time until its turn as estimated when it entered, 0 if not known, and
	// place the number of requests whose turn came before at that time.
	promised time.Duration
	place    int
}

func newWaitingRoom(m *waitingMetrics) *waitingRoom {
	return &waitingRoom{metrics: m, queues: map[string]*serviceQueue{}}
}

// queue returns the service's queue. mu must be held.
func (w *waitingRoom) queue(service string) *serviceQueue {
	q := w.queues[service]
	if q == nil {
		q = &serviceQueue{Queue: waiting.NewQueue(), waiters: map[*waiting.Ticket]*waiter{}}
		w.queues[service] = q
	}
	return q
}

// isWaitedFor reports whether requests wait for the service.
func (w *waitingRoom) isWaitedFor(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[service]
	return q != nil && q.Len() > 0
}

// isRetry reports whether the request is probably not its caller's first attempt.
func (w *waitingRoom) isRetry(route *fleet.Route, r *fleet.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.patience.IsRetry(time.Now(), route.Name, r.MaxWait)
}

// enter adds a request. hasLooked is set if it has just found no room.
func (w *waitingRoom) enter(service string, r waiting.Request, hasLooked bool) (*waiter, *waiting.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	q := w.queue(service)
	ticket, displaced, refusal := q.Add(now, r)
	if refusal != nil {
		return nil, refusal
	}
	if displaced != nil {
		q.waiters[displaced].displaced = true
		q.waiters[displaced].signal()
	}
	entered := &waiter{service: service, ticket: ticket, wake: make(chan struct{}, 1)}
	entered.promised, entered.place = q.Turn(now, ticket)
	q.waiters[ticket] = entered
	w.metrics.waiting.WithLabelValues(rankLabel(r.Rank)).Inc()
	if hasLooked {
		w.scheduleTurn(service, q)
	} else {
		w.offerTurn(service, q)
	}
	return entered, nil
}

// signal wakes the request. It never blocks.
func (t *waiter) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// startTurn gives the next request its turn, unless another has it. mu must be held.
func (w *waitingRoom) startTurn(q *serviceQueue) {
	if q.turn != nil {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
	if next := q.Next(time.Now()); next != nil {
		q.turn = next
		q.waiters[next].signal()
	}
}

// scheduleTurn starts the next turn after the next request's interval, unless one is due
// earlier. mu must be held.
func (w *waitingRoom) scheduleTurn(service string, q *serviceQueue) {
	now := time.Now()
	next := q.Next(now)
	if next == nil || q.turn != nil {
		return
	}
	interval := q.TurnInterval(now, next, rand.Float64)
	due := now.Add(interval)
	switch {
	case q.timer == nil:
		q.timer = time.AfterFunc(interval, func() { w.startNextTurn(service) })
	case due.Before(q.due):
		q.timer.Reset(interval)
	default:
		return
	}
	q.due = due
}

// startNextTurn starts the turn of the request that waits for the service and is next.
func (w *waitingRoom) startNextTurn(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[service]
	q.timer = nil
	w.startTurn(q)
}

// slotMayBeFree starts a turn because a slot of the service may be free, if the next request
// takes it now.
func (w *waitingRoom) slotMayBeFree(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.queues[service]; q != nil {
		w.offerTurn(service, q)
	}
}

// offerTurn starts a turn if the next request takes it now, and schedules one otherwise. mu
// must be held.
func (w *waitingRoom) offerTurn(service string, q *serviceQueue) {
	now := time.Now()
	if next := q.Next(now); next != nil && q.TakesTurnNow(now, next, rand.Float64) {
		w.startTurn(q)
		return
	}
	w.scheduleTurn(service, q)
}

// hasTurn reports whether it is the request's turn, or whether it need not wait for that.
func (w *waitingRoom) hasTurn(t *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queues[t.service].turn == t.ticket || t.released
}

// passTurn ends a turn in which no room was found.
func (w *waitingRoom) passTurn(t *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[t.service]
	if q.turn == t.ticket {
		q.turn = nil
	}
	w.scheduleTurn(t.service, q)
}

// leave removes a request: a target takes it if departs is set, otherwise it is given up.
// The next request has its turn at once.
func (w *waitingRoom) leave(t *waiter, departs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[t.service]
	if q.waiters[t.ticket] == nil {
		return
	}
	now := time.Now()
	delete(q.waiters, t.ticket)
	if departs {
		q.Depart(now, t.ticket)
	} else {
		q.Remove(t.ticket)
	}
	w.metrics.left(t, now.Sub(t.ticket.Since), departs)
	if q.turn == t.ticket {
		q.turn = nil
		w.offerTurn(t.service, q)
	}
}

// review returns a refusal of a request that waits, nil if it goes on waiting.
func (w *waitingRoom) review(t *waiter) *waiting.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	q, now := w.queues[t.service], time.Now()
	if t.displaced {
		return q.Refuse(now, waiting.ReasonDisplaced, t.ticket)
	}
	return q.Review(now, t.ticket)
}

// refusal returns a refusal of a request that waits, for the reason.
func (w *waitingRoom) refusal(t *waiter, reason waiting.Reason) *waiting.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queues[t.service].Refuse(time.Now(), reason, t.ticket)
}

// countDirect counts a request that a target takes without waiting.
func (w *waitingRoom) countDirect(service string, r waiting.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q := w.queues[service]; q != nil {
		q.CountDirect(time.Now(), r)
	}
}

// release lets all requests that wait for the service go to targets, because nothing is known of
// their room any more.
func (w *waitingRoom) release(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.queue(service).waiters {
		t.released = true
		t.signal()
	}
}

// wakeAll lets each request check again whether it may wait.
func (w *waitingRoom) wakeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.queues {
		for _, t := range q.waiters {
			t.signal()
		}
	}
}
