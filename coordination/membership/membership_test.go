package membership

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeFleet is an instance list and the processes on it.
type fakeFleet struct {
	mu        sync.Mutex
	instances []backend.Instance
	// hangingPeers holds the peers that never answer.
	hangingPeers map[string]bool
	// listHangs makes the list never answer.
	listHangs bool
	reports   map[string]protocol.ReportReply
}

// Instances implements backend.InstanceList.
func (f *fakeFleet) Instances(ctx context.Context) ([]backend.Instance, error) {
	f.mu.Lock()
	hangs, rows := f.listHangs, f.instances
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, protocol.ErrTimeout.New("list")
	}
	return rows, nil
}

// Report implements Reporter.
func (f *fakeFleet) Report(ctx context.Context, peer string, _ uint64) (protocol.ReportReply, error) {
	f.mu.Lock()
	hangs, reply := f.hangingPeers[peer], f.reports[peer]
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return protocol.ReportReply{}, protocol.ErrTimeout.New("peer")
	}
	return reply, nil
}

// update changes the fleet under its lock.
func (f *fakeFleet) update(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
}

func newFleet(n int) *fakeFleet {
	f := &fakeFleet{hangingPeers: map[string]bool{}, reports: map[string]protocol.ReportReply{}}
	for i := range n {
		name := "s" + strconv.Itoa(i)
		f.instances = append(f.instances, backend.Instance{Name: name, Role: backend.RoleSidecar, Peer: name})
		f.setReport(i, protocol.TargetReport{Target: "t" + strconv.Itoa(i), Boot: "1", Healthy: true})
	}
	return f
}

func (f *fakeFleet) setReport(i int, r protocol.TargetReport) {
	f.update(func() {
		f.reports["s"+strconv.Itoa(i)] = protocol.ReportReply{Targets: []protocol.TargetReport{r}}
	})
}

// startManager starts a manager in virtual time and stops it after the test.
func (f *fakeFleet) startManager(t *testing.T) *Manager {
	m := New(Params{Self: "e0", List: f, Reporter: f})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return m
}

// advance lets virtual time pass.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (f *fakeFleet) target(m *Manager, name string) *routing.Target {
	for _, t := range m.Table().Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

func TestSilentPeerDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		m := f.startManager(t)
		advance(2 * DefaultInterval)
		f.update(func() { f.hangingPeers["s0"] = true })
		advance(DefaultUnreachableAfter + DefaultInterval)
		assert.Assert(t, !f.target(m, "t0").Reachable)
		f.setReport(1, protocol.TargetReport{Target: "t1", Boot: "1", Seq: 2, Leaving: true})
		advance(DefaultInterval)
		assert.Assert(t, f.target(m, "t1").Reachable)
		assert.Assert(t, f.target(m, "t1").Report.Leaving)
		f.update(func() { f.hangingPeers["s0"] = false })
		advance(DefaultUnreachableAfter + DefaultInterval)
		assert.Assert(t, f.target(m, "t0").Reachable)
	})
}

func TestSilentListDelaysNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		m := f.startManager(t)
		advance(2 * DefaultInterval)
		f.update(func() { f.listHangs = true })
		advance(DefaultInterval)
		f.setReport(0, protocol.TargetReport{Target: "t0", Boot: "1", Seq: 2, Leaving: true})
		advance(DefaultInterval)
		assert.Assert(t, f.target(m, "t0").Report.Leaving)
		advance(10 * DefaultUnreachableAfter)
		assert.Assert(t, f.target(m, "t0").Reachable)
	})
}

// TestReplacedSidecar replaces a sidecar that was leaving by one whose counter
// starts again. A late report of the old one changes nothing.
func TestReplacedSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		m := f.startManager(t)
		advance(2 * DefaultInterval)
		old := protocol.TargetReport{Target: "t0", Boot: "1", Seq: 1000, Leaving: true}
		f.setReport(0, old)
		advance(DefaultInterval)
		f.setReport(0, protocol.TargetReport{Target: "t0", Boot: "2", Seq: 1, Healthy: true})
		advance(DefaultInterval)
		assert.Assert(t, !f.target(m, "t0").Report.Leaving)
		old.Seq++
		m.Observe("s0", &old)
		synctest.Wait()
		assert.Assert(t, !f.target(m, "t0").Report.Leaving)
	})
}

func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		m := f.startManager(t)
		advance(2 * DefaultInterval)
		tables := map[*routing.Table]bool{m.Table(): true}
		for seq := range uint64(1000) {
			m.Observe("s0", &protocol.TargetReport{Target: "t0", Boot: "1", Seq: seq + 1, Online: int(seq), Healthy: true})
			tables[m.Table()] = true
		}
		assert.Assert(t, len(tables) <= 2, "%d tables for changes of load alone", len(tables))
		advance(2 * publishInterval)
		assert.Equal(t, f.target(m, "t0").Report.Online, 999)
		m.Observe("s0", &protocol.TargetReport{Target: "t0", Boot: "1", Seq: 2000, Leaving: true})
		assert.Assert(t, f.target(m, "t0").Report.Leaving, "a leaving target is known at once")
		m.Observe("s0", &protocol.TargetReport{Target: "t0", Boot: "1", Seq: 1999})
		assert.Assert(t, f.target(m, "t0").Report.Leaving, "a late report changes nothing")
	})
}

func TestUnchangedReportsPublishNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		m := f.startManager(t)
		advance(2 * DefaultInterval)
		before := m.Table()
		advance(10 * DefaultInterval)
		assert.Assert(t, m.Table() == before)
	})
}

func TestListedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.instances = append(f.instances, backend.Instance{Name: "e0", Role: backend.RoleEntry})
		m := f.startManager(t)
		advance(DefaultInterval)
		assert.Assert(t, !m.ListedLeaving())
		f.update(func() {
			f.instances = []backend.Instance{f.instances[0], {Name: "e0", Role: backend.RoleEntry, Leaving: true}}
		})
		advance(DefaultInterval)
		assert.Assert(t, m.ListedLeaving())
	})
}

// BenchmarkObserve measures the cost of one report among 5,700 targets.
func BenchmarkObserve(b *testing.B) {
	f := newFleet(5700)
	m := New(Params{Self: "e0", List: f, Reporter: f})
	m.setInstances(f.instances)
	for _, s := range m.members {
		m.poll(b.Context(), s)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { m.publishLoadChanges(ctx); close(done) }()
	b.ResetTimer()
	seq := uint64(0)
	for b.Loop() {
		seq++
		m.Observe("s17", &protocol.TargetReport{Target: "t17", Boot: "1", Seq: seq, Online: int(seq), Healthy: true})
	}
	cancel()
	<-done
}
