package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// rateNetwork carries messages about rates between gateways.
type rateNetwork struct {
	mu    sync.Mutex
	rates map[string]*gateway.Rates
}

func (n *rateNetwork) at(address string) *gateway.Rates {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rates[address]
}

// rateLink is one gateway's end of the network.
type rateLink struct {
	network *rateNetwork
	address string
}

func (l rateLink) QueryRate(_ context.Context, address string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool) {
	for range 3 {
		if to := l.network.at(address); to != nil {
			if a, answered := to.HandleRateQuery(l.address, id, q); answered {
				return a, true
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	return fleet.RateAnswer{}, false
}

func (l rateLink) SendRateQuery(address string, id uint64, q fleet.RateQuery) {
	go func() {
		to, from := l.network.at(address), l.network.at(l.address)
		if to == nil || from == nil {
			return
		}
		if a, answered := to.HandleRateQuery(l.address, id, q); answered {
			from.HandleRateAnswer(address, id, a)
		}
	}()
}

// limited is a workspace with a rate: 10 a second and 10 more, in any 5 s, with a tolerance of
// 10% and 5.
var limited = &fleet.Workspace{Name: "limited", Rate: fleet.Rate{PerSecond: 10, Burst: 10}}

// limitedInWindow is what may run of limited in 5 s.
const limitedInWindow = 60 + 6 + 5

// startLimited starts gateways of a configuration in which limited has a rate, and connects
// them. They have decided about rates for a while when it returns.
func startLimited(t *testing.T, store *fleetstore.Store, network *rateNetwork, names ...string) (list []*fixture) {
	t.Helper()
	keys := map[fleet.Key]*fleet.Workspace{"key": limited}
	for i, name := range names {
		address := fmt.Sprintf("10.0.0.%d", len(network.rates)+i+1)
		f := &fixture{t: t, store: store, sender: &sender{}, ended: &sync.Map{}}
		f.Gateway = gateway.New(gateway.Params{
			Node: &fleet.Node{
				Name: name, Address: address, PeerPort: "7660", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults,
				QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 5, ProcessorShare: 0.5,
			},
			Store: store, Sender: f.sender, Decoder: versions{keyrings: map[int64]map[fleet.Key]*fleet.Workspace{1: keys}},
			RateMessages: rateLink{network, address + ":7660"},
		})
		network.mu.Lock()
		network.rates[address+":7660"] = f.Rates()
		network.mu.Unlock()
		f.Start()
		list = append(list, f)
	}
	time.Sleep(10 * time.Second)
	return list
}

// serveLimited sends a request of limited, which a target answers if answered is set and refuses
// otherwise, and returns whether it was admitted.
func (s *fixture) serveLimited(answered bool) (admitted bool, err error) {
	s.sender.mu.Lock()
	s.sender.steps, s.sender.sent = nil, nil
	if answered {
		s.sender.steps = []step{{events: events(1, 3)}}
	}
	s.sender.mu.Unlock()
	r := &fleet.Request{ID: "r", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: 5 * time.Second, Workspace: limited, Key: "key"}
	err = s.Serve(context.Background(), routes["unsafe"], r, &sink{})
	s.sender.mu.Lock()
	defer s.sender.mu.Unlock()
	return len(s.sender.sent) > 0, err
}

// TestRateOfAllGateways sends a workspace's requests to three gateways in turn, more than its
// rate allows. Gateways that each keep a rate of their own admit three times as many, and those
// that keep a third of it refuse requests although the others have some left.
func TestRateOfAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &rateNetwork{rates: map[string]*gateway.Rates{}}
		list := startLimited(t, newStore(t), network, "a", "b", "c")
		for range 10 { // the burst, all at one gateway
			admitted, _ := list[1].serveLimited(true)
			assert.Assert(t, admitted)
		}
		admissions := 10
		for i := range 300 {
			admitted, err := list[i%3].serveLimited(true)
			if admitted {
				admissions++
				continue
			}
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrQuotaExceeded), "%v", err)
			assert.Assert(t, fleet.RetryAfterOf(err) > 0 && fleet.RetryAfterOf(err) <= 5*time.Second)
			time.Sleep(15 * time.Millisecond)
		}
		assert.Assert(t, admissions > 50 && admissions <= limitedInWindow, "%d admitted", admissions)
		for _, f := range list {
			f.stop()
		}
	})
}

// TestRefusedRequestsLoseNoCredit sends requests that are admitted and then refused by all targets
// without having run. Each must give its credit back, or the workspace is refused below its rate.
func TestRefusedRequestsLoseNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &rateNetwork{rates: map[string]*gateway.Rates{}}
		list := startLimited(t, newStore(t), network, "a", "b", "c")
		for i := range 100 {
			_, err := list[i%3].serveLimited(false)
			assert.Assert(t, !errorx.IsOfType(err, fleet.ErrQuotaExceeded), "request %d: %v", i, err)
			time.Sleep(time.Millisecond) // lets the message arrive that returns the credit
		}
		for _, f := range list {
			f.stop()
		}
	})
}

// TestNoPresenceWithoutRates starts a gateway whose configuration has no rates: it must write
// nothing to the work log.
func TestNoPresenceWithoutRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		f := startGateway(t, store)
		time.Sleep(10 * time.Second)
		page, err := store.Read(t.Context(), fleet.TopicWork, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Records), 0)
		f.stop()
	})
}
