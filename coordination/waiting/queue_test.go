package waiting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func request(rank int, class string, endsIn time.Duration) Request {
	return Request{
		Rank: rank, Class: class, Bytes: 1, RefuseBy: start.Add(75 * time.Millisecond), BeginBy: start.Add(180 * time.Millisecond),
		EndBy: start.Add(endsIn),
	}
}

// add adds a request that must not be refused.
func add(t *testing.T, q *Queue, r Request) *Ticket {
	t.Helper()
	ticket, displaced, refusal := q.Add(start, r)
	assert.Assert(t, ticket != nil && displaced == nil && refusal == nil, "%+v", refusal)
	return ticket
}

// takeAll lets all requests depart and returns their classes in order.
func takeAll(q *Queue) (order []string) {
	for next := q.Next(start); next != nil; next = q.Next(start) {
		q.Depart(start, next)
		order = append(order, next.Class)
	}
	return order
}

// TestOrderWithinRank guards against a class with many requests being served before others
// that came later, and against a request with little time left waiting behind one of its
// class that has more.
func TestOrderWithinRank(t *testing.T) {
	q := NewQueue()
	for range 3 {
		add(t, q, request(0, "hot", time.Second))
	}
	late := add(t, q, request(0, "other", 2*time.Second))
	early := add(t, q, request(0, "other", time.Second))
	assert.Equal(t, q.ranks[0].classes["other"].tickets[0], early)
	assert.Equal(t, q.ranks[0].classes["other"].tickets[1], late)
	assert.DeepEqual(t, takeAll(q), []string{"hot", "other", "hot", "other", "hot"})
}

// TestLastRankIsServed guards against a rank that never has its turn because more urgent
// requests always wait: one departure of minorityInterval must be its own.
func TestLastRankIsServed(t *testing.T) {
	q := NewQueue()
	for range 3 * minorityInterval {
		add(t, q, request(0, "urgent", time.Second))
		add(t, q, request(5, "last", time.Second))
	}
	served := 0
	for _, class := range takeAll(q)[:2*minorityInterval] {
		if class == "last" {
			served++
		}
	}
	assert.Equal(t, served, 2)
}

// TestOverdueGiveWay guards against serving requests late, one after the other, while each
// makes the next one late: one that can still begin in time goes first.
func TestOverdueGiveWay(t *testing.T) {
	q := NewQueue()
	overdue := add(t, q, request(0, "a", time.Second))
	fresh := request(0, "a", 2*time.Second)
	fresh.BeginBy = start.Add(time.Second)
	inTime := add(t, q, fresh)
	now := start.Add(200 * time.Millisecond)
	assert.Equal(t, q.Next(now), inTime)
	q.Depart(now, inTime)
	assert.Equal(t, q.Next(now), overdue)
}

// TestTurnTooLate guards against holding a request that can't begin in time at the present
// rate of departures: it must be refused when it comes, and those refused one after the other
// must be told to come back one after the other.
func TestTurnTooLate(t *testing.T) {
	q := NewQueue()
	now := start
	for range 20 { // a departure each 40 ms
		now = now.Add(40 * time.Millisecond)
		q.charge(now, Request{Class: "a"})
	}
	r := Request{Class: "a", RefuseBy: now.Add(75 * time.Millisecond), BeginBy: now.Add(180 * time.Millisecond), EndBy: now.Add(5 * time.Second)}
	for range 4 {
		_, _, refusal := q.Add(now, r)
		assert.Assert(t, refusal == nil)
	}
	_, _, first := q.Add(now, r)
	_, _, second := q.Add(now, r)
	assert.Equal(t, first.Reason, ReasonLate)
	assert.Equal(t, first.Place, 4)
	assert.Equal(t, first.Turn, 200*time.Millisecond)
	assert.Equal(t, second.Return, first.Return+first.Interval)
}

