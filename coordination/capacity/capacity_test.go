package capacity_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/capacity"
)

const slots = 8

var need = capacity.Need{FirstEvent: 300 * time.Millisecond, EventGap: 400 * time.Millisecond}

// play is a target that is observed at a steady rate. pace is its time to the first event
// with one request, which grows with each further one; its step is a tenth of that.
type play struct {
	learner capacity.Learner
	now     time.Time
	pace    time.Duration
	// perRequest is the share by which each further request slows the target.
	perRequest float64
}

func newPlay() *play {
	return &play{now: time.Unix(1000, 0), pace: 20 * time.Millisecond}
}

// observe adds an observation with the given number running.
func (p *play) observe(running int) {
	first := time.Duration(float64(p.pace) * (1 + p.perRequest*float64(running-1)))
	p.learner.Observe(capacity.Observation{At: p.now, Running: running, FirstEvent: first, Step: first / 10}, slots)
}

// run observes the target five times a second for the given time, with the running numbers
// in turn.
func (p *play) run(d time.Duration, running ...int) {
	for i := 0; time.Duration(i)*200*time.Millisecond < d; i++ {
		p.now = p.now.Add(200 * time.Millisecond)
		p.observe(running[i%len(running)])
	}
}

func (p *play) requests() int { return p.learner.Estimate(p.now, slots, need).Requests }

// TestOneSlowRequestIsNoEvidence lets one request take fifty times as long, as when its
// packets were lost: neither the limit nor the expected times may change by it.
func TestOneSlowRequestIsNoEvidence(t *testing.T) {
	p := newPlay()
	p.observe(1)
	p.learner.Observe(capacity.Observation{At: p.now, Running: 1, FirstEvent: 5 * time.Second, Step: 5 * time.Second}, slots)
	assert.Equal(t, p.requests(), slots, "one slow of the first two requests")
	p.run(2*time.Second, 2)
	before := p.learner.Expect(2, slots)
	p.learner.Observe(capacity.Observation{At: p.now, Running: 2, FirstEvent: 5 * time.Second, Step: 5 * time.Second}, slots)
	p.observe(2)
	assert.Equal(t, p.requests(), slots)
	after := p.learner.Expect(2, slots)
	assert.Assert(t, after.FirstEvent < before.FirstEvent*5/4, "%v after %v", after, before)
}

// TestLimitFallsAndRecovers makes a target nine times slower from one second to the next, and
// quick again: the learned number must follow within two seconds both times.
func TestLimitFallsAndRecovers(t *testing.T) {
	p := newPlay()
	p.run(3*time.Second, 4)
	assert.Equal(t, p.requests(), slots)
	p.pace *= 9
	p.run(2*time.Second, 4)
	slow := p.learner.Estimate(p.now, slots, need)
	assert.Assert(t, slow.Requests < slots)
	assert.Equal(t, slow.Reason, capacity.ReasonFirstEvent)
	assert.Assert(t, p.now.Sub(slow.ObservedAt) < time.Second)
	p.pace /= 9
	p.run(2*time.Second, 4)
	assert.Equal(t, p.requests(), slots)
}

// TestHalfSpeedIsSeenWithinTwoSeconds makes a target take twice as long: what one more
// request should expect must show it within two seconds, although its limit holds.
func TestHalfSpeedIsSeenWithinTwoSeconds(t *testing.T) {
	p := newPlay()
	p.run(3*time.Second, 2)
	before := p.learner.Expect(2, slots).Step
	p.pace *= 2
	p.run(2*time.Second, 2)
	assert.Assert(t, p.learner.Expect(2, slots).Step >= before*9/5)
	p.pace /= 2
	p.run(2*time.Second, 2)
	assert.Assert(t, p.learner.Expect(2, slots).Step <= before*6/5)
}

