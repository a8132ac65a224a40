package follow_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/state"
)

// newChain returns a reader of the log, one that reads from it, and one that
// reads from that, with the waits of an entry.
func newChain(log *logservice.Service) []*reader {
	var chain []*reader
	for i := range 3 {
		r := &reader{path: logservice.NewPath(log), fold: state.NewConfigFold(), group: &group{others: map[string]*reader{}, tails: i == 0}}
		if i > 0 {
			r.group.others["before"] = chain[i-1]
		}
		params := follow.Params{Stream: "s", Source: r.path, Peers: r.group, PollWait: protocol.PullStaleness / 4}
		r.follower = follow.New(params, r.fold)
		chain = append(chain, r)
	}
	return chain
}

// TestStalenessThroughPeers: a process that reads from a peer only knows how old
// its fold is, so an entry that does not read the log itself hands out items.
func TestStalenessThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: retention})
		chain := newChain(log)
		run(t, chain...)
		chain[2].mustReach(t, appendDrain(t, log, "a"))
		pass(protocol.PullStaleness)
		for range 100 {
			pass(73 * time.Millisecond)
			stale := chain[1].follower.Staleness()
			assert.Assert(t, stale < protocol.PullStaleness, "stale for %v behind one peer", stale)
		}
	})
}

// TestStalenessGrowsWithoutTheLog: no process that the log has not proved
// current takes itself for current, however often its peers answer.
func TestStalenessGrowsWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: retention})
		chain := newChain(log)
		run(t, chain...)
		chain[2].mustReach(t, appendDrain(t, log, "a"))
		pass(time.Second)
		for _, r := range chain {
			r.path.Set(logservice.PathSilent)
		}
		cut := time.Now()
		pass(5 * time.Second)
		for i, r := range chain {
			assert.Assert(t, r.follower.Staleness() >= time.Since(cut), "reader %d: stale for %v, cut for %v", i, r.follower.Staleness(), time.Since(cut))
		}
	})
}
