package sidecar

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/timeline"
	"github.com/sycamoretally/sycamoretally/transport"
)

// fakeEntry grants permits. It answers no question while it is silent.
type fakeEntry struct {
	name string
	addr string

	mu           sync.Mutex
	permits      *quarantine.Permits
	dropsReplies bool
	waiting      int
}

// Report implements the method of the peers' service.
func (f *fakeEntry) Report(_ *protocol.ReportArgs, reply *protocol.ReportReply) error {
	reply.Instance = f.name
	return nil
}

// Permit grants the permit once it is free, and fails where its answer is lost.
func (f *fakeEntry) Permit(args *protocol.PermitArgs, reply *protocol.PermitReply) error {
	h := quarantine.Holder{Fingerprint: args.Fingerprint, Attempt: args.Attempt, Instance: args.Instance}
	end := time.Now().Add(time.Duration(args.WaitMillis) * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting++
	defer func() { f.waiting-- }()
	for !reply.Granted && time.Now().Before(end) {
		if reply.Granted = f.permits.TryAcquire(h, false); !reply.Granted {
			f.mu.Unlock()
			<-time.After(time.Millisecond)
			f.mu.Lock()
		}
	}
	if f.dropsReplies {
		return protocol.ErrTimeout.New("no answer")
	}
	return nil
}

func (f *fakeEntry) pendingPermits() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// EndPermit takes a permit back.
func (f *fakeEntry) EndPermit(args *protocol.EndPermitArgs, _ *protocol.EndPermitReply) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permits.Release(args.Fingerprint, args.Attempt, args.Completed)
	return nil
}

func (f *fakeEntry) setDropsReplies(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropsReplies = silent
}

func (f *fakeEntry) holders(fingerprint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.permits.Holders(fingerprint))
}

func startFakeEntry(t testing.TB, name string) *fakeEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeEntry{name: name, addr: l.Addr().String(), permits: quarantine.NewPermits()}
	server, err := transport.NewPeerServer("secret", protocol.PeerService, f)
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	return f
}

// fakeList is an instance list that a test changes.
type fakeList struct {
	mu   sync.Mutex
	rows []backend.Instance
}

// Instances implements backend.InstanceList.
func (l *fakeList) Instances(context.Context) ([]backend.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]backend.Instance(nil), l.rows...), nil
}

// set lists the entries; leaving names one that leaves.
func (l *fakeList) set(entries []*fakeEntry, leaving string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = nil
	for _, e := range entries {
		l.rows = append(l.rows, backend.Instance{Name: e.name, Role: backend.RoleEntry, Peer: e.addr, Leaving: e.name == leaving})
	}
}

// permitFixture is a sidecar that knows two fake entries.
type permitFixture struct {
	sidecar *Sidecar
	runner  *runner
	list    *fakeList
	entries []*fakeEntry
}

func startPermitFixture(t testing.TB) *permitFixture {
	t.Helper()
	s := &permitFixture{list: &fakeList{}, entries: []*fakeEntry{startFakeEntry(t, "a"), startFakeEntry(t, "b")}}
	s.runner, _ = newTestRunner(t, 1)
	peers := transport.NewPeers("secret")
	clock := timeline.NewClock(time.Now)
	members := membership.New(membership.Params{
		Self: "s", List: s.list, Reporter: transport.ReportClient{Peers: peers, Clock: clock}, Interval: 10 * time.Millisecond, UnreachableAfter: time.Minute,
	})
	s.sidecar = &Sidecar{settings: &settings.Settings{}, peers: peers, entries: &entryClient{members: members, peers: peers}}
	s.sidecar.tomb.Go(func() error { return members.Run(s.sidecar.tomb.Context(context.Background())) })
	t.Cleanup(func() {
		s.sidecar.tomb.Kill(nil)
		_ = s.sidecar.tomb.Wait()
		peers.Close()
	})
	s.publish(t, "")
	return s
}

