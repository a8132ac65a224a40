package membership

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// countingFleet counts the questions to each peer.
type countingFleet struct {
	*fakeFleet
	asked map[string]int
}

// Report implements Reporter.
func (f *countingFleet) Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error) {
	f.change(func() { f.asked[peer]++ })
	reply, err := f.fakeFleet.Report(ctx, peer, mark)
	if err == nil {
		reply.Shorten(mark)
	}
	return reply, err
}

// count returns the number of questions to a peer.
func (f *countingFleet) count(peer string) (n int) {
	f.change(func() { n = f.asked[peer] })
	return n
}

// total returns the number of questions to all peers.
func (f *countingFleet) total() (sum int) {
	f.change(func() {
		for _, n := range f.asked {
			sum += n
		}
	})
	return sum
}

// newLargeFleet returns entries and sidecars, each sidecar with one target of
// the service named after its number modulo services.
func newLargeFleet(entries, sidecars, services int) *countingFleet {
	f := &countingFleet{fakeFleet: newFleet(0), asked: map[string]int{}}
	for i := range entries {
		name := "e" + strconv.Itoa(i)
		f.rows = append(f.rows, backend.Instance{Name: name, Role: backend.RoleEntry, Peer: name})
	}
	for i := range sidecars {
		name := "s" + strconv.Itoa(i)
		f.rows = append(f.rows, backend.Instance{Name: name, Role: backend.RoleSidecar, Peer: name})
		f.set(i, f.report(i, services))
	}
	return f
}

func (f *countingFleet) report(i, services int) protocol.TargetReport {
	labels := protocol.Labels{"model": "m" + strconv.Itoa(i%services)}
	return protocol.TargetReport{Target: "t" + strconv.Itoa(i), Boot: "1", Seq: 1, Healthy: true, Labels: labels}
}

func (f *countingFleet) start(t *testing.T, self string) *Manager {
	services := func() func(protocol.Labels) []string {
		return func(l protocol.Labels) []string { return []string{l["model"]} }
	}
	m := New(Params{Self: self, List: f, Reporter: f, Services: services})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return m
}

// byModel counts the reachable targets of each service in a table.
func byModel(m *Manager) map[string]int {
	found := map[string]int{}
	for _, t := range m.Table().Targets {
		if t.Reachable && !t.Leaving && !t.Report.Leaving {
			found[t.Report.Labels["model"]]++
		}
	}
	return found
}

// TestFewEntriesAskAll: up to Coverage entries, each asks every process in each
// round.
func TestFewEntriesAskAll(t *testing.T) {
	for entries := 1; entries <= Coverage; entries++ {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(entries, 24, 3)
			m := f.start(t, "e0")
			after(10 * DefaultInterval)
			assert.Equal(t, len(m.Table().Targets), 24)
			for _, i := range f.rows {
				if i.Name != "e0" {
					assert.Assert(t, f.count(i.Peer) >= 10, "%s asked %d times", i.Name, f.count(i.Peer))
				}
			}
		})
	}
}

// TestWorkOfOneEntry: the questions of an entry a second stay the same when the
// fleet grows with the number of entries.
func TestWorkOfOneEntry(t *testing.T) {
	for _, size := range []struct{ entries, sidecars int }{{20, 100}, {60, 300}, {275, 1425}} {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(size.entries, size.sidecars, 3)
			m := f.start(t, "e0")
			after(time.Minute)
			assert.Assert(t, m.Ready())
			before := f.total()
			after(time.Minute)
			total := f.total() - before
			watched := len(m.Table().Targets)
			bound := 60 * (float64(watched)/(watchRounds*DefaultInterval.Seconds()) + DefaultEntryRate + surveyRate)
			t.Logf("%d entries, %d sidecars: %d watched, %.0f questions a second", size.entries, size.sidecars, watched, float64(total)/60)
			assert.Assert(t, float64(total) <= bound, "%d questions, at most %v", total, bound)
			assert.Assert(t, watched < 2*Coverage*size.sidecars/size.entries+8+3*MinTargets, "%d watched", watched)
			for model, n := range byModel(m) {
				assert.Assert(t, n >= MinTargets, "%d targets of %s", n, model)
			}
			assert.Equal(t, len(m.Entries()), size.entries)
		})
	}
}

// TestWatchedOnesGoBad: an entry all of whose targets of a service stop
// answering, or leave, watches others within seconds.
func TestWatchedOnesGoBad(t *testing.T) {
	for _, how := range []string{"silent", "leaving"} {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(40, 200, 4)
			m := f.start(t, "e0")
			after(time.Minute)
			for _, target := range m.Table().Targets {
				if target.Report.Labels["model"] != "m1" {
					continue
				}
				f.change(func() { f.hang[target.Peer] = how == "silent" })
				if how == "leaving" {
					r := target.Report
					r.Leaving, r.Seq = true, r.Seq+1
					f.change(func() {
						f.reports[target.Peer] = protocol.ReportReply{Leaving: true, Targets: []protocol.TargetReport{r}}
					})
				}
			}
			after(2*DefaultSilenceLimit + 2*DefaultInterval)
			assert.Assert(t, byModel(m)["m1"] >= MinTargets, "%v", byModel(m))
		})
	}
}

// TestAnswersSpareQuestions: a watched sidecar whose answers carry its reports is
// not asked.
func TestAnswersSpareQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(20, 40, 1)
		m := f.start(t, "e0")
		after(10 * time.Second)
		target := m.Table().Targets[0]
		before := f.count(target.Peer)
		r := target.Report
		for range 200 {
			r.Seq++
			m.Observe(target.Instance, &r)
			after(DefaultInterval / 5)
		}
		assert.Assert(t, f.count(target.Peer)-before <= 1, "asked %d times", f.count(target.Peer)-before)
		assert.Assert(t, f.target(m, target.Name).Reachable)
		after(DefaultInterval * 3)
		assert.Assert(t, f.count(target.Peer) > before, "asked again once its answers end")
	})
}

// TestDeadEntryIsNoticed states what the slower view of entries costs: the
// death of one shows after a turn of the questions and the silence limit.
func TestDeadEntryIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(275, 10, 1)
		m := f.start(t, "e0")
		after(time.Minute)
		assert.Equal(t, len(m.Entries()), 275)
		f.change(func() { f.hang["e100"] = true })
		turn := time.Duration(274.0 / DefaultEntryRate * float64(time.Second))
		after(turn + DefaultSilenceLimit + 2*DefaultInterval)
		assert.Equal(t, len(m.Entries()), 274)
	})
}
