package ratelimit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	testLease = leaseIntervals * minRenewInterval
	// settled is a time at which holders of newTestHolder decide, with full buckets.
	settled = 10 * testLease
)

// present returns the record of a gateway whose name is its address.
func present(name string, revision int64) Member {
	return Member{Name: name, Process: name + "-1", Address: name, Revision: revision, Weight: 1, Lease: testLease}
}

// newTestHolder returns a holder of the first of the gateways, which joined at 0 and is kept
// present until the time settled.
func newTestHolder(names ...string) *Holder {
	h := NewHolder(NewMembers(names[0], names[0]+"-1"), testBounds, 0, newCounter())
	for at := time.Duration(0); at <= settled; at += time.Second {
		h.keep(at, names...)
	}
	return h
}

func newCounter() func() uint64 {
	id := uint64(1 << 20)
	return func() uint64 { id++; return id }
}

// keep renews all gateways at the time now.
func (h *Holder) keep(now time.Duration, names ...string) {
	h.Renewed(now, now, int64(now)+1, testLease)
	var list []Member
	for _, name := range names {
		list = append(list, present(name, int64(now)+1))
	}
	h.Update(now, now, list)
	h.Maintain(now)
}

func ask(r fleet.Rate, version int64) fleet.RateQuery {
	return fleet.RateQuery{Kind: fleet.RateAsk, Workspace: "w", PerSecond: r.PerSecond, Burst: r.Burst, Version: version}
}

// admitAll asks with new IDs until the rate is used up and returns how many were admitted.
func (h *Holder) admitAll(now time.Duration, q fleet.RateQuery, ids func() uint64) (n int) {
	for ; n < 10000; n++ {
		if a, _, _ := h.Handle(now, "caller", ids(), q); a.Verdict != fleet.RateAdmitted {
			return n
		}
	}
	return n
}

// byRank returns the names in their order for the workspace "w".
func byRank(names ...string) (order []string) {
	var list []Member
	for _, name := range names {
		list = append(list, present(name, 1))
	}
	sortByRank(list, "w")
	for _, m := range list {
		order = append(order, m.Name)
	}
	return order
}

// tenBurst is a rate whose bucket holds 10 + 0.2 x (0.1 x 60 + 20) = 15.2 requests.
var tenBurst = fleet.Rate{PerSecond: 10, Burst: 10}

// TestDoubledAskIsCountedOnce delivers copies of a query, some long after others and in another
// order. Each request must be counted once, and each copy get the same answer.
func TestDoubledAskIsCountedOnce(t *testing.T) {
	h := newTestHolder("a")
	first, _, _ := h.Handle(settled, "b", 1, ask(tenBurst, 1))
	h.Handle(settled, "b", 2, ask(tenBurst, 1))
	for range 100 {
		again, answered, _ := h.Handle(settled+time.Millisecond, "b", 1, ask(tenBurst, 1))
		assert.Assert(t, answered)
		assert.DeepEqual(t, again, first)
	}
	assert.Equal(t, h.admitAll(settled+2*time.Millisecond, ask(tenBurst, 1), newCounter()), 13)
}

// TestSameIDOfAnotherGatewayIsAnotherAsk lets two gateways use the same ID: the second one's
// request must be counted too.
func TestSameIDOfAnotherGatewayIsAnotherAsk(t *testing.T) {
	h := newTestHolder("a")
	h.Handle(settled, "b", 1, ask(tenBurst, 1))
	h.Handle(settled, "c", 1, ask(tenBurst, 1))
	assert.Equal(t, h.admitAll(settled, ask(tenBurst, 1), newCounter()), 13)
}

// TestDoubledReturnCountsOnce returns one admission several times: only one request more may
// be admitted.
func TestDoubledReturnCountsOnce(t *testing.T) {
	h := newTestHolder("a")
	ids := newCounter()
	h.Handle(settled, "b", 1, ask(tenBurst, 1))
	assert.Equal(t, h.admitAll(settled, ask(tenBurst, 1), ids), 14)
	for id := range uint64(5) {
		h.Handle(settled, "b", 100+id, fleet.RateQuery{Kind: fleet.RateReturn, AskID: 1})
	}
	assert.Equal(t, h.admitAll(settled, ask(tenBurst, 1), ids), 1)
}

// TestReturnBeforeItsAsk delivers a return before the ask that it takes back, whose asker has
// given up. The ask must not be counted.
func TestReturnBeforeItsAsk(t *testing.T) {
	h := newTestHolder("a")
	h.Handle(settled, "b", 2, fleet.RateQuery{Kind: fleet.RateReturn, AskID: 1})
	_, answered, _ := h.Handle(settled, "b", 1, ask(tenBurst, 1))
	assert.Assert(t, !answered)
	assert.Equal(t, h.admitAll(settled, ask(tenBurst, 1), newCounter()), 15)
}

