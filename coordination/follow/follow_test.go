package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const retention = time.Minute

// limit is the time within which configuration must be in force everywhere.
const limit = 5 * time.Second

// reader is one process that follows the configuration stream.
type reader struct {
	path     *logservice.Path
	fold     *state.ConfigFold
	follower *follow.Follower
	group    *group
}

// group links readers as peers; every other reader is an authority.
type group struct {
	others map[string]*reader
	tails  bool
	// forge replaces replies, where set.
	forge atomic.Pointer[forgery]
}

type forgery func(protocol.ReadLogReply) protocol.ReadLogReply

// refuse forges the answer of a peer that cannot be reached.
func refuse(protocol.ReadLogReply) protocol.ReadLogReply {
	return protocol.ReadLogReply{Problem: protocol.ProblemOf(protocol.ErrBusy.New("cut"))}
}

func (g *group) setForge(f forgery) { g.forge.Store(&f) }

func (g *group) Addresses() []string {
	var all []string
	for name := range g.others {
		all = append(all, name)
	}
	return all
}

func (g *group) Authorities() []string { return g.Addresses() }
func (g *group) Listed() bool          { return true }
func (g *group) TailsLog() bool        { return g.tails }

func (g *group) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	reply := g.others[addr].follower.Serve(ctx, &args)
	if forge := g.forge.Load(); forge != nil {
		reply = (*forge)(reply)
	}
	return reply, nil
}

func newReader(log *logservice.Service, recentBytes int) *reader {
	r := &reader{path: logservice.NewPath(log), fold: state.NewConfigFold(), group: &group{others: map[string]*reader{}, tails: true}}
	r.follower = follow.New(follow.Params{Stream: "s", Source: r.path, Peers: r.group, RecentBytes: recentBytes}, r.fold)
	return r
}

// run starts readers and stops them at the end of the test.
func run(t *testing.T, readers ...*reader) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, len(readers))
	for _, r := range readers {
		go func() {
			_ = r.follower.Run(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range readers {
			<-done
		}
	})
}

func appendDrain(t *testing.T, log *logservice.Service, name string) uint64 {
	t.Helper()
	o := protocol.Object{Kind: protocol.KindDrain, Name: name, Drain: &protocol.Drain{}}
	return appendRecords(t, log, protocol.Record{ID: name, Change: &protocol.Change{Objects: []protocol.Object{o}}})
}

func appendRecords(t *testing.T, log *logservice.Service, records ...protocol.Record) uint64 {
	t.Helper()
	data, err := protocol.EncodeBatch(records)
	assert.NilError(t, err)
	offset, err := log.Append(t.Context(), "s", data)
	assert.NilError(t, err)
	return offset
}

func (r *reader) mustReach(t *testing.T, offset uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	assert.NilError(t, r.follower.WaitFor(ctx, offset))
}

// pass lets virtual time go by.
func pass(d time.Duration) { <-time.After(d) }

func TestPeerReplacesLostPath(t *testing.T) {
	for name, lost := range map[string]logservice.PathState{"cut": logservice.PathCut, "silent": logservice.PathSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{})
				a, b := newReader(log, 0), newReader(log, 0)
				b.group.others["a"], a.group.others["b"] = a, b
				run(t, a, b)
				b.mustReach(t, appendDrain(t, log, "one"))
				b.path.Set(lost)
				for _, name := range []string{"two", "three", "four"} {
					b.mustReach(t, appendDrain(t, log, name))
				}
				pass(time.Minute)
				assert.NilError(t, b.follower.CheckAge(limit))
			})
		})
	}
}

// TestUnknownAgeIsNotReady cuts a reader from the log and from a process that
// acknowledges records: it must not pass for current.
func TestUnknownAgeIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a, b := newReader(log, 0), newReader(log, 0)
		b.group.others["a"] = a
		run(t, a, b)
		b.mustReach(t, appendDrain(t, log, "one"))
		b.path.Set(logservice.PathSilent)
		b.group.setForge(refuse)
		pass(10 * time.Second)
		assert.Assert(t, errorx.IsOfType(b.follower.CheckAge(limit), protocol.ErrBusy))
		assert.NilError(t, a.follower.CheckAge(limit))
	})
}

