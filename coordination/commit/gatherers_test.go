package commit_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/commit"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const stream = "work"

// cluster holds the entries of one data centre, which append to one log.
type cluster struct {
	log       *logservice.Service
	instances []backend.Instance
	writers   map[string]*commit.Writer
	// forwarded counts the calls that asked an entry to append.
	forwarded atomic.Int64

	mu sync.Mutex
	// fail holds the errors with which calls fail, by peer address.
	fail map[string]error
	// loseAnswers is set if the answers to calls get lost after the append.
	loseAnswers bool
}

func newCluster(n int, gather bool, params logservice.Params) *cluster {
	c := &cluster{log: logservice.New(params), writers: map[string]*commit.Writer{}, fail: map[string]error{}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		c.instances = append(c.instances, backend.Instance{Name: name, Peer: name, Role: backend.RoleEntry, DataCentre: "dc"})
		g := &commit.Gatherers{Self: name, DataCentre: "dc", Stream: stream, Entries: func() []backend.Instance { return c.instances }, Call: c.call}
		p := commit.Params{Stream: stream, Log: c.log}
		if gather {
			p.Forward = g.Forward
		}
		c.writers[name] = commit.New(p)
	}
	return c
}

func (c *cluster) call(ctx context.Context, addr string, args protocol.GatherArgs) (protocol.GatherReply, error) {
	c.mu.Lock()
	err, lost := c.fail[addr], c.loseAnswers
	c.mu.Unlock()
	if err != nil {
		return protocol.GatherReply{}, err
	}
	records, err := protocol.DecodeBatch(args.Data)
	if err != nil {
		return protocol.GatherReply{}, err
	}
	c.forwarded.Add(1)
	last, err := c.writers[addr].AppendLocal(ctx, records...)
	if lost {
		return protocol.GatherReply{}, protocol.ErrTimeout.New("answer lost")
	}
	return protocol.GatherReply{Last: last, Problem: protocol.ProblemOf(err)}, nil
}

// run starts the writers and stops them at the end of the test.
func (c *cluster) run(tb testing.TB) {
	ctx, cancel := context.WithCancel(tb.Context())
	var group sync.WaitGroup
	for _, w := range c.writers {
		group.Go(func() { _ = w.Run(ctx) })
	}
	tb.Cleanup(func() { cancel(); group.Wait() })
}

// logged returns the positions of each record in the log.
func (c *cluster) logged(tb testing.TB) map[string][]protocol.Position {
	all := map[string][]protocol.Position{}
	page, err := c.log.Read(tb.Context(), stream, 0, backend.PageLimit, 0)
	assert.NilError(tb, err)
	for _, e := range page.Entries {
		records, err := protocol.DecodeBatch(e.Data)
		assert.NilError(tb, err)
		for i, r := range records {
			all[r.ID] = append(all[r.ID], protocol.PositionAt(e.Offset, i))
		}
	}
	return all
}

// appendAll appends records at every entry concurrently, and returns the positions
// that Append returned.
func (c *cluster) appendAll(tb testing.TB) *sync.Map {
	var returned sync.Map
	var group sync.WaitGroup
	for name, w := range c.writers {
		for i := range 5 {
			group.Go(func() {
				first := protocol.Record{ID: fmt.Sprintf("%s-%d-a", name, i), Cancel: &protocol.JobCancel{Job: "j"}}
				last := protocol.Record{ID: fmt.Sprintf("%s-%d-b", name, i), Cancel: &protocol.JobCancel{Job: "j"}}
				pos, err := w.Append(tb.Context(), first, last)
				assert.Check(tb, err == nil, "%v", err)
				returned.Store(last.ID, pos)
			})
		}
	}
	group.Wait()
	return &returned
}

// TestForwardedRecords checks that every record reaches the log, whether or not
// the gatherers are reachable, at the position that Append returned.
func TestForwardedRecords(t *testing.T) {
	notSent := protocol.ErrNotSent.New("refused")
	tests := map[string]struct {
		entries int
		// unreachable is the number of entries to which calls fail.
		unreachable int
		loseAnswers bool
		forwards    bool
		duplicates  bool
	}{
		"few entries append themselves": {entries: commit.MinEntries - 1},
		"one gathers":                   {entries: 12, forwards: true},
		"none can be reached":           {entries: 12, unreachable: 12},
		"answers are lost":              {entries: 12, loseAnswers: true, forwards: true, duplicates: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(test.entries, true, logservice.Params{})
			c.loseAnswers = test.loseAnswers
			for _, i := range c.instances[:test.unreachable] {
				c.fail[i.Peer] = notSent
			}
			c.run(t)
			returned := c.appendAll(t)
			logged := c.logged(t)
			assert.Equal(t, len(logged), test.entries*5*2)
			assert.Equal(t, c.forwarded.Load() > 0, test.forwards)
			for id, positions := range logged {
				assert.Assert(t, len(positions) == 1 || test.duplicates, "record %s is at %v", id, positions)
				if pos, ok := returned.Load(id); ok {
					assert.Equal(t, pos.(protocol.Position), positions[len(positions)-1])
				}
			}
		})
	}
}

