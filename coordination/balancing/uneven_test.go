package balancing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
	"github.com/sycamoretally/sycamoretally/coordination/capacity"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// The play below is of streams at targets of unequal speed. A stream reads its prompt and then
// sends events; with each further stream a target takes longer for both, and streams beyond
// its slots wait.
const (
	tick         = time.Millisecond
	promptTime   = 20 * time.Millisecond
	eventTime    = 10 * time.Millisecond
	streamEvents = 24
	perStream    = 0.15
	unevenSlots  = 8
	objective    = 300 * time.Millisecond
	eventGap     = 400 * time.Millisecond
	reportEvery  = 25 * time.Millisecond
)

// playedStream is a stream at a target.
type playedStream struct {
	begun   time.Time
	running int
	first   time.Time
	last    time.Time
	events  int
	// left is the work until the next event, at the speed of an idle target.
	left time.Duration
	end  func()
}

// playedTarget is a target with the batcher beside it.
type playedTarget struct {
	speed   float64
	streams []*playedStream
	online  batchlimit.OnlineCounter
	learner capacity.Learner
}

// unevenPlay is one play of streams at targets.
type unevenPlay struct {
	learned bool
	// perSecond is the mean number of new streams. waves makes it 1.85 times as high for 2.2
	// of 5.2 seconds, and lower for the others.
	perSecond float64
	waves     bool
	// slowed returns the factor by which a target is slower at a time.
	slowed func(target int, at time.Duration) float64
	// deaf returns whether no batcher answers at a time.
	deaf func(at time.Duration) bool

	now       time.Time
	rng       *rand.Rand
	list      []*fleet.Target
	targets   map[string]*playedTarget
	gateways  []*balancing.Balancer
	firsts    []time.Duration
	longGaps  int
	durations []time.Duration
}

// play runs streams for 21 s and lets them end. A quarter of the targets is slow.
func (p *unevenPlay) play() *unevenPlay {
	p.now, p.rng, p.list, p.targets = time.Unix(1000, 0), rand.New(rand.NewPCG(7, 7)), targets(16), map[string]*playedTarget{}
	for i, target := range p.list {
		speed := 1.2
		if i%4 == 0 {
			speed = 0.55
		}
		target.Slots = unevenSlots
		p.targets[target.ID] = &playedTarget{speed: speed, online: batchlimit.OnlineCounter{Window: 2 * reportEvery}}
	}
	for range 12 {
		p.gateways = append(p.gateways, balancing.New(func() time.Time { return p.now }, p.rng.Float64))
	}
	for at := time.Duration(0); at < 24*time.Second; at += tick {
		p.now = p.now.Add(tick)
		if at < 21*time.Second && p.rng.Float64() < p.rate(at)*tick.Seconds() {
			p.begin(at)
		}
		for i, target := range p.list {
			p.work(i, p.targets[target.ID], at)
		}
	}
	slices.Sort(p.firsts)
	slices.Sort(p.durations)
	return p
}

func (p *unevenPlay) rate(at time.Duration) float64 {
	const period, high = 5200 * time.Millisecond, 2200 * time.Millisecond
	switch {
	case !p.waves:
		return p.perSecond
	case at%period < high:
		return p.perSecond * 1.85
	default:
		return p.perSecond * (period.Seconds() - 1.85*high.Seconds()) / (period - high).Seconds()
	}
}

// begin begins a stream at a gateway drawn at random.
func (p *unevenPlay) begin(at time.Duration) {
	balancer := p.gateways[p.rng.IntN(len(p.gateways))]
	candidates := balancer.Candidates(p.list, nil, 3, noConnection)
	var answers []fleet.PeerLoad
	for _, c := range candidates {
		if p.deaf == nil || !p.deaf(at) {
			answers = append(answers, p.answer(c))
		}
	}
	choice, found := balancer.BeginProbed(candidates, answers)
	if !found {
		choice, _ = balancer.Begin(p.list, nil)
	}
	target := p.targets[choice.Target.ID]
	target.online.Announce(p.now)
	target.streams = append(target.streams, &playedStream{begun: p.now, running: len(target.streams) + 1, left: promptTime, end: func() { balancer.End(choice.Target) }})
}