// TestRestartedOwnerDoesNotGiveTheBurstAgain uses up a rate, and asks a new process of the same
// instance as soon as all others have confirmed it.
func TestRestartedOwnerDoesNotGiveTheBurstAgain(t *testing.T) {
	h := NewHolder(NewMembers("a", "a-1"), testBounds, 0, newCounter())
	h.keep(0, "a")
	ids := newCounter()
	assert.Equal(t, h.admitAll(0, ask(tenBurst, 1), ids), 0, "a new bucket is empty")
	assert.Equal(t, h.admitAll(time.Second, ask(tenBurst, 1), ids), 10, "it fills at the rate")
}

// TestJoiningGatewayWaitsForTheOthers lets a gateway join while another one does not answer. It
// may decide only once that one has confirmed, or must have read of it or stopped.
func TestJoiningGatewayWaitsForTheOthers(t *testing.T) {
	order := byRank("a", "b", "c")
	own, other := order[0], order[1]
	start := func() *Holder {
		h := NewHolder(NewMembers(own, own+"-1"), testBounds, 0, newCounter())
		h.keep(0, own, other)
		assert.DeepEqual(t, h.Unconfirmed(0), []string{other})
		return h
	}
	decides := func(h *Holder, now time.Duration) bool {
		h.keep(now, own, other)
		for id := range uint64(20) { // lets the attempt of a hand-over end
			a, _, _ := h.Handle(now, other, uint64(now)+id, ask(tenBurst, 1))
			now += 10 * time.Millisecond
			if a.Verdict == fleet.RateAdmitted || a.Verdict == fleet.RateExceeded {
				return true
			}
		}
		return false
	}
	h := start()
	assert.Assert(t, !decides(h, time.Second))
	h.Confirmed(2*time.Second, other, time.Second)
	assert.Assert(t, decides(h, 3*time.Second))
	h = start()
	for now := time.Second; now < testLease; now += time.Second {
		h.keep(now, own, other)
	}
	assert.Assert(t, !decides(h, testLease-time.Second))
	assert.Assert(t, decides(h, testLease+time.Second))
}

// TestBucketFillsSinceNobodyElseDecided lets a gateway join whose workspaces another one owned
// until a second ago. Its bucket may hold what came in since then, and no more.
func TestBucketFillsSinceNobodyElseDecided(t *testing.T) {
	order := byRank("a", "b", "c")
	own, other := order[0], order[1]
	h := NewHolder(NewMembers(own, own+"-1"), testBounds, 0, newCounter())
	h.keep(5*time.Second, own, other)
	h.Confirmed(6*time.Second, other, time.Second)
	ids := newCounter()
	now := 6 * time.Second
	a, answered, _ := h.Handle(now, "caller", ids(), ask(tenBurst, 1))
	for !answered { // until the attempt of a hand-over has ended
		now += takeInterval
		a, answered, _ = h.Handle(now, "caller", ids(), ask(tenBurst, 1))
	}
	assert.Equal(t, a.Verdict, fleet.RateAdmitted)
	assert.Equal(t, h.admitAll(now, ask(tenBurst, 1), ids), 9, "10 a second for 1.06 s, one of which was admitted before")
}

// TestConfirmingGatewayReadsFirst lets a gateway that has not joined confirm another one. It must
// not join by a read that began before, which may lack the other's record: both would decide.
func TestConfirmingGatewayReadsFirst(t *testing.T) {
	h := NewHolder(NewMembers("a", "a-1"), testBounds, 0, newCounter())
	h.Renewed(time.Second, time.Second, 1, testLease)
	a, answered, _ := h.Handle(2*time.Second, "b", 1, fleet.RateQuery{Kind: fleet.RateConfirm})
	assert.Assert(t, answered)
	assert.Equal(t, a.Verdict, fleet.RateConfirmed)
	h.Update(3*time.Second, 1500*time.Millisecond, []Member{present("a", 1)})
	assert.Assert(t, !h.acts(3*time.Second))
	h.Update(4*time.Second, 3500*time.Millisecond, []Member{present("a", 1), present("b", 2)})
	assert.Assert(t, h.acts(4*time.Second))
}

// TestActingGatewayDoesNotConfirmUnknown asks a gateway that decides whether it counts one of
// which it has not read: until it has, both might decide.
func TestActingGatewayDoesNotConfirmUnknown(t *testing.T) {
	h := newTestHolder("a", "b")
	_, answered, _ := h.Handle(settled, "c", 1, fleet.RateQuery{Kind: fleet.RateConfirm})
	assert.Assert(t, !answered)
	_, answered, _ = h.Handle(settled, "b", 2, fleet.RateQuery{Kind: fleet.RateConfirm})
	assert.Assert(t, answered)
}

