package load

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

const (
	// targetsPerSidecar and targetsPerEntry are those of the fleet aimed at.
	targetsPerSidecar = 4
	targetsPerEntry   = 21
	// measurementTime is how long the traffic of one entry is counted.
	measurementTime = 5 * time.Second
	secret          = "scale"
)

// fakePeers answers for all fake processes of one role: every loopback address
// reaches the one listener.
type fakePeers struct {
	targetsPerReport int
	// busy makes every report differ from the one before.
	busy  bool
	seq   atomic.Uint64
	calls atomic.Int64
}

// Report serves MethodReport.
func (f *fakePeers) Report(args *protocol.ReportArgs, reply *protocol.ReportReply) error {
	f.calls.Add(1)
	seq := uint64(1)
	if f.busy {
		seq = f.seq.Add(1)
	}
	reply.Instance = "sidecar-0000"
	reply.Config = protocol.PositionAt(1_000_000, 0)
	for i := range f.targetsPerReport {
		reply.Targets = append(reply.Targets, protocol.TargetReport{
			Target: fmt.Sprintf("drafting-0000-%d", i), Slots: 32, Online: int(seq % 32), Healthy: true, Seq: seq, Boot: "0123456789abcdef",
			Labels: protocol.Labels{"model": "drafting", "zone": "north", "version": "v12"},
		})
	}
	reply.OmitKnownTargets(args.Mark)
	return nil
}

// countingConn counts the bytes of a connection, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fakeFleet is an instance list of fake processes.
type fakeFleet struct {
	rows  []backend.Instance
	peers *transport.Peers
	bytes atomic.Int64
	fakes []*fakePeers

	mu sync.Mutex
	// answered holds the peers that have answered once.
	answered map[string]bool
}

// Instances implements backend.InstanceList.
func (f *fakeFleet) Instances(context.Context) ([]backend.Instance, error) { return f.rows, nil }

// Report implements membership.Reporter.
func (f *fakeFleet) Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error) {
	var reply protocol.ReportReply
	err := f.peers.Call(ctx, peer, protocol.MethodReport, &protocol.ReportArgs{Clock: 1 << 60, Mark: mark}, &reply)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.answered[peer] = true
	}
	return reply, err
}

// allAnswered reports whether every process has answered.
func (f *fakeFleet) allAnswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.answered) >= len(f.rows)-1
}

func (f *fakeFleet) calls() (n int64) {
	for _, fake := range f.fakes {
		n += fake.calls.Load()
	}
	return n
}

// add lists count processes that a fake answers for.
func (f *fakeFleet) add(b *testing.B, role backend.Role, count int, fake *fakePeers) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	assert.NilError(b, err)
	server, err := transport.NewPeerServer(secret, protocol.PeerService, fake)
	assert.NilError(b, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	b.Cleanup(func() {
		assert.NilError(b, listener.Close())
		assert.NilError(b, <-served)
	})
	port := listener.Addr().(*net.TCPAddr).Port
	for i := range count {
		f.rows = append(f.rows, backend.Instance{
			Name: fmt.Sprintf("%s-%04d", role, i), Role: role, DataCentre: "dc1",
			Peer: fmt.Sprintf("127.1.%d.%d:%d", i/200, 1+i%200, port),
		})
	}
	f.fakes = append(f.fakes, fake)
}

func newFakeFleet(b *testing.B, targets, entries int, busy bool) *fakeFleet {
	f := &fakeFleet{peers: transport.NewPeers(secret), answered: map[string]bool{}}
	f.peers.UseDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{conn, &f.bytes}, err
	})
	f.add(b, backend.RoleSidecar, max(1, targets/targetsPerSidecar), &fakePeers{targetsPerReport: targetsPerSidecar, busy: busy})
	f.add(b, backend.RoleEntry, entries, &fakePeers{})
	b.Cleanup(f.peers.Close)
	return f
}

// cpuTime returns the time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// awaitAnswers waits until every process was asked once.
func (f *fakeFleet) awaitAnswers(b *testing.B, m *membership.Manager) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	for !m.Ready() || !f.allAnswered() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			b.Fatalf("not all of %d processes have answered", len(f.rows))
		}
	}
}

// BenchmarkMembership measures what one entry spends on knowing its targets:
// bytes and questions a second on its connections, and processor time, which
// includes that of the fakes that answer.
func BenchmarkMembership(b *testing.B) {
	for _, targets := range []int{24, 100, 300, 1000, 5000} {
		for _, busy := range []bool{false, true} {
			subset := max(2, targets/targetsPerEntry)
			for name, entries := range map[string]int{"all": 1, "subset": subset} {
				b.Run(fmt.Sprintf("%s/targets=%d/busy=%v", name, targets, busy), func(b *testing.B) {
					f := newFakeFleet(b, targets, entries, busy)
					measureEntry(b, f)
				})
			}
		}
	}
}

func measureEntry(b *testing.B, f *fakeFleet) {
	services := func() func(protocol.Labels) []string {
		return func(l protocol.Labels) []string { return []string{l["model"]} }
	}
	before := liveHeap()
	m := membership.New(membership.Params{Self: "entry-0000", List: f, Reporter: f, Services: services})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	f.awaitAnswers(b, m)
	bytes, calls, used := f.bytes.Load(), f.calls(), cpuTime(b)
	timer := time.NewTimer(measurementTime)
	<-timer.C
	seconds := measurementTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/seconds/1000, "kB/s")
	b.ReportMetric(float64(f.calls()-calls)/seconds, "calls/s")
	b.ReportMetric(100*(cpuTime(b)-used).Seconds()/seconds, "%core")
	b.ReportMetric(float64(liveHeap()-before)/(1<<20), "MiB-both-ends")
	b.ReportMetric(float64(len(m.Table().Targets)), "watched")
	cancel()
	assert.NilError(b, <-done)
}

// liveHeap returns the bytes of live objects and stacks.
func liveHeap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}