// publish lists the entries and waits until the sidecar knows it.
func (s *permitFixture) publish(t testing.TB, leaving string) {
	t.Helper()
	s.list.set(s.entries, leaving)
	want := len(s.entries)
	if leaving != "" {
		want--
	}
	for len(s.sidecar.entries.members.Entries()) != want {
		assert.NilError(t, t.Context().Err())
		<-time.After(time.Millisecond)
	}
}

// owner returns the entry that owns the fingerprint, and the other one.
func (s *permitFixture) owner(fingerprint string) (owner, other *fakeEntry) {
	if s.sidecar.entries.permitOwner(fingerprint) == s.entries[0].addr {
		return s.entries[0], s.entries[1]
	}
	return s.entries[1], s.entries[0]
}

// awaitFree waits until neither entry has a permit of the fingerprint in use.
func (s *permitFixture) awaitFree(t *testing.T, fingerprint string) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); <-time.After(time.Millisecond) {
		if s.entries[0].holders(fingerprint)+s.entries[1].holders(fingerprint) == 0 {
			return
		}
	}
	t.Fatalf("permits leaked: %d at a, %d at b", s.entries[0].holders(fingerprint), s.entries[1].holders(fingerprint))
}

// holds asks the sidecar as an entry does for a copy that waits.
func (s *permitFixture) holds(t *testing.T, attempt string) protocol.HoldsReply {
	t.Helper()
	var reply protocol.HoldsReply
	assert.NilError(t, (&peerAPI{s.sidecar}).Holds(&protocol.HoldsArgs{Attempt: attempt}, &reply))
	return reply
}

// TestQuietEnd ends calls that no copy waits for: the entry learns of it when it
// asks.
func TestQuietEnd(t *testing.T) {
	for _, completed := range []bool{true, false} {
		s := startPermitFixture(t)
		s.sidecar.runners = map[string]*runner{"t": s.runner}
		p, err := s.sidecar.requestPermit(t.Context(), s.runner, attempt("1", protocol.ClassOnline), time.Second)
		assert.NilError(t, err)
		granter, _ := s.owner(p.fingerprint)
		p.completed = completed
		p.release()
		assert.Equal(t, s.holds(t, "1"), protocol.HoldsReply{Completed: completed})
		assert.Equal(t, granter.holders(p.fingerprint), 1)
	}
}

// TestPermitGoesBackToItsEntry has the owner of a permit change while a call
// runs and a copy waits: the entry that granted it gets it back.
func TestPermitGoesBackToItsEntry(t *testing.T) {
	s := startPermitFixture(t)
	a := attempt("1", protocol.ClassBatch)
	p, err := s.sidecar.requestPermit(t.Context(), s.runner, a, time.Second)
	assert.NilError(t, err)
	granter, _ := s.owner(p.fingerprint)
	assert.Equal(t, granter.holders(p.fingerprint), 1)
	s.sidecar.runners = map[string]*runner{"t": s.runner}
	assert.Assert(t, s.holds(t, "1").Held)
	s.publish(t, granter.name)
	p.release()
	s.awaitFree(t, p.fingerprint)
}

// TestPermitGoesBackToAllAsked has the owner's answer lost, so that the other
// entry grants the permit as well: both get it back.
func TestPermitGoesBackToAllAsked(t *testing.T) {
	s := startPermitFixture(t)
	a := attempt("1", protocol.ClassBatch)
	silent, other := s.owner(a.Call.Fingerprint())
	silent.setDropsReplies(true)
	p, err := s.sidecar.requestPermit(t.Context(), s.runner, a, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, silent.holders(p.fingerprint), 1)
	assert.Equal(t, other.holders(p.fingerprint), 1)
	p.release()
	s.awaitFree(t, p.fingerprint)
}