// TestFullQueue guards against a queue without bound, and against a hot class or a less urgent
// rank that fills it for the others.
func TestFullQueue(t *testing.T) {
	q := NewQueue()
	for range MaxRequests {
		add(t, q, request(1, "hot", time.Second))
	}
	_, _, refusal := q.Add(start, request(1, "hot", time.Second))
	assert.Equal(t, refusal.Reason, ReasonFull)
	for i, r := range []Request{request(1, "other", time.Second), request(0, "urgent", time.Second)} {
		ticket, displaced, refusal := q.Add(start, r)
		assert.Assert(t, ticket != nil && refusal == nil, fmt.Sprint(i))
		assert.Equal(t, displaced.Class, "hot")
		assert.Equal(t, q.Len(), MaxRequests)
	}
	huge := request(0, "urgent", time.Second)
	huge.Bytes = MaxBytes
	_, _, refusal = q.Add(start, huge)
	assert.Equal(t, refusal.Reason, ReasonFull)
}

// TestSuspension guards against sending a request whose time passed while the gateway was
// suspended: the monotonic clock does not show that.
func TestSuspension(t *testing.T) {
	assert.Assert(t, HasOutlived(time.Second, 6*time.Second, 5*time.Second))
	assert.Assert(t, !HasOutlived(time.Second, 5*time.Second, 5*time.Second))
	assert.Assert(t, !HasOutlived(time.Second, time.Hour, 0))
}

// TestLastChanceWaits guards against refusing a caller for the second time, who does not come
// again, though its answer would only be late. One of a workspace that sends far more than
// others is refused.
func TestLastChanceWaits(t *testing.T) {
	for demand, letIn := range map[int]bool{1: true, 10: false} {
		q := NewQueue()
		now := start
		for range 20 { // a departure each 40 ms
			now = now.Add(40 * time.Millisecond)
			q.charge(now, Request{Class: "a"})
		}
		for range demand {
			q.ranks[0].class("a").demand.add(now)
		}
		q.ranks[0].class("b").demand.add(now)
		r := Request{Class: "a", RefuseBy: now.Add(75 * time.Millisecond), BeginBy: now.Add(180 * time.Millisecond), EndBy: now.Add(5 * time.Second)}
		for range 4 {
			q.insert(&Ticket{Request: r, Since: now, waiting: true})
		}
		r.LastChance = true
		_, _, refusal := q.Add(now, r)
		assert.Equal(t, refusal == nil, letIn, "%+v", refusal)
	}
}

// TestPatience guards against taking first attempts for later ones, and against remembering a
// caller with more patience than the others for ever.
func TestPatience(t *testing.T) {
	var p Patience
	assert.Assert(t, !p.IsRetry(start, "a", 5*time.Second))
	assert.Assert(t, !p.IsRetry(start, "a", 4990*time.Millisecond))
	assert.Assert(t, p.IsRetry(start, "a", 4800*time.Millisecond))
	assert.Assert(t, !p.IsRetry(start, "b", 4*time.Second))
	assert.Assert(t, !p.IsRetry(start, "a", 0), "not known")
	p.IsRetry(start.Add(patienceWindow), "b", time.Second)
	assert.Assert(t, !p.IsRetry(start.Add(2*patienceWindow), "a", 4*time.Second))
}

// TestRequestsWithoutWorkspace guards against taking the callers of a deployment without
// workspaces for a hot workspace: they may be late like others.
func TestRequestsWithoutWorkspace(t *testing.T) {
	q := NewQueue()
	for range 50 {
		add(t, q, request(0, "", time.Second))
	}
	add(t, q, request(0, "a", time.Second))
	next := q.Next(start)
	assert.Equal(t, q.TurnFactor(start, next), 1.)
	assert.Assert(t, q.Review(start.Add(200*time.Millisecond), next) == nil)
}

// TestReturnIsBoundedWithoutDeadline refuses ten thousand requests that do not say how long they
// wait: each would be told to return after all others, minutes later.
func TestReturnIsBoundedWithoutDeadline(t *testing.T) {
	q := NewQueue()
	var longest time.Duration
	for range 10_000 {
		r := request(0, "one", 0)
		r.EndBy = time.Time{}
		if _, _, refusal := q.Add(start, r); refusal != nil {
			longest = max(longest, refusal.Return)
		}
	}
	assert.Assert(t, longest > 0 && longest <= maxReturn, "%v", longest)
}