// answer returns what the batcher beside the target answers.
func (p *unevenPlay) answer(target *fleet.Target) fleet.PeerLoad {
	t := p.targets[target.ID]
	load := fleet.PeerLoad{Target: target.ID, Online: t.online.Count(p.now)}
	if !p.learned {
		return load
	}
	estimate := t.learner.Estimate(p.now, unevenSlots, capacity.Need{FirstEvent: objective, EventGap: eventGap})
	if estimate.Reason != capacity.ReasonUnknown {
		expected := t.learner.Expect(load.Online+1, unevenSlots)
		load.Capacity = estimate.Requests
		load.FirstEventMicros, load.StepMicros = expected.FirstEvent.Microseconds(), expected.Step.Microseconds()
	}
	return load
}

// work lets the target work for one tick.
func (p *unevenPlay) work(index int, t *playedTarget, at time.Duration) {
	if at%reportEvery == 0 {
		t.online.SetReported(len(t.streams))
	}
	running := min(len(t.streams), unevenSlots)
	speed := t.speed / (1 + perStream*float64(running-1))
	if p.slowed != nil {
		speed /= p.slowed(index, at)
	}
	for _, s := range t.streams[:running] {
		if s.left -= time.Duration(speed * float64(tick)); s.left <= 0 {
			s.left = eventTime
			p.event(t, s)
		}
	}
	t.streams = slices.DeleteFunc(t.streams, func(s *playedStream) bool {
		if s.events < streamEvents {
			return false
		}
		s.end()
		p.durations = append(p.durations, p.now.Sub(s.begun))
		t.learner.Observe(capacity.Observation{At: p.now, Running: s.running, Step: s.last.Sub(s.first) / (streamEvents - 1)}, unevenSlots)
		return true
	})
}