// TestRefusedPermitGoesBack has the owner's answer lost and the other entry
// refuse: the attempt gives up, and the owner gets the permit back.
func TestRefusedPermitGoesBack(t *testing.T) {
	s := startPermitFixture(t)
	a := attempt("1", protocol.ClassBatch)
	fingerprint := a.Call.Fingerprint()
	silent, other := s.owner(fingerprint)
	silent.setDropsReplies(true)
	assert.Assert(t, other.permits.TryAcquire(quarantine.Holder{Fingerprint: fingerprint, Attempt: "copy"}, false))
	_, err := s.sidecar.requestPermit(t.Context(), s.runner, a, time.Second)
	assert.Assert(t, err != nil)
	assert.NilError(t, other.EndPermit(&protocol.EndPermitArgs{Attempt: "copy", Fingerprint: fingerprint}, nil))
	s.awaitFree(t, fingerprint)
}

// TestHeldWhileAsking has an entry ask for a permit whose grant has not arrived.
func TestHeldWhileAsking(t *testing.T) {
	s := startPermitFixture(t)
	s.sidecar.runners = map[string]*runner{"t": s.runner}
	a := attempt("1", protocol.ClassOnline)
	owner, _ := s.owner(a.Call.Fingerprint())
	assert.Assert(t, owner.permits.TryAcquire(quarantine.Holder{Fingerprint: a.Call.Fingerprint(), Attempt: "copy"}, false))
	var asking sync.WaitGroup
	asking.Go(func() { _, _ = s.sidecar.requestPermit(t.Context(), s.runner, a, time.Second) })
	for owner.pendingPermits() < 1 {
		assert.NilError(t, t.Context().Err())
		<-time.After(time.Millisecond)
	}
	assert.Assert(t, s.holds(t, "1").Held)
	asking.Wait()
	assert.Assert(t, !s.holds(t, "1").Held, "refused")
}

// TestGivenUpQuestionRunsNoCopy has two copies ask at one sidecar while a third
// one runs, and the caller of one give up: the other copy still waits.
func TestGivenUpQuestionRunsNoCopy(t *testing.T) {
	s := startPermitFixture(t)
	a, b := attempt("1", protocol.ClassOnline), attempt("2", protocol.ClassOnline)
	fingerprint := a.Call.Fingerprint()
	owner, other := s.owner(fingerprint)
	assert.Assert(t, owner.permits.TryAcquire(quarantine.Holder{Fingerprint: fingerprint, Attempt: "copy"}, false))
	ctx, cancel := context.WithCancel(t.Context())
	var asking sync.WaitGroup
	errs := make([]error, 2)
	asking.Go(func() { _, errs[0] = s.sidecar.requestPermit(ctx, s.runner, a, time.Second) })
	asking.Go(func() { _, errs[1] = s.sidecar.requestPermit(t.Context(), s.runner, b, time.Second) })
	for owner.pendingPermits() < 2 {
		assert.NilError(t, t.Context().Err())
		<-time.After(time.Millisecond)
	}
	cancel()
	asking.Wait()
	assert.Assert(t, errs[0] != nil)
	assert.Assert(t, errorx.IsOfType(errs[1], protocol.ErrBusy), "%v", errs[1])
	assert.Equal(t, other.holders(fingerprint), 0)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkPermitBytes counts what a permit of a call that completes costs in
// bytes of payload over TCP, both ways.
func BenchmarkPermitBytes(b *testing.B) {
	s := startPermitFixture(b)
	var bytes atomic.Int64
	peers := transport.NewPeers("secret")
	b.Cleanup(peers.Close)
	peers.UseDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{conn, &bytes}, err
	})
	s.sidecar.peers, s.sidecar.entries.peers = peers, peers
	for b.Loop() {
		a := attempt(protocol.NewID(), protocol.ClassOnline)
		a.Key = protocol.NewID()
		a.Call.Body = []byte(protocol.NewID())
		p, err := s.sidecar.requestPermit(b.Context(), s.runner, a, time.Second)
		assert.NilError(b, err)
		p.completed = true
		p.release()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/permit")
}