// TestNextGathererIsTried checks that records are forwarded to another entry if the
// first gatherer is unreachable.
func TestNextGathererIsTried(t *testing.T) {
	c := newCluster(12, true, logservice.Params{})
	c.run(t)
	c.appendAll(t)
	count, _ := c.log.Appends()
	for _, i := range c.instances {
		c.fail = map[string]error{i.Peer: protocol.ErrNotSent.New("refused")}
		before := c.forwarded.Load()
		c.appendAll(t)
		assert.Assert(t, c.forwarded.Load() > before, "no records were forwarded without %s", i.Name)
	}
	assert.Assert(t, count < 12*5, "%d appends", count)
}

// TestLostForwardThenOutage checks that Append reports an unknown outcome if a
// gatherer may have appended the records and the log then refuses them.
func TestLostForwardThenOutage(t *testing.T) {
	c := newCluster(12, true, logservice.Params{})
	for _, i := range c.instances {
		c.fail[i.Peer] = protocol.ErrTimeout.New("no answer")
	}
	c.run(t)
	c.log.SetFaults(logservice.Faults{Outage: true})
	kinds := map[bool]int{}
	for _, w := range c.writers {
		_, err := w.Append(t.Context(), protocol.Record{ID: "x", Cancel: &protocol.JobCancel{Job: "j"}})
		lost := errorx.IsOfType(err, protocol.ErrAnswerLost)
		assert.Assert(t, lost || errorx.IsOfType(err, protocol.ErrLogUnavailable), "%v", err)
		kinds[lost]++
	}
	assert.Equal(t, kinds[true], 12-commit.GatherersPerDataCentre)
}

// TestOversizedRecordIsNoLostAnswer guards against a record that is tried for ever: a refusal of the log
// for its size, passed on by a gatherer, looked like a lost answer.
func TestOversizedRecordIsNoLostAnswer(t *testing.T) {
	c := newCluster(12, true, logservice.Params{})
	c.run(t)
	oversized := protocol.Record{ID: "x", Complete: &protocol.RequestComplete{Result: protocol.Result{Body: make([]byte, protocol.MaxEntryBytes)}}}
	for name, w := range c.writers {
		_, err := w.Append(t.Context(), oversized)
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrTooLarge), "%s: %v", name, err)
	}
	assert.Equal(t, len(c.logged(t)), 0)
}

// TestCallFailsOnlyForItsOwnRecords guards against calls that fail since they shared an entry with
// large records: the estimate of a group's size leaves out keys and IDs, which callers choose.
func TestCallFailsOnlyForItsOwnRecords(t *testing.T) {
	log := logservice.New(logservice.Params{})
	w := commit.New(commit.Params{Stream: stream, Log: log, Linger: 200 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = w.Run(ctx) })
	var appends sync.WaitGroup
	for _, id := range []string{strings.Repeat("a", protocol.MaxEntryBytes-1<<20), "b", strings.Repeat("c", protocol.MaxEntryBytes), "d"} {
		appends.Go(func() {
			_, err := w.Append(ctx, protocol.Record{ID: id, Cancel: &protocol.JobCancel{Job: "j"}})
			if len(id) == protocol.MaxEntryBytes {
				assert.Check(t, errorx.IsOfType(err, protocol.ErrTooLarge), "%v", err)
				return
			}
			assert.Check(t, err)
		})
	}
	appends.Wait()
	cancel()
	group.Wait()
	page, err := log.Read(t.Context(), stream, 0, backend.PageLimit, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Entries), 3, "one entry for each call")
}

// BenchmarkGatherers compares writers that append all records themselves with
// writers that forward them, on a log of 300 appends a second. Each writer gets 40
// records a second from 8 loops, each of which sends one record at a time.
func BenchmarkGatherers(b *testing.B) {
	for _, writers := range []int{2, 8, 20, 80} {
		for _, gather := range []bool{false, true} {
			b.Run(fmt.Sprintf("writers=%d/gather=%v", writers, gather), func(b *testing.B) {
				c := newCluster(writers, gather, logservice.Params{AppendsPerSecond: 300})
				c.run(b)
				measureAppends(b, c)
			})
		}
	}
}

func measureAppends(b *testing.B, c *cluster) {
	const loops, each, interval = 8, 25, 200 * time.Millisecond
	latency := hdrhistogram.New(1, 1e8, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for number, instance := range c.instances {
		name, w := instance.Name, c.writers[instance.Name]
		for loop := range loops {
			group.Go(func() {
				offset := time.NewTimer(interval * time.Duration(loop+number*loops) / time.Duration(loops*len(c.writers)))
				<-offset.C
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for i := range each {
					start := time.Now()
					_, err := w.Append(b.Context(), protocol.Record{ID: fmt.Sprint(name, loop, i), Cancel: &protocol.JobCancel{Job: "j"}})
					assert.Check(b, err == nil, "%v", err)
					mu.Lock()
					_ = latency.RecordValue(time.Since(start).Microseconds())
					mu.Unlock()
					<-ticker.C
				}
			})
		}
	}
	group.Wait()
	seconds := time.Since(started).Seconds()
	count, _ := c.log.Appends()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(count)/seconds, "appends/s")
	b.ReportMetric(float64(latency.TotalCount())/seconds, "records/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
}