func (p *unevenPlay) event(t *playedTarget, s *playedStream) {
	if s.events == 0 {
		s.first = p.now
		t.learner.Observe(capacity.Observation{At: p.now, Running: s.running, FirstEvent: s.first.Sub(s.begun)}, unevenSlots)
		p.firsts = append(p.firsts, p.now.Sub(s.begun))
	} else if p.now.Sub(s.last) > eventGap {
		p.longGaps++
	}
	s.last = p.now
	s.events++
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// compareUneven plays with and without what batchers learn. With it, 99 in 100 first events
// must come within the objective and no pause may be too long, and the slowest in a hundred
// must begin and end sooner than by the number of online requests alone.
func compareUneven(t *testing.T, p unevenPlay) {
	t.Helper()
	without, with := p, p
	with.learned = true
	without.play()
	with.play()
	t.Logf("p99 to the first event %v, by counts %v; mean to the end %v, by counts %v; p99 to the end %v, by counts %v", quantile(with.firsts, 0.99), quantile(without.firsts, 0.99),
		mean(with.durations), mean(without.durations), quantile(with.durations, 0.99), quantile(without.durations, 0.99))
	assert.Equal(t, len(with.firsts), len(without.firsts))
	assert.Assert(t, quantile(with.firsts, 0.99) <= objective)
	assert.Equal(t, with.longGaps, 0)
	assert.Assert(t, quantile(with.firsts, 0.99) < quantile(without.firsts, 0.99), "first events come later than by counts")
	assert.Assert(t, quantile(with.durations, 0.99) < quantile(without.durations, 0.99), "the slowest streams end later than by counts")
}

const meanPerSecond = 110

// TestTwoSpeedsUnderWaves plays waves of 1.85 times the mean at targets of which a quarter has
// less than half the speed of the others: counts send as many streams to the slow ones.
func TestTwoSpeedsUnderWaves(t *testing.T) {
	compareUneven(t, unevenPlay{perSecond: meanPerSecond, waves: true})
}

// TestNeighboursNoise plays targets that neighbours make 2.5 times slower for 0.6 s at a time.
func TestNeighboursNoise(t *testing.T) {
	compareUneven(t, unevenPlay{perSecond: meanPerSecond, waves: true, slowed: func(target int, at time.Duration) float64 {
		if (at+time.Duration(target)*700*time.Millisecond)%(4*time.Second) < 600*time.Millisecond {
			return 2.5
		}
		return 1
	}})
}

// TestHalfSpeedFromOneSecondToTheNext plays targets of which a third takes twice as long from
// the seventh second on, and recovers in the fourteenth.
func TestHalfSpeedFromOneSecondToTheNext(t *testing.T) {
	compareUneven(t, unevenPlay{perSecond: meanPerSecond, slowed: func(target int, at time.Duration) float64 {
		if target%3 == 1 && at > 7*time.Second && at < 14*time.Second {
			return 2
		}
		return 1
	}})
}

// TestSlowStartBeforeWave starts all targets before a wave, half of them 2.5 times slower
// for two seconds: nothing is known of any. The slow half does not leave room for more streams.
func TestSlowStartBeforeWave(t *testing.T) {
	compareUneven(t, unevenPlay{perSecond: 0.75 * meanPerSecond, waves: true, slowed: func(target int, at time.Duration) float64 {
		if target%2 == 1 && at < 2*time.Second {
			return 2.5
		}
		return 1
	}})
}

// TestNoAnswersForASecond plays gateways that hear no batcher for one second in four: they
// must do as well as without learned figures meanwhile.
func TestNoAnswersForASecond(t *testing.T) {
	compareUneven(t, unevenPlay{perSecond: meanPerSecond, waves: true, deaf: func(at time.Duration) bool { return at%(4*time.Second) > 3*time.Second }})
}

// TestStreamsSpareRunningItems offers a target with few online requests whose other slots are
// taken by items, and one with more online requests and a free slot: the stream must go where
// it cuts no run, unless that target takes no more requests well.
func TestStreamsSpareRunningItems(t *testing.T) {
	balancer, _ := newBalancer()
	list := targets(2)
	full := fleet.PeerLoad{Target: "t0", Online: 1, Items: 7, Capacity: 8, FirstEventMicros: 65_000, StepMicros: 18_000}
	free := fleet.PeerLoad{Target: "t1", Online: 3, Capacity: 8, FirstEventMicros: 40_000, StepMicros: 18_000}
	choice, _ := balancer.BeginProbed(list, []fleet.PeerLoad{full, free})
	assert.Equal(t, choice.Target.ID, "t1")
	assert.Equal(t, choice.Room, 5)
	free.Capacity = 3
	choice, _ = balancer.BeginProbed(list, []fleet.PeerLoad{full, free})
	assert.Equal(t, choice.Target.ID, "t0")
}

// TestNearTargetWinsWhereAsGood offers a target of the gateway's own data centre and one of
// another: what a stream sends between data centres must be worth it.
func TestNearTargetWinsWhereAsGood(t *testing.T) {
	balancer, _ := newBalancer()
	balancer.SetDataCentre("dc1")
	far, near := &fleet.Target{ID: "far", DataCentre: "dc2"}, &fleet.Target{ID: "near", DataCentre: "dc1"}
	choose := func(farStep int64) string {
		choice, _ := balancer.BeginProbed([]*fleet.Target{far, near}, []fleet.PeerLoad{
			{Target: "far", Online: 2, Capacity: 8, FirstEventMicros: 40_000, StepMicros: farStep},
			{Target: "near", Online: 2, Capacity: 8, FirstEventMicros: 40_000, StepMicros: 18_000},
		})
		return choice.Target.ID
	}
	assert.Equal(t, choose(18_000), "near")
	assert.Equal(t, choose(9_000), "far")
}
