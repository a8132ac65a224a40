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

// newChain returns three readers, with the poll wait of an entry: one that tails
// the log, one that reads from the first and one that reads from the second.
func newChain(log *logservice.Service) []*reader {
	var chain []*reader
	for i := range 3 {
		r := &reader{path: logservice.NewPath(log), fold: state.NewConfigFold(), group: &group{peers: map[string]*reader{}, tailsLog: i == 0}}
		if i > 0 {
			r.group.peers["before"] = chain[i-1]
		}
		params := follow.Params{Stream: "s", Source: r.path, Peers: r.group, PollWait: protocol.PullStaleness / 4}
		r.follower = follow.New(params, r.fold)
		chain = append(chain, r)
	}
	return chain
}

// TestStalenessThroughPeers checks that a process that reads only from a peer knows
// the staleness of its folds, which lets an entry assign items without reading the
// log itself.
func TestStalenessThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: retention})
		chain := newChain(log)
		run(t, chain...)
		chain[2].mustReach(t, appendDrain(t, log, "a"))
		sleep(protocol.PullStaleness)
		for range 100 {
			sleep(73 * time.Millisecond)
			stale := chain[1].follower.Staleness()
			assert.Assert(t, stale < protocol.PullStaleness, "staleness %v behind one peer", stale)
		}
	})
}

// TestStalenessGrowsWithoutLog checks that answers of peers do not lower a process's
// staleness while none of them can read the log.
func TestStalenessGrowsWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Params{Retention: retention})
		chain := newChain(log)
		run(t, chain...)
		chain[2].mustReach(t, appendDrain(t, log, "a"))
		sleep(time.Second)
		for _, r := range chain {
			r.path.Set(logservice.PathUnresponsive)
		}
		disconnected := time.Now()
		sleep(5 * time.Second)
		for i, r := range chain {
			assert.Assert(t, r.follower.Staleness() >= time.Since(disconnected), "reader %d: staleness %v, disconnected for %v", i, r.follower.Staleness(), time.Since(disconnected))
		}
	})
}