// TestFrozenOwnerStops lets an owner wake after its lease, with an old view and a full bucket:
// another gateway may have taken its place.
func TestFrozenOwnerStops(t *testing.T) {
	h := newTestHolder("a")
	a, _, _ := h.Handle(settled+testLease-time.Millisecond, "b", 1, ask(tenBurst, 1))
	assert.Equal(t, a.Verdict, fleet.RateAdmitted)
	a, _, _ = h.Handle(settled+testLease, "b", 2, ask(tenBurst, 1))
	assert.Equal(t, a.Verdict, fleet.RateElsewhere)
	woken := settled + testLease + 100*time.Millisecond
	h.keep(woken, "a")
	h.keep(woken+100*time.Millisecond, "a")
	assert.Assert(t, h.admitAll(woken+100*time.Millisecond, ask(tenBurst, 1), newCounter()) <= 2, "the bucket fills anew since it stopped")
}

// TestUnconfirmedRenewalEndsTheLease lets an owner read the store but not write to it: others see
// no renewal and take its place.
func TestUnconfirmedRenewalEndsTheLease(t *testing.T) {
	h := newTestHolder("a")
	for at := settled; at <= settled+testLease; at += time.Second {
		h.Update(at, at, []Member{present("a", int64(settled)+1)})
	}
	assert.Assert(t, !h.acts(settled+testLease))
}

// TestAddedGatewayTakesTheBucket adds a gateway that becomes the owner. It must get what is left,
// no more and no less, however often the messages are repeated, and the one that gave must
// not admit any more.
func TestAddedGatewayTakesTheBucket(t *testing.T) {
	order := byRank("a", "b", "c")
	added, before := order[0], order[1]
	d := newTestHolder(before)
	ids := newCounter()
	for id := range uint64(5) {
		d.Handle(settled, "caller", id, ask(tenBurst, 1))
	}
	n := NewHolder(NewMembers(added, added+"-1"), testBounds, settled, newCounter())
	n.Renewed(settled, settled, 1, testLease)
	n.Update(settled, settled, []Member{present(added, 1), present(before, 2)})
	_, answered, take := n.Handle(settled, "caller", 1, ask(tenBurst, 1))
	assert.Assert(t, !answered && take != nil)
	assert.Equal(t, take.Address, before)
	given, answered, _ := d.Handle(settled, added, take.ID, take.Query)
	assert.Assert(t, answered)
	again, _, _ := d.Handle(settled, added, take.ID, take.Query)
	assert.DeepEqual(t, given, again)
	assert.Equal(t, d.admitAll(settled, ask(tenBurst, 1), ids), 0)
	for range 3 {
		n.Taken(settled, take.ID, given)
	}
	assert.Equal(t, n.admitAll(settled, ask(tenBurst, 1), ids), 10)
}

// TestUnusedBucketIsHandedOver adds a gateway for a workspace that has sent nothing yet: its first
// burst must not be refused.
func TestUnusedBucketIsHandedOver(t *testing.T) {
	order := byRank("a", "b", "c")
	d := newTestHolder(order[1])
	q := fleet.RateQuery{Kind: fleet.RateTake, Workspace: "w", PerSecond: tenBurst.PerSecond, Burst: tenBurst.Burst}
	a, _, _ := d.Handle(settled, order[0], 1, q)
	assert.Equal(t, a.Verdict, fleet.RateGiven)
	assert.Assert(t, a.Tokens >= 10)
	a, _, _ = d.Handle(settled, order[0], 2, q)
	assert.Equal(t, a.Verdict, fleet.RateNotHeld, "it is handed over once")
}

// TestLeavingGatewayHandsUnusedBucketsOver stops a gateway whose workspace had sent nothing for long.
// The next owner must get a full bucket, or it refuses the workspace's next burst.
func TestLeavingGatewayHandsUnusedBucketsOver(t *testing.T) {
	order := byRank("a", "b", "c")
	h := newTestHolder(order[0], order[1])
	h.Leave(settled)
	h.Update(settled+100*time.Millisecond, settled+100*time.Millisecond, []Member{present(order[1], int64(settled)+1)})
	q := fleet.RateQuery{Kind: fleet.RateTake, Workspace: "w", PerSecond: tenBurst.PerSecond, Burst: tenBurst.Burst}
	a, _, _ := h.Handle(settled+200*time.Millisecond, order[1], 1, q)
	assert.Equal(t, a.Verdict, fleet.RateGiven)
	assert.Assert(t, a.Tokens >= 10)
	a, _, _ = h.Handle(settled+200*time.Millisecond, order[1], 2, q)
	assert.Equal(t, a.Verdict, fleet.RateNotHeld)
}

