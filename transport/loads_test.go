package transport

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

func listenDatagrams(t *testing.T, reporter LoadReporter) *Datagrams {
	t.Helper()
	d, err := ListenDatagrams("127.0.0.1:0", reporter)
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

func (d *Datagrams) address() string { return d.conn.LocalAddr().String() }

// busyTarget is a LoadReporter with a fixed load that counts announcements.
type busyTarget struct {
	announced atomic.Int32
	outcomes  atomic.Int32
	// crashes, if set, gets the crashes.
	crashes chan fleet.PeerCrash
}

func (b *busyTarget) ReportLoad() *fleet.PeerLoad { return &fleet.PeerLoad{Target: "t1", Online: 3} }

func (b *busyTarget) RecordAnnouncement() { b.announced.Add(1) }

func (b *busyTarget) RecordOutcome(fleet.PeerOutcome) { b.outcomes.Add(1) }

func (b *busyTarget) RecordCrash(c fleet.PeerCrash) { b.crashes <- c }

// silentTarget is a LoadReporter that answers no query.
type silentTarget struct{ busyTarget }

func (*silentTarget) ReportLoad() *fleet.PeerLoad { return nil }

// TestQueryLoads queries a process that answers, one that does not, an address without
// a socket and an invalid address. The one answer must be returned within the wait.
func TestQueryLoads(t *testing.T) {
	const wait = 300 * time.Millisecond
	target := &busyTarget{}
	batcher := listenDatagrams(t, target)
	silent := listenDatagrams(t, &silentTarget{})
	gateway := listenDatagrams(t, nil)
	junk, err := net.Dial("udp4", batcher.address())
	assert.NilError(t, err)
	_, err = junk.Write([]byte("not a message"))
	assert.NilError(t, err)
	assert.NilError(t, junk.Close())

	begun := time.Now()
	loads := gateway.QueryLoads(t.Context(), []string{batcher.address()}, 10*time.Second)
	assert.DeepEqual(t, loads, []fleet.PeerLoad{{Target: "t1", Online: 3, Address: batcher.address()}})
	assert.Assert(t, time.Since(begun) < 5*time.Second, "QueryLoads waited although all addresses had answered")
	loads = gateway.QueryLoads(t.Context(), []string{silent.address(), batcher.address(), "127.0.0.1:1", "no address"}, wait)
	assert.DeepEqual(t, loads, []fleet.PeerLoad{{Target: "t1", Online: 3, Address: batcher.address()}})
	assert.Equal(t, len(gateway.pending), 0, "pending queries are removed")

	gateway.AnnounceRequest(batcher.address())
	for deadline := time.Now().Add(5 * time.Second); target.announced.Load() == 0 && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
	assert.Equal(t, target.announced.Load(), int32(1))
}

// TestCrashesReachTheBatcher guards against crashes that get lost on the way to a batcher, since a prompt has more
// parts than a message takes: the request itself must count all the same.
func TestCrashesReachTheBatcher(t *testing.T) {
	target := &busyTarget{crashes: make(chan fleet.PeerCrash, 1)}
	batcher, gateway := listenDatagrams(t, target), listenDatagrams(t, nil)
	small := fleet.PeerCrash{Fingerprint: "f", Target: "t@1", Produced: true, Parts: []string{"a", "b"}, SuspectedParts: []string{"b"}}
	gateway.RecordCrash(batcher.address(), small)
	assert.DeepEqual(t, <-target.crashes, small)
	large := small
	for i := range 100 {
		large.Parts = append(large.Parts, fmt.Sprintf("%016x", i))
	}
	gateway.ReportOutcome(batcher.address(), fleet.PeerOutcome{Target: "t1"}, false)
	gateway.RecordCrash(batcher.address(), large)
	assert.DeepEqual(t, <-target.crashes, fleet.PeerCrash{Fingerprint: "f", Target: "t@1", Produced: true})
	gateway.RecordCrash("no address", small)
}

// TestOutcomesTravelWithMessages reports what streams met at a target: an outcome must take
// no message of its own unless it is urgent, and must arrive once.
func TestOutcomesTravelWithMessages(t *testing.T) {
	target := &busyTarget{}
	batcher := listenDatagrams(t, target)
	gateway := listenDatagrams(t, nil)
	query := func() { gateway.QueryLoads(t.Context(), []string{batcher.address()}, 10*time.Second) }
	for range 3 {
		gateway.ReportOutcome(batcher.address(), fleet.PeerOutcome{Target: "t1", StepMicros: 900}, false)
	}
	query()
	query()
	assert.Equal(t, target.outcomes.Load(), int32(1))
	gateway.ReportOutcome(batcher.address(), fleet.PeerOutcome{Target: "t1", StepMicros: 900}, true)
	query()
	assert.Equal(t, target.outcomes.Load(), int32(2))
	assert.Equal(t, target.announced.Load(), int32(0))
}
