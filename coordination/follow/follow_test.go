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

// limit is the time within which configuration must take effect in every process.
const limit = 5 * time.Second

// reader is one process that follows the configuration stream.
type reader struct {
	path     *logservice.Path
	fold     *state.ConfigFold
	follower *follow.Follower
	group    *group
}

// group implements follow.Peers. Every other reader is an authority.
type group struct {
	peers    map[string]*reader
	tailsLog bool
	// rewrite replaces the replies of peers, if set.
	rewrite atomic.Pointer[replyRewriter]
}

// replyRewriter replaces the reply of a peer.
type replyRewriter func(protocol.ReadLogReply) protocol.ReadLogReply

// refuse replaces a reply by that of a peer that cannot serve reads.
func refuse(protocol.ReadLogReply) protocol.ReadLogReply {
	return protocol.ReadLogReply{Problem: protocol.ProblemOf(protocol.ErrBusy.New("cut"))}
}

func (g *group) setRewrite(r replyRewriter) { g.rewrite.Store(&r) }

func (g *group) Addresses() []string {
	var all []string
	for name := range g.peers {
		all = append(all, name)
	}
	return all
}

func (g *group) Authorities() []string { return g.Addresses() }
func (g *group) Listed() bool          { return true }
func (g *group) TailsLog() bool        { return g.tailsLog }

func (g *group) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	reply := g.peers[addr].follower.Serve(ctx, &args)
	if rewrite := g.rewrite.Load(); rewrite != nil {
		reply = (*rewrite)(reply)
	}
	return reply, nil
}

func newReader(log *logservice.Service, recentBytes int) *reader {
	r := &reader{path: logservice.NewPath(log), fold: state.NewConfigFold(), group: &group{peers: map[string]*reader{}, tailsLog: true}}
	r.follower = follow.New(follow.Params{Stream: "s", Source: r.path, Peers: r.group, RecentBytes: recentBytes}, r.fold)
	return r
}

// run starts the readers and stops them at the end of the test.
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

// sleep waits for d of virtual time.
func sleep(d time.Duration) { <-time.After(d) }

func TestPeerReplacesLostLog(t *testing.T) {
	for name, lost := range map[string]logservice.PathState{"cut": logservice.PathDown, "silent": logservice.PathUnresponsive} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{})
				a, b := newReader(log, 0), newReader(log, 0)
				b.group.peers["a"], a.group.peers["b"] = a, b
				run(t, a, b)
				b.mustReach(t, appendDrain(t, log, "one"))
				b.path.Set(lost)
				for _, name := range []string{"two", "three", "four"} {
					b.mustReach(t, appendDrain(t, log, name))
				}
				sleep(time.Minute)
				assert.NilError(t, b.follower.CheckAge(limit))
			})
		})
	}
}

// TestUnknownAgeFailsCheck checks that a reader that reaches neither the log nor a
// process that acknowledges records does not count as current.
func TestUnknownAgeFailsCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a, b := newReader(log, 0), newReader(log, 0)
		b.group.peers["a"] = a
		run(t, a, b)
		b.mustReach(t, appendDrain(t, log, "one"))
		b.path.Set(logservice.PathUnresponsive)
		b.group.setRewrite(refuse)
		sleep(10 * time.Second)
		assert.Assert(t, errorx.IsOfType(b.follower.CheckAge(limit), protocol.ErrBusy))
		assert.NilError(t, a.follower.CheckAge(limit))
	})
}

func TestNewReaderDuringOutage(t *testing.T) {
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
				b.group.peers["a"] = a
				run(t, b)
				b.mustReach(t, last)
				sleep(time.Minute)
				assert.NilError(t, b.follower.CheckAge(limit))
				assert.DeepEqual(t, a.fold.Current().Objects(), b.fold.Current().Objects())
			})
		})
	}
}

// TestInvalidPeerReplies checks that entries after a gap, and a snapshot with a wrong
// hash, are not applied.
func TestInvalidPeerReplies(t *testing.T) {
	rewriters := map[string]replyRewriter{
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
	for name, rewrite := range rewriters {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{})
				a, b := newReader(log, 0), newReader(log, 0)
				b.group.peers["a"] = a
				b.group.setRewrite(rewrite)
				run(t, a, b)
				first := appendDrain(t, log, "one")
				b.mustReach(t, first)
				b.path.Set(logservice.PathDown)
				sleep(limit)
				appendDrain(t, log, "two")
				a.mustReach(t, appendDrain(t, log, "three"))
				sleep(limit)
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

// TestExpiredReader disconnects a reader from the log for longer than the
// retention. It must restart from a snapshot, and without one it must not apply
// further entries.
func TestExpiredReader(t *testing.T) {
	for _, withSnapshot := range []bool{true, false} {
		t.Run(map[bool]string{true: "snapshot", false: "none"}[withSnapshot], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(logservice.Params{Retention: retention})
				a, b := newReader(log, 1), newReader(log, 1)
				run(t, a, b)
				b.mustReach(t, appendDrain(t, log, "one"))
				b.path.Set(logservice.PathDown)
				sleep(limit) // the read in progress ends
				a.mustReach(t, appendDrain(t, log, "two"))
				sleep(retention / 2)
				if withSnapshot {
					records, err := a.follower.SnapshotRecords(time.Now(), 16)
					assert.NilError(t, err)
					assert.Assert(t, len(records) > 1)
					for _, rec := range records {
						appendRecords(t, log, rec)
					}
				}
				last := appendDrain(t, log, "three")
				sleep(retention * 3 / 4)
				b.path.Set(logservice.PathOpen)
				if withSnapshot {
					b.mustReach(t, last)
					assert.DeepEqual(t, a.fold.Current().Objects(), b.fold.Current().Objects())
					return
				}
				sleep(retention)
				assert.Equal(t, len(b.fold.Current().Objects()), 1)
				assert.Assert(t, errorx.IsOfType(b.follower.CheckAge(limit), protocol.ErrBusy))
			})
		})
	}
}

// TestAgeCountsFromRequest delays the answers of the log: the age must count from
// the time of the request, not from the arrival of the answer.
func TestAgeCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a := newReader(log, 0)
		a.group.tailsLog = true
		run(t, a)
		a.mustReach(t, appendDrain(t, log, "one"))
		log.SetFaults(logservice.Faults{DelayMillis: 1500})
		sleep(20 * time.Second)
		assert.Assert(t, a.follower.Age() >= 1500*time.Millisecond)
	})
}

// TestReaderWithoutPeers checks that a process that reads from peers reads the log
// itself once its peers fail.
func TestReaderWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{})
		a, b := newReader(log, 0), newReader(log, 0)
		b.group.peers["a"], b.group.tailsLog = a, false
		run(t, a)
		a.mustReach(t, appendDrain(t, log, "one"))
		b.path.Set(logservice.PathDown)
		run(t, b)
		b.mustReach(t, appendDrain(t, log, "two"))
		b.path.Set(logservice.PathOpen)
		b.group.setRewrite(refuse)
		b.mustReach(t, appendDrain(t, log, "three"))
	})
}
