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
	mu   sync.Mutex
	rows []backend.Instance
	// hang holds the peers that never answer.
	hang map[string]bool
	// listHangs makes the list never answer.
	listHangs bool
	reports   map[string]protocol.ReportReply
}

// Instances implements backend.InstanceList.
func (f *fakeFleet) Instances(ctx context.Context) ([]backend.Instance, error) {
	f.mu.Lock()
	hangs, rows := f.listHangs, f.rows
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
	hangs, reply := f.hang[peer], f.reports[peer]
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return protocol.ReportReply{}, protocol.ErrTimeout.New("peer")
	}
	return reply, nil
}

// change changes the fleet under its lock.
func (f *fakeFleet) change(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
}

func newFleet(n int) *fakeFleet {
	f := &fakeFleet{hang: map[string]bool{}, reports: map[string]protocol.ReportReply{}}
	for i := range n {
		name := "s" + strconv.Itoa(i)
		f.rows = append(f.rows, backend.Instance{Name: name, Role: backend.RoleSidecar, Peer: name})
		f.set(i, protocol.TargetReport{Target: "t" + strconv.Itoa(i), Boot: "1", Healthy: true})
	}
	return f
}

func (f *fakeFleet) set(i int, r protocol.TargetReport) {
	f.change(func() {
		f.reports["s"+strconv.Itoa(i)] = protocol.ReportReply{Targets: []protocol.TargetReport{r}}
	})
}

// run starts a manager in virtual time and stops it after the test.
func (f *fakeFleet) run(t *testing.T) *Manager {
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

// after lets virtual time pass.
func after(d time.Duration) {
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
		m := f.run(t)
		after(2 * DefaultInterval)
		f.change(func() { f.hang["s0"] = true })
		after(DefaultSilenceLimit + DefaultInterval)
		assert.Assert(t, !f.target(m, "t0").Reachable)
		f.set(1, protocol.TargetReport{Target: "t1", Boot: "1", Seq: 2, Leaving: true})
		after(DefaultInterval)
		assert.Assert(t, f.target(m, "t1").Reachable)
		assert.Assert(t, f.target(m, "t1").Report.Leaving)
		f.change(func() { f.hang["s0"] = false })
		after(DefaultSilenceLimit + DefaultInterval)
		assert.Assert(t, f.target(m, "t0").Reachable)
	})
}

func TestSilentListDelaysNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		m := f.run(t)
		after(2 * DefaultInterval)
		f.change(func() { f.listHangs = true })
		after(DefaultInterval)
		f.set(0, protocol.TargetReport{Target: "t0", Boot: "1", Seq: 2, Leaving: true})
		after(DefaultInterval)
		assert.Assert(t, f.target(m, "t0").Report.Leaving)
		after(10 * DefaultSilenceLimit)
		assert.Assert(t, f.target(m, "t0").Reachable)
	})
}

// TestReplacedSidecar replaces a sidecar that was leaving by one whose counter
// starts again. A late report of the old one changes nothing.
func TestReplacedSidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		m := f.run(t)
		after(2 * DefaultInterval)
		old := protocol.TargetReport{Target: "t0", Boot: "1", Seq: 1000, Leaving: true}
		f.set(0, old)
		after(DefaultInterval)
		f.set(0, protocol.TargetReport{Target: "t0", Boot: "2", Seq: 1, Healthy: true})
		after(DefaultInterval)
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
		m := f.run(t)
		after(2 * DefaultInterval)
		tables := map[*routing.Table]bool{m.Table(): true}
		for seq := range uint64(1000) {
			m.Observe("s0", &protocol.TargetReport{Target: "t0", Boot: "1", Seq: seq + 1, Online: int(seq), Healthy: true})
			tables[m.Table()] = true
		}
		assert.Assert(t, len(tables) <= 2, "%d tables for changes of load alone", len(tables))
		after(2 * publishInterval)
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
		m := f.run(t)
		after(2 * DefaultInterval)
		before := m.Table()
		after(10 * DefaultInterval)
		assert.Assert(t, m.Table() == before)
	})
}

func TestListedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.rows = append(f.rows, backend.Instance{Name: "e0", Role: backend.RoleEntry})
		m := f.run(t)
		after(DefaultInterval)
		assert.Assert(t, !m.ListedLeaving())
		f.change(func() {
			f.rows = []backend.Instance{f.rows[0], {Name: "e0", Role: backend.RoleEntry, Leaving: true}}
		})
		after(DefaultInterval)
		assert.Assert(t, m.ListedLeaving())
	})
}

// BenchmarkObserve measures the cost of one report among 5,700 targets.
func BenchmarkObserve(b *testing.B) {
	f := newFleet(5700)
	m := New(Params{Self: "e0", List: f, Reporter: f})
	m.setInstances(f.rows)
	for _, s := range m.members {
		m.poll(b.Context(), s)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { m.publishLoads(ctx); close(done) }()
	b.ResetTimer()
	seq := uint64(0)
	for b.Loop() {
		seq++
		m.Observe("s17", &protocol.TargetReport{Target: "t17", Boot: "1", Seq: seq, Online: int(seq), Healthy: true})
	}
	cancel()
	<-done
}
