package claims_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	tick         = 5 * time.Millisecond
	pollInterval = 25 * time.Millisecond
	readInterval = 300 * time.Millisecond
	// appendTime is the time that the store takes for one append, callTime the time of the
	// call besides.
	appendTime = 2 * time.Millisecond
	callTime   = 6 * time.Millisecond
	itemsInJob = 10
)

// load describes the traffic of a simulated fleet.
type load struct {
	batchers, slots int
	jobsPerSecond   float64
	// itemTime is the time that an item runs.
	itemTime time.Duration
	duration time.Duration
}

// sharedLog is a log with one partition, whose appends run one after the other.
type sharedLog struct {
	records   []fleet.Record
	visibleAt []time.Time
	busyUntil time.Time
	appends   int
}

// append adds records and returns when the append is answered.
func (l *sharedLog) append(now time.Time, records ...fleet.Record) time.Time {
	begin := now.Add(callTime / 2)
	if begin.Before(l.busyUntil) {
		begin = l.busyUntil
	}
	l.busyUntil = begin.Add(appendTime)
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
		l.visibleAt = append(l.visibleAt, l.busyUntil)
	}
	l.appends++
	return l.busyUntil.Add(callTime / 2)
}

// simulatedBatcher claims and runs items as a batcher does.
type simulatedBatcher struct {
	writer             *worklog.Writer
	fold               *worklog.Fold
	next               int
	nextRead, nextPoll time.Time
	claimed            []worklog.ClaimedItem
	claimAnswered      time.Time
	running            map[worklog.ItemRef]time.Time
}

// read applies the records that are visible.
func (b *simulatedBatcher) read(now time.Time, l *sharedLog) {
	end := b.next
	for end < len(l.records) && !l.visibleAt[end].After(now) {
		end++
	}
	b.fold.Apply(now, l.records[b.next:end])
	b.next = end
}

// outcome is what a simulated fleet has done.
type outcome struct {
	won, lost, accepted int
	appends             int
	// waits holds the time from the accept to the claim of each claimed item.
	waits []time.Duration
}

func (o *outcome) wait(share float64) time.Duration {
	slices.Sort(o.waits)
	return o.waits[int(share*float64(len(o.waits)-1))]
}

// simulate plays the load in virtual time.
func simulate(t *testing.T, p load) outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	l := &sharedLog{}
	var out outcome
	record := func(w *worklog.Writer, e worklog.Entry) fleet.Record {
		r, err := w.Record(e)
		assert.NilError(t, err)
		return r
	}
	var batchers []*simulatedBatcher
	for i := range p.batchers {
		batchers = append(batchers, &simulatedBatcher{
			writer: worklog.NewWriter(fmt.Sprint("b", i)), fold: worklog.NewFold(), running: map[worklog.ItemRef]time.Time{},
			nextRead: start.Add(time.Duration(rng.Int64N(int64(readInterval)))), nextPoll: start.Add(time.Duration(rng.Int64N(int64(pollInterval)))),
		})
	}
	acceptedAt := map[string]time.Time{}
	gateway := worklog.NewWriter("gateway")
	for now := start; now.Before(start.Add(p.duration)); now = now.Add(tick) {
		if rng.Float64() < p.jobsPerSecond*tick.Seconds() {
			job := fleet.Job{ID: fmt.Sprint("job", len(acceptedAt))}
			for i := range itemsInJob {
				job.Items = append(job.Items, fleet.Item{ID: fmt.Sprint(i)})
			}
			acceptedAt[job.ID] = now
			out.accepted += itemsInJob
			l.append(now, record(gateway, worklog.Entry{Accept: &worklog.Accept{Job: job}}))
		}
		for _, b := range batchers {
			b.step(now, l, p, rng, record, acceptedAt, &out)
		}
	}
	out.appends = l.appends
	return out
}

// step lets a batcher end items, read its claim back, and claim further items.
func (b *simulatedBatcher) step(now time.Time, l *sharedLog, p load, rng *rand.Rand, record func(*worklog.Writer, worklog.Entry) fleet.Record, acceptedAt map[string]time.Time, out *outcome) {
	for ref, end := range b.running {
		if !now.Before(end) {
			delete(b.running, ref)
			l.append(now, record(b.writer, worklog.Entry{Done: &worklog.Done{Job: ref.Job, Item: ref.Item}}))
		}
	}
	if len(b.claimed) > 0 && !now.Before(b.claimAnswered) {
		b.read(now, l)
		for _, c := range b.claimed {
			if b.fold.Item(c.ItemRef).Holder != b.writer.Name() {
				out.lost++
				continue
			}
			out.won++
			out.waits = append(out.waits, now.Sub(acceptedAt[c.Job]))
			b.running[c.ItemRef] = now.Add(p.itemTime)
		}
		b.claimed = nil
	}
	if !now.Before(b.nextRead) {
		b.nextRead = now.Add(readInterval)
		b.read(now, l)
	}
	if now.Before(b.nextPoll) || len(b.claimed) > 0 {
		return
	}
	b.nextPoll = now.Add(pollInterval)
	room := p.slots - len(b.running)
	params := params(now)
	params.Self, params.Shuffle = b.writer.Name(), rng.Shuffle
	b.claimed = claims.Choose(params, b.fold, room, room)
	if len(b.claimed) > 0 {
		b.claimAnswered = l.append(now, record(b.writer, worklog.Entry{Claim: &worklog.Claim{Items: b.claimed}}))
	}
}

// TestFewClaimsConflict replays the batch load of a fleet of 144 targets, on a log that
// takes one append in 2 ms: half of the slots free, few slots free, and a small fleet.
// All batchers see a new item at their next read. If each may claim it at once, most
// claims are lost to another batcher, and their appends take the log's time from the
// results. Three of four claims must be won, and items must not wait for long.
func TestFewClaimsConflict(t *testing.T) {
	for name, test := range map[string]struct {
		load
		maxWait time.Duration
	}{
		"free slots":  {load{batchers: 144, slots: 4, jobsPerSecond: 9.5, itemTime: 2 * time.Second, duration: 8 * time.Second}, 2 * time.Second},
		"full slots":  {load{batchers: 144, slots: 1, jobsPerSecond: 14, itemTime: time.Second, duration: 8 * time.Second}, 3 * time.Second},
		"small fleet": {load{batchers: 12, slots: 4, jobsPerSecond: 1, itemTime: 2 * time.Second, duration: 20 * time.Second}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			out := simulate(t, test.load)
			t.Logf("%d items accepted, %d claims won, %d lost, %d appends, median wait %v, longest %v", out.accepted, out.won, out.lost, out.appends, out.wait(0.5), out.wait(1))
			assert.Assert(t, out.won >= 3*out.lost, "%d claims won, %d lost", out.won, out.lost)
			assert.Assert(t, out.wait(0.99) <= test.maxWait, "%v", out.wait(0.99))
		})
	}
}