// TestRemovalKeepsOtherBuckets removes a gateway that never owned the workspace, which has sent
// nothing yet. Its first burst must not be refused.
func TestRemovalKeepsOtherBuckets(t *testing.T) {
	order := byRank("a", "b", "c")
	h := newTestHolder(order[0], order[1])
	h.keep(settled+100*time.Millisecond, order[0])
	assert.Equal(t, h.admitAll(settled+100*time.Millisecond, ask(tenBurst, 1), newCounter()), 15)
}

// TestLoweredRateCutsTheBucket lowers a rate, and then delivers an ask of a gateway that knows the
// earlier version only: the newest version counts.
func TestLoweredRateCutsTheBucket(t *testing.T) {
	h := newTestHolder("a")
	lower := fleet.Rate{PerSecond: 1, Burst: 2}
	h.Handle(settled, "b", 1, ask(tenBurst, 1))
	h.Handle(settled, "b", 2, ask(lower, 2))
	assert.Equal(t, h.admitAll(settled, ask(tenBurst, 1), newCounter()), 5, "2 + 0.2 x (0.1 x 7 + 20) = 6.14, of which one was taken")
}

// TestDeputyAdmitsFromTheTolerance asks a deputy: without the owner's silence it refers to the owner,
// otherwise it admits its part in any window and no more.
func TestDeputyAdmitsFromTheTolerance(t *testing.T) {
	order := byRank("a", "b", "c")
	h := newTestHolder(order[1], order[0], order[2])
	a, _, _ := h.Handle(settled, "x", 1, ask(tenBurst, 1))
	assert.DeepEqual(t, a, fleet.RateAnswer{Verdict: fleet.RateElsewhere, Owner: order[0]})
	q := ask(tenBurst, 1)
	q.Deputy = true
	ids := newCounter()
	assert.Equal(t, h.admitAll(settled, q, ids), 6, "a quarter of 0.1 x 60 + 20 = 26")
	assert.Equal(t, h.admitAll(settled+testBounds.Window-time.Millisecond, q, ids), 0)
	assert.Equal(t, h.admitAll(settled+testBounds.Window, q, ids), 6)
}

// TestNewProcessToleratesNothing asks a deputy that has just been started: the process before it may
// have spent the tolerance of this window.
func TestNewProcessToleratesNothing(t *testing.T) {
	order := byRank("a", "b", "c")
	h := newTestHolder(order[1], order[0], order[2])
	h.began = settled - testBounds.Window + time.Millisecond
	q := ask(tenBurst, 1)
	q.Deputy = true
	assert.Equal(t, h.admitAll(settled, q, newCounter()), 0)
}

// TestRefusedCallersComeBackOneByOne refuses a wave. The callers must not be told to come back
// at the same time: each has its turn when a token is there for it.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	h := newTestHolder("a")
	ids := newCounter()
	h.admitAll(settled, ask(tenBurst, 1), ids)
	for i := 1; i <= 200; i++ {
		a, _, _ := h.Handle(settled, "b", ids(), ask(tenBurst, 1))
		assert.Equal(t, a.Verdict, fleet.RateExceeded)
		assert.Assert(t, a.RetryAfter <= testBounds.Window)
		due := 80*time.Millisecond + time.Duration(i)*100*time.Millisecond // 0.2 tokens were left, and one was refused before
		if due < testBounds.Window {
			assert.Assert(t, (a.RetryAfter-due).Abs() < time.Millisecond, "%d: %v, %v", i, a.RetryAfter, due)
		}
	}
}

// TestBadRates asks with rates that mean nothing, and with members that have bad weights: nothing
// may break, and such a rate limits nothing.
func TestBadRates(t *testing.T) {
	h := newTestHolder("a")
	for _, r := range []fleet.Rate{{PerSecond: -1}, {PerSecond: math.NaN()}, {PerSecond: 1e18}, {PerSecond: math.Inf(1), Burst: math.Inf(1)}} {
		assert.Equal(t, h.admitAll(settled, ask(r, 1), newCounter()), 10000)
	}
	for _, burst := range []float64{-5, math.NaN()} {
		n := h.admitAll(settled, fleet.RateQuery{Kind: fleet.RateAsk, Workspace: "burst", PerSecond: 1, Burst: burst}, newCounter())
		assert.Assert(t, n <= 5)
	}
	m := present("b", 1)
	m.Weight, m.Lease = math.NaN(), -time.Second
	h.Update(settled, settled, []Member{present("a", int64(settled)+1), m})
	h.Order("w")
}

// TestOwnersFollowWeights counts the workspaces of gateways that differ tenfold in size.
func TestOwnersFollowWeights(t *testing.T) {
	large, small := present("large", 1), present("small", 1)
	large.Weight, small.Weight = 1, 0.1
	counts := map[string]int{}
	for _, w := range workspaceNames(11000) {
		list := []Member{small, large}
		sortByRank(list, w)
		counts[list[0].Name]++
	}
	assert.Assert(t, counts["small"] > 850 && counts["small"] < 1150, "%v", counts)
}
