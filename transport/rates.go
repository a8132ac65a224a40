package transport

import (
	"context"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// rateQueryTimeout is how long a query about a rate waits for its answer: a small part of the
// objectives of callers. rateRepeats are the times at which it is sent again until then.
const rateQueryTimeout = 90 * time.Millisecond

var rateRepeats = []time.Duration{15 * time.Millisecond, 40 * time.Millisecond}

// RateHandler handles messages about rates. Its methods must be safe for concurrent use
// and return without delay.
type RateHandler interface {
	// HandleRateQuery answers a query of the process at the address from. It returns false if
	// there is nothing to answer.
	HandleRateQuery(from string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool)
	// HandleRateAnswer takes an answer that no call of QueryRate waits for.
	HandleRateAnswer(from string, id uint64, a fleet.RateAnswer)
}

// HandleRates makes the handler answer queries about rates from now on.
func (d *Datagrams) HandleRates(h RateHandler) { d.rates.Store(&h) }

// QueryRate sends the query until it is answered, and returns false if it is not. The ID must
// be unique among the queries of this process.
func (d *Datagrams) QueryRate(ctx context.Context, address string, id uint64, q fleet.RateQuery) (fleet.RateAnswer, bool) {
	answer := make(chan fleet.RateAnswer, 1)
	d.mu.Lock()
	d.pendingRates[id] = answer
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.pendingRates, id)
		d.mu.Unlock()
	}()
	begun := time.Now()
	for sent := 0; ; sent++ {
		d.SendRateQuery(address, id, q)
		next := rateQueryTimeout
		if sent < len(rateRepeats) {
			next = rateRepeats[sent]
		}
		timer := time.NewTimer(next - time.Since(begun))
		select {
		case a := <-answer:
			timer.Stop()
			return a, true
		case <-ctx.Done():
			timer.Stop()
			return fleet.RateAnswer{}, false
		case <-timer.C:
		}
		if sent >= len(rateRepeats) {
			return fleet.RateAnswer{}, false
		}
	}
}

// SendRateQuery sends the query once. Its answer goes to the RateHandler.
func (d *Datagrams) SendRateQuery(address string, id uint64, q fleet.RateQuery) {
	d.send(address, fleet.PeerMessage{QueryID: id, RateQuery: &q})
}

// handleRateMessage handles a query or an answer about a rate.
func (d *Datagrams) handleRateMessage(from netip.AddrPort, m *fleet.PeerMessage) {
	if m.RateAnswer != nil {
		d.deliverRateAnswer(from, m)
		return
	}
	h := d.rates.Load()
	if h == nil {
		return
	}
	answer, answered := (*h).HandleRateQuery(from.String(), m.QueryID, *m.RateQuery)
	if !answered {
		return
	}
	data, err := msgpack.Marshal(&fleet.PeerMessage{QueryID: m.QueryID, RateAnswer: &answer})
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, from) // an answer may be lost anyway
	}
}

func (d *Datagrams) deliverRateAnswer(from netip.AddrPort, m *fleet.PeerMessage) {
	d.mu.Lock()
	waiting := d.pendingRates[m.QueryID]
	delete(d.pendingRates, m.QueryID)
	d.mu.Unlock()
	if waiting != nil {
		waiting <- *m.RateAnswer // the channel has room for the one answer
		return
	}
	if h := d.rates.Load(); h != nil {
		(*h).HandleRateAnswer(from.String(), m.QueryID, *m.RateAnswer)
	}
}
