package transport

import (
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// rateOwner is a RateHandler that leaves the first queries unanswered.
type rateOwner struct {
	mu      sync.Mutex
	ignored int
	ids     map[uint64]int
	answers []fleet.RateAnswer
}

func (o *rateOwner) HandleRateQuery(_ string, id uint64, _ fleet.RateQuery) (fleet.RateAnswer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids[id]++
	if o.ignored > 0 {
		o.ignored--
		return fleet.RateAnswer{}, false
	}
	return fleet.RateAnswer{Verdict: fleet.RateExceeded, Tokens: 0.25, RetryAfter: 75 * time.Millisecond}, true
}

func (o *rateOwner) HandleRateAnswer(_ string, _ uint64, a fleet.RateAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, a)
}

// TestRateQueryIsRepeated loses the first two copies of a query. The third must be sent under
// the same ID, so that it is counted once, and its answer be returned.
func TestRateQueryIsRepeated(t *testing.T) {
	owner := &rateOwner{ignored: 2, ids: map[uint64]int{}}
	there, here := listenDatagrams(t, nil), listenDatagrams(t, nil)
	there.HandleRates(owner)
	a, answered := here.QueryRate(t.Context(), there.address(), 7, fleet.RateQuery{Kind: fleet.RateAsk, Workspace: "w", PerSecond: 1})
	assert.Assert(t, answered)
	assert.DeepEqual(t, a, fleet.RateAnswer{Verdict: fleet.RateExceeded, Tokens: 0.25, RetryAfter: 75 * time.Millisecond})
	assert.Equal(t, owner.ids[7], 3)
	assert.Equal(t, len(here.pendingRates), 0)
}

// TestSilentOwnerIsGivenUp queries a gateway that is gone: the request must not wait for it.
func TestSilentOwnerIsGivenUp(t *testing.T) {
	here := listenDatagrams(t, nil)
	_, answered := here.QueryRate(t.Context(), "127.0.0.1:1", 7, fleet.RateQuery{Kind: fleet.RateAsk})
	assert.Assert(t, !answered)
	assert.Equal(t, len(here.pendingRates), 0)
}

// earlierMessage is a message as builds without rates know it.
type earlierMessage struct {
	QueryID      uint64          `msgpack:"n"`
	Announcement bool            `msgpack:"c,omitempty"`
	Load         *fleet.PeerLoad `msgpack:"l,omitempty"`
}

// TestRateMessagesInEarlierBuild reads messages about rates with an earlier build, which must
// not take them for another message, and checks that they fit into a datagram.
func TestRateMessagesInEarlierBuild(t *testing.T) {
	name := string(make([]byte, fleet.MaxRateKeyBytes))
	for _, m := range []fleet.PeerMessage{
		{QueryID: 1 << 63, RateQuery: &fleet.RateQuery{Kind: fleet.RateAsk, Workspace: name, PerSecond: 1e8 + 0.5, Burst: 1e8 + 0.5, Version: 1 << 62, Deputy: true, AskID: 1 << 63}},
		{QueryID: 1 << 63, RateAnswer: &fleet.RateAnswer{Verdict: fleet.RateElsewhere, Tokens: 0.5, RetryAfter: time.Hour, Owner: "255.255.255.255:65535", Deputy: true}},
	} {
		data, err := msgpack.Marshal(&m)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= maxDatagramBytes, "%d bytes", len(data))
		var earlier earlierMessage
		assert.NilError(t, msgpack.Unmarshal(data, &earlier))
		assert.DeepEqual(t, earlier, earlierMessage{QueryID: 1 << 63})
	}
}