func TestFreshReaderInOutage(t *testing.T) {
	for name, recentBytes := range map[string]int{"entries": 0, "snapshot": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{})
				a := newReader(log, recentBytes)
				run(t, a)
				appendDrain(t, log, "one")
				last := appendDrain(t, log, "two")
				a.mustReach(t, last)
				log.SetFaults(logservice.Faults{Outage: true})
				b := newReader(log, 0)
				b.group.others["a"] = a
				run(t, b)
				b.mustReach(t, last)
				pass(time.Minute)
				assert.NilError(t, b.follower.CheckAge(limit))
				assert.DeepEqual(t, a.fold.Current().Objects(), b.fold.Current().Objects())
			})
		})
	}
}

// TestForgedPeerEntries checks that entries which do not follow on, and a
// snapshot with a wrong hash, are not taken.
func TestForgedPeerEntries(t *testing.T) {
	forgeries := map[string]forgery{
		"gap": func(r protocol.ReadLogReply) protocol.ReadLogReply {
			if len(r.Entries) > 0 {
				r.Entries = r.Entries[1:]
			}
			return r
		},
		"hash": func(r protocol.ReadLogReply) protocol.ReadLogReply {
			r.Entries, r.Snapshot, r.Sum = nil, []byte("x"), "y"
			return r
		},
	}
	for name, forge := range forgeries {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{})
				a, b := newReader(log, 0), newReader(log, 0)
				b.group.others["a"] = a
				b.group.setForge(forge)
				run(t, a, b)
				first := appendDrain(t, log, "one")
				b.mustReach(t, first)
				b.path.Set(logservice.PathCut)
				pass(limit)
				appendDrain(t, log, "two")
				a.mustReach(t, appendDrain(t, log, "three"))
				pass(limit)
				if name == "hash" {
					assert.Equal(t, b.follower.Folded(), first)
				}
				for _, o := range b.fold.Current().Objects() {
					assert.Assert(t, o.Name != "three" || len(b.fold.Current().Objects()) == 3)
				}
				b.path.Set(logservice.PathOpen)
				b.mustReach(t, a.follower.Folded())
				assert.DeepEqual(t, a.fold.Current().Objects(), b.fold.Current().Objects())
			})
		})
	}
}

// TestExpiredReader freezes a reader past the retention: it must start again
// from a snapshot, and without one it must not go on at all.
func TestExpiredReader(t *testing.T) {
	for _, withSnapshot := range []bool{true, false} {
		t.Run(map[bool]string{true: "snapshot", false: "none"}[withSnapshot], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{Retention: retention})
				a, b := newReader(log, 1), newReader(log, 1)
				run(t, a, b)
				b.mustReach(t, appendDrain(t, log, "one"))
				b.path.Set(logservice.PathCut)
				pass(limit) // the read in progress ends
				a.mustReach(t, appendDrain(t, log, "two"))
				pass(retention / 2)
				if withSnapshot {
					records, err := a.follower.SnapshotRecords(time.Now(), 16)
					assert.NilError(t, err)
					assert.Assert(t, len(records) > 1)
					for _, rec := range records {
						appendRecords(t, log, rec)
					}
				}
				last := appendDrain(t, log, "three")
				pass(retention * 3 / 4)
				b.path.Set(logservice.PathOpen)
				if withSnapshot {
					b.mustReach(t, last)
					assert.DeepEqual(t, a.fold.Current().Objects(), b.fold.Current().Objects())
					return
				}
				pass(retention)
				assert.Equal(t, len(b.fold.Current().Objects()), 1)
				assert.Assert(t, errorx.IsOfType(b.follower.CheckAge(limit), protocol.ErrBusy))
			})
		})
	}
}

// TestFrozenReplyIsNotCurrent delays an answer: the age counts from the request,
// not from the answer's arrival.
func TestFrozenReplyIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a := newReader(log, 0)
		a.group.tails = true
		run(t, a)
		a.mustReach(t, appendDrain(t, log, "one"))
		log.SetFaults(logservice.Faults{DelayMillis: 1500})
		pass(20 * time.Second)
		assert.Assert(t, a.follower.Age() >= 1500*time.Millisecond)
	})
}

func TestReaderBehindPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a, b := newReader(log, 0), newReader(log, 0)
		b.group.others["a"], b.group.tails = a, false
		run(t, a)
		a.mustReach(t, appendDrain(t, log, "one"))
		b.path.Set(logservice.PathCut)
		run(t, b)
		b.mustReach(t, appendDrain(t, log, "two"))
		b.path.Set(logservice.PathOpen)
		b.group.setForge(refuse)
		b.mustReach(t, appendDrain(t, log, "three"))
	})
}
