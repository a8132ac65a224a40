package commit_test

import (
	"context"
	"fmt"
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

// site is entries in one data centre that append to one log.
type site struct {
	log     *logservice.Service
	rows    []backend.Instance
	writers map[string]*commit.Writer
	handed  atomic.Int64

	mu sync.Mutex
	// fail is what a call to an entry fails with.
	fail map[string]error
	// lose is set where the entries' answers get lost after the append.
	lose bool
}

func newSite(n int, gather bool, params logservice.Params) *site {
	s := &site{log: logservice.New(params), writers: map[string]*commit.Writer{}, fail: map[string]error{}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		s.rows = append(s.rows, backend.Instance{Name: name, Peer: name, Role: backend.RoleEntry, DataCentre: "dc"})
		g := &commit.Gatherers{Self: name, DataCentre: "dc", Stream: stream, Entries: func() []backend.Instance { return s.rows }, Call: s.call}
		p := commit.Params{Stream: stream, Log: s.log}
		if gather {
			p.Forward = g.Forward
		}
		s.writers[name] = commit.New(p)
	}
	return s
}

func (s *site) call(ctx context.Context, addr string, args protocol.GatherArgs) (protocol.GatherReply, error) {
	s.mu.Lock()
	err, lose := s.fail[addr], s.lose
	s.mu.Unlock()
	if err != nil {
		return protocol.GatherReply{}, err
	}
	records, err := protocol.DecodeBatch(args.Data)
	if err != nil {
		return protocol.GatherReply{}, err
	}
	s.handed.Add(1)
	last, err := s.writers[addr].AppendLocal(ctx, records...)
	if lose {
		return protocol.GatherReply{}, protocol.ErrTimeout.New("answer lost")
	}
	return protocol.GatherReply{Last: last, Problem: protocol.ProblemOf(err)}, nil
}

// run starts the writers and stops them at the end of the test.
func (s *site) run(tb testing.TB) {
	ctx, cancel := context.WithCancel(tb.Context())
	var group sync.WaitGroup
	for _, w := range s.writers {
		group.Go(func() { _ = w.Run(ctx) })
	}
	tb.Cleanup(func() { cancel(); group.Wait() })
}

// found returns how often each record stands in the log, and at which positions.
func (s *site) found(tb testing.TB) map[string][]protocol.Position {
	all := map[string][]protocol.Position{}
	page, err := s.log.Read(tb.Context(), stream, 0, backend.PageLimit, 0)
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

// appendAll lets every entry append records at the same time, and returns the
// positions that the writers told.
func (s *site) appendAll(tb testing.TB) *sync.Map {
	var told sync.Map
	var group sync.WaitGroup
	for name, w := range s.writers {
		for i := range 5 {
			group.Go(func() {
				first := protocol.Record{ID: fmt.Sprintf("%s-%d-a", name, i), Cancel: &protocol.JobCancel{Job: "j"}}
				last := protocol.Record{ID: fmt.Sprintf("%s-%d-b", name, i), Cancel: &protocol.JobCancel{Job: "j"}}
				pos, err := w.Append(tb.Context(), first, last)
				assert.Check(tb, err == nil, "%v", err)
				told.Store(last.ID, pos)
			})
		}
	}
	group.Wait()
	return &told
}

// TestHandedRecords: every record reaches the log whatever becomes of the
// gatherers, at the position that its writer was told.
func TestHandedRecords(t *testing.T) {
	notSent := protocol.ErrNotSent.New("refused")
	tests := map[string]struct {
		entries int
		// dead is the number of entries that cannot be reached.
		dead  int
		lose  bool
		hands bool
		twice bool
	}{
		"few entries append themselves": {entries: commit.MinEntries - 1},
		"one gathers":                   {entries: 12, hands: true},
		"none can be reached":           {entries: 12, dead: 12},
		"answers are lost":              {entries: 12, lose: true, hands: true, twice: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(test.entries, true, logservice.Params{})
			s.lose = test.lose
			for _, r := range s.rows[:test.dead] {
				s.fail[r.Peer] = notSent
			}
			s.run(t)
			told := s.appendAll(t)
			found := s.found(t)
			assert.Equal(t, len(found), test.entries*5*2)
			assert.Equal(t, s.handed.Load() > 0, test.hands)
			for id, positions := range found {
				assert.Assert(t, len(positions) == 1 || test.twice, "%s stands at %v", id, positions)
				if pos, is := told.Load(id); is {
					assert.Equal(t, pos.(protocol.Position), positions[len(positions)-1])
				}
			}
		})
	}
}

// TestNextGathererIsTried: where the first cannot be reached, another gathers.
func TestNextGathererIsTried(t *testing.T) {
	s := newSite(12, true, logservice.Params{})
	s.run(t)
	s.appendAll(t)
	count, _ := s.log.Appends()
	for _, r := range s.rows {
		s.fail = map[string]error{r.Peer: protocol.ErrNotSent.New("refused")}
		before := s.handed.Load()
		s.appendAll(t)
		assert.Assert(t, s.handed.Load() > before, "no records were handed on without %s", r.Name)
	}
	assert.Assert(t, count < 12*5, "%d appends", count)
}

// TestLostHandStaysLost: where a gatherer may have appended and the log then
// refuses, the outcome is not known.
func TestLostHandStaysLost(t *testing.T) {
	s := newSite(12, true, logservice.Params{})
	for _, r := range s.rows {
		s.fail[r.Peer] = protocol.ErrTimeout.New("no answer")
	}
	s.run(t)
	s.log.SetFaults(logservice.Faults{Outage: true})
	kinds := map[bool]int{}
	for _, w := range s.writers {
		_, err := w.Append(t.Context(), protocol.Record{ID: "x", Cancel: &protocol.JobCancel{Job: "j"}})
		lost := errorx.IsOfType(err, protocol.ErrAnswerLost)
		assert.Assert(t, lost || errorx.IsOfType(err, protocol.ErrLogUnavailable), "%v", err)
		kinds[lost]++
	}
	assert.Equal(t, kinds[true], 12-commit.GatherersPerDataCentre)
}

// BenchmarkGatherers compares writers that append themselves with those that
// hand their records on, against a log of 300 appends a second. Each writer gets
// 40 records a second, one after another in 8 lines.
func BenchmarkGatherers(b *testing.B) {
	for _, writers := range []int{2, 8, 20, 80} {
		for _, gather := range []bool{false, true} {
			b.Run(fmt.Sprintf("writers=%d/gather=%v", writers, gather), func(b *testing.B) {
				s := newSite(writers, gather, logservice.Params{AppendsPerSecond: 300})
				s.run(b)
				measureAppends(b, s)
			})
		}
	}
}

func measureAppends(b *testing.B, s *site) {
	const lines, each, interval = 8, 25, 200 * time.Millisecond
	latency := hdrhistogram.New(1, 1e8, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	begun := time.Now()
	for number, row := range s.rows {
		name, w := row.Name, s.writers[row.Name]
		for line := range lines {
			group.Go(func() {
				offset := time.NewTimer(interval * time.Duration(line+number*lines) / time.Duration(lines*len(s.writers)))
				<-offset.C
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for i := range each {
					start := time.Now()
					_, err := w.Append(b.Context(), protocol.Record{ID: fmt.Sprint(name, line, i), Cancel: &protocol.JobCancel{Job: "j"}})
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
	seconds := time.Since(begun).Seconds()
	count, _ := s.log.Appends()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(count)/seconds, "appends/s")
	b.ReportMetric(float64(latency.TotalCount())/seconds, "records/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
}