// TestSlowLongBeforeFull observes a target that takes three requests well and is far too slow
// with six, while load goes up and down: the limit must be below six, and never zero.
func TestSlowLongBeforeFull(t *testing.T) {
	p := newPlay()
	p.pace, p.perRequest = 40*time.Millisecond, 1.2
	p.run(30*time.Second, 1, 1, 1, 3, 6, 6)
	limit := p.requests()
	assert.Assert(t, limit >= 2 && limit < 6, "limit %d", limit)
}

// TestLimitDoesNotDriftUnderLowLoad observes a target for ten minutes under one request at a
// time: since nothing shows what more of them would do, its own slots hold.
func TestLimitDoesNotDriftUnderLowLoad(t *testing.T) {
	p := newPlay()
	p.perRequest = 1
	for range 10 {
		p.run(time.Minute, 1)
		assert.Equal(t, p.requests(), slots)
	}
}

// TestLimitNeverReachesZero makes a target so slow that not even one request meets its need:
// it must keep one, since nothing else can show that it has recovered.
func TestLimitNeverReachesZero(t *testing.T) {
	p := newPlay()
	p.pace = 20 * time.Second
	p.run(2*time.Second, 1)
	assert.Equal(t, p.requests(), 1)
	p.learner.Reset()
	assert.Equal(t, p.requests(), slots, "another incarnation")
}

// TestOldEstimateDoesNotLimit lets a limit become a minute old, as at a target that gets no
// more requests because of it: it must get some again.
func TestOldEstimateDoesNotLimit(t *testing.T) {
	p := newPlay()
	p.pace = time.Second
	p.run(2*time.Second, 2)
	assert.Equal(t, p.requests(), 1)
	p.now = p.now.Add(time.Minute)
	estimate := p.learner.Estimate(p.now, slots, need)
	assert.Equal(t, estimate.Requests, slots)
	assert.Equal(t, estimate.Reason, capacity.ReasonUnknown)
	assert.Equal(t, estimate.ChangedAt, p.now)
}

// TestNeedsOfSeveralRoutes checks that the strictest need holds, and that a route without one
// takes nothing away.
func TestNeedsOfSeveralRoutes(t *testing.T) {
	strict := capacity.Need{}.And(capacity.Need{FirstEvent: 2, EventGap: 3}).And(capacity.Need{EventGap: 1}).And(capacity.Need{FirstEvent: 5})
	assert.Equal(t, strict, capacity.Need{FirstEvent: 2, EventGap: 1})
}

// TestGreyTarget fails half of a target's requests while its health is good: it must get one
// request at a time, and be trusted again after a few that it has served. Two failures, or one
// in four, are no evidence.
func TestGreyTarget(t *testing.T) {
	p := newPlay()
	end := func(failed ...bool) {
		for _, f := range failed {
			p.now = p.now.Add(200 * time.Millisecond)
			p.learner.Observe(capacity.Observation{At: p.now, Running: 1, Ended: true, Failed: f}, slots)
		}
	}
	end(true, true)
	assert.Equal(t, p.requests(), slots, "two failures")
	p.now = p.now.Add(3 * time.Second)
	end(false, false, false, true, false, false, true, false, false)
	assert.Equal(t, p.requests(), slots, "one in four")
	end(true, false, true, true, true, true)
	estimate := p.learner.Estimate(p.now, slots, need)
	assert.Equal(t, estimate.Requests, 1)
	assert.Equal(t, estimate.Reason, capacity.ReasonFailures)
	end(false, false)
	assert.Equal(t, p.requests(), 1, "two successes")
	end(false)
	assert.Equal(t, p.requests(), slots, "three successes")
}

// TestConnectionsThatBreakAtOnce breaks all streams of a target at one moment, as when a link
// or a gateway loses its connections: the target must not be judged by it.
func TestConnectionsThatBreakAtOnce(t *testing.T) {
	p := newPlay()
	for range 8 {
		p.now = p.now.Add(10 * time.Millisecond)
		p.learner.Observe(capacity.Observation{At: p.now, Running: 8, Ended: true, Failed: true}, slots)
	}
	assert.Equal(t, p.requests(), slots)
}
