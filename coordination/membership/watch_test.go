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

// countingFleet counts the polls of each peer.
type countingFleet struct {
	*fakeFleet
	polls map[string]int
}

// Report implements Reporter.
func (f *countingFleet) Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error) {
	f.update(func() { f.polls[peer]++ })
	reply, err := f.fakeFleet.Report(ctx, peer, mark)
	if err == nil {
		reply.OmitKnownTargets(mark)
	}
	return reply, err
}

// pollCount returns the number of polls of a peer.
func (f *countingFleet) pollCount(peer string) (n int) {
	f.update(func() { n = f.polls[peer] })
	return n
}

// totalPolls returns the number of polls of all peers.
func (f *countingFleet) totalPolls() (sum int) {
	f.update(func() {
		for _, n := range f.polls {
			sum += n
		}
	})
	return sum
}

// newLargeFleet returns a fleet of entries and sidecars. Sidecar i has one target,
// of the model i modulo services.
func newLargeFleet(entries, sidecars, services int) *countingFleet {
	f := &countingFleet{fakeFleet: newFleet(0), polls: map[string]int{}}
	for i := range entries {
		name := "e" + strconv.Itoa(i)
		f.instances = append(f.instances, backend.Instance{Name: name, Role: backend.RoleEntry, Peer: name})
	}
	for i := range sidecars {
		name := "s" + strconv.Itoa(i)
		f.instances = append(f.instances, backend.Instance{Name: name, Role: backend.RoleSidecar, Peer: name})
		f.setReport(i, f.targetReport(i, services))
	}
	return f
}

func (f *countingFleet) targetReport(i, services int) protocol.TargetReport {
	labels := protocol.Labels{"model": "m" + strconv.Itoa(i%services)}
	return protocol.TargetReport{Target: "t" + strconv.Itoa(i), Boot: "1", Seq: 1, Healthy: true, Labels: labels}
}

func (f *countingFleet) startManager(t *testing.T, self string) *Manager {
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

// reachableByModel counts the targets of each model in the table that are reachable
// and not leaving.
func reachableByModel(m *Manager) map[string]int {
	found := map[string]int{}
	for _, t := range m.Table().Targets {
		if t.Reachable && !t.Leaving && !t.Report.Leaving {
			found[t.Report.Labels["model"]]++
		}
	}
	return found
}

// TestFewEntriesPollAll checks that up to WatchersPerSidecar entries poll every
// process in every round.
func TestFewEntriesPollAll(t *testing.T) {
	for entries := 1; entries <= WatchersPerSidecar; entries++ {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(entries, 24, 3)
			m := f.startManager(t, "e0")
			advance(10 * DefaultInterval)
			assert.Equal(t, len(m.Table().Targets), 24)
			for _, i := range f.instances {
				if i.Name != "e0" {
					assert.Assert(t, f.pollCount(i.Peer) >= 10, "%s polled %d times", i.Name, f.pollCount(i.Peer))
				}
			}
		})
	}
}

// TestPollRateOfOneEntry checks that the polls per second of an entry stay the same
// when the fleet grows with the number of entries.
func TestPollRateOfOneEntry(t *testing.T) {
	for _, size := range []struct{ entries, sidecars int }{{20, 100}, {60, 300}, {275, 1425}} {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(size.entries, size.sidecars, 3)
			m := f.startManager(t, "e0")
			advance(time.Minute)
			assert.Assert(t, m.Ready())
			before := f.totalPolls()
			advance(time.Minute)
			total := f.totalPolls() - before
			watched := len(m.Table().Targets)
			bound := 60 * (float64(watched)/(watchedPollRounds*DefaultInterval.Seconds()) + DefaultEntryPollRate + unwatchedSidecarPollRate)
			t.Logf("%d entries, %d sidecars: %d watched, %.0f polls per second", size.entries, size.sidecars, watched, float64(total)/60)
			assert.Assert(t, float64(total) <= bound, "%d polls, want at most %v", total, bound)
			assert.Assert(t, watched < 2*WatchersPerSidecar*size.sidecars/size.entries+8+3*MinTargets, "%d watched", watched)
			for model, n := range reachableByModel(m) {
				assert.Assert(t, n >= MinTargets, "%d targets of %s", n, model)
			}
			assert.Equal(t, len(m.Entries()), size.entries)
		})
	}
}

// TestWatchedOnesGoBad makes all targets of a service that an entry
// watches unresponsive or leaving: the entry must watch others within seconds.
func TestWatchedOnesGoBad(t *testing.T) {
	for _, failure := range []string{"silent", "leaving"} {
		synctest.Test(t, func(t *testing.T) {
			f := newLargeFleet(40, 200, 4)
			m := f.startManager(t, "e0")
			advance(time.Minute)
			for _, target := range m.Table().Targets {
				if target.Report.Labels["model"] != "m1" {
					continue
				}
				f.update(func() { f.hangingPeers[target.Peer] = failure == "silent" })
				if failure == "leaving" {
					r := target.Report
					r.Leaving, r.Seq = true, r.Seq+1
					f.update(func() {
						f.reports[target.Peer] = protocol.ReportReply{Leaving: true, Targets: []protocol.TargetReport{r}}
					})
				}
			}
			advance(2*DefaultUnreachableAfter + 2*DefaultInterval)
			assert.Assert(t, reachableByModel(m)["m1"] >= MinTargets, "%v", reachableByModel(m))
		})
	}
}

// TestResponsesReplacePolls checks that a watched sidecar whose responses carry its
// reports is not polled.
func TestResponsesReplacePolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(20, 40, 1)
		m := f.startManager(t, "e0")
		advance(10 * time.Second)
		target := m.Table().Targets[0]
		before := f.pollCount(target.Peer)
		r := target.Report
		for range 200 {
			r.Seq++
			m.Observe(target.Instance, &r)
			advance(DefaultInterval / 5)
		}
		assert.Assert(t, f.pollCount(target.Peer)-before <= 1, "polled %d times", f.pollCount(target.Peer)-before)
		assert.Assert(t, f.target(m, target.Name).Reachable)
		advance(DefaultInterval * 3)
		assert.Assert(t, f.pollCount(target.Peer) > before, "polled again once its responses stop")
	})
}

// TestDeadEntryIsNoticed bounds the delay that rate-limited polls of entries cause:
// a dead entry is dropped after one rotation of polls and the default of
// Params.UnreachableAfter.
func TestDeadEntryIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(275, 10, 1)
		m := f.startManager(t, "e0")
		advance(time.Minute)
		assert.Equal(t, len(m.Entries()), 275)
		f.update(func() { f.hangingPeers["e100"] = true })
		rotation := time.Duration(274.0 / DefaultEntryPollRate * float64(time.Second))
		advance(rotation + DefaultUnreachableAfter + 2*DefaultInterval)
		assert.Equal(t, len(m.Entries()), 274)
	})
}
