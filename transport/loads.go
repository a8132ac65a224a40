package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// maxDatagramBytes is the maximum size of a message between gateways and batchers.
const maxDatagramBytes = 512

// LoadReporter is implemented by a process that runs beside a target. Its methods
// must be safe for concurrent use.
type LoadReporter interface {
	// ReportLoad returns the target's load, or nil to leave the query unanswered.
	ReportLoad() *fleet.PeerLoad
	// RecordAnnouncement records that a request is about to be sent to the target.
	RecordAnnouncement()
	// RecordOutcome records what a stream of a gateway met at the target.
	RecordOutcome(outcome fleet.PeerOutcome)
	// RecordCrash records a crash for a gateway that does not reach the store.
	RecordCrash(crash fleet.PeerCrash)
}

// Datagrams sends and receives peer messages over UDP. Messages may be lost, so a
// query waits for a limited time only. It is safe for concurrent use.
type Datagrams struct {
	conn     *net.UDPConn
	reporter LoadReporter

	mu          sync.Mutex
	lastQueryID uint64
	pending     map[uint64]pendingQuery
	// outcomes holds the newest outcome for each address, which travels with the next message
	// there.
	outcomes map[string]fleet.PeerOutcome
	// pendingRates holds the calls of QueryRate that wait, by the IDs of their queries.
	pendingRates map[uint64]chan fleet.RateAnswer
	rates        atomic.Pointer[RateHandler]
}

// pendingQuery is a query that is not answered yet.
type pendingQuery struct {
	address string
	answers chan fleet.PeerLoad
}

// ListenDatagrams opens the socket at the address and serves it until Close. The
// reporter handles queries and announcements; it is nil for a process that only sends
// them.
func ListenDatagrams(address string, reporter LoadReporter) (*Datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "address %s", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "listen at %s", address)
	}
	d := &Datagrams{conn: conn, reporter: reporter, pending: map[uint64]pendingQuery{}, outcomes: map[string]fleet.PeerOutcome{}, pendingRates: map[uint64]chan fleet.RateAnswer{}}
	go d.serve()
	return d, nil
}

// Close closes the socket.
func (d *Datagrams) Close() { _ = d.conn.Close() }

func (d *Datagrams) serve() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.InfoS("datagram not received", "error", protocol.CauseOf(err))
			continue
		}
		var m fleet.PeerMessage
		if msgpack.Unmarshal(buffer[:n], &m) != nil {
			continue // not a message of this system
		}
		d.receive(m, from)
	}
}

// receive handles a message.
func (d *Datagrams) receive(m fleet.PeerMessage, from netip.AddrPort) {
	if m.RateQuery != nil || m.RateAnswer != nil {
		d.handleRateMessage(from, &m)
		return
	}
	if m.Load != nil {
		d.deliverAnswer(m)
		return
	}
	if d.reporter == nil {
		return
	}
	if m.Outcome != nil {
		d.reporter.RecordOutcome(*m.Outcome)
	}
	if m.Crash != nil {
		d.reporter.RecordCrash(*m.Crash)
	}
	switch {
	case m.Announcement:
		d.reporter.RecordAnnouncement()
	case m.QueryID != 0:
		d.answerQuery(m.QueryID, from)
	}
}

// answerQuery answers a query if the reporter has an answer.
func (d *Datagrams) answerQuery(id uint64, to netip.AddrPort) {
	load := d.reporter.ReportLoad()
	if load == nil {
		return
	}
	data, err := msgpack.Marshal(&fleet.PeerMessage{QueryID: id, Load: load})
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, to) // an answer may be lost anyway
	}
}

func (d *Datagrams) deliverAnswer(m fleet.PeerMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	query, waiting := d.pending[m.QueryID]
	if !waiting {
		return
	}
	load := *m.Load
	load.Address = query.address
	query.answers <- load // the channel has room for one answer to each query
	delete(d.pending, m.QueryID)
}

// QueryLoads queries all addresses and returns the answers that arrive within wait.
func (d *Datagrams) QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	answers := make(chan fleet.PeerLoad, len(addresses))
	ids := make([]uint64, 0, len(addresses))
	for _, address := range addresses {
		id := d.registerQuery(address, answers)
		ids = append(ids, id)
		d.send(address, fleet.PeerMessage{QueryID: id})
	}
	defer d.removeQueries(ids)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var loads []fleet.PeerLoad
	for len(loads) < len(addresses) {
		select {
		case load := <-answers:
			loads = append(loads, load)
		case <-timer.C:
			return loads
		case <-ctx.Done():
			return loads
		}
	}
	return loads
}

// AnnounceRequest announces to the address that a request is about to be sent.
func (d *Datagrams) AnnounceRequest(address string) {
	d.send(address, fleet.PeerMessage{Announcement: true})
}

// RecordCrash asks the batcher at the address to record a crash. A prompt that has more parts than a
// message takes counts by its request alone.
func (d *Datagrams) RecordCrash(address string, crash fleet.PeerCrash) {
	if data, err := msgpack.Marshal(&crash); err == nil && len(data) > maxCrashBytes {
		crash.Parts, crash.SuspectedParts = nil, nil
	}
	d.send(address, fleet.PeerMessage{Crash: &crash})
}

// maxCrashBytes is the size of a crash that leaves room for an outcome in the same message.
const maxCrashBytes = maxDatagramBytes - 192

// maxKeptOutcomes bounds the outcomes that wait for a message to their address.
const maxKeptOutcomes = 1024

// ReportOutcome tells the batcher at the address what a stream met at its target: at once
// if that is urgent, otherwise with the next message there. A later outcome replaces one
// that waits.
func (d *Datagrams) ReportOutcome(address string, outcome fleet.PeerOutcome, urgent bool) {
	d.keepOutcome(address, outcome)
	if urgent {
		d.send(address, fleet.PeerMessage{})
	}
}

func (d *Datagrams) keepOutcome(address string, outcome fleet.PeerOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outcomes) >= maxKeptOutcomes {
		clear(d.outcomes)
	}
	d.outcomes[address] = outcome
}

// takeOutcome returns the outcome that waits for a message to the address, nil if none does.
func (d *Datagrams) takeOutcome(address string) *fleet.PeerOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome, found := d.outcomes[address]
	if !found {
		return nil
	}
	delete(d.outcomes, address)
	return &outcome
}

func (d *Datagrams) registerQuery(address string, answers chan fleet.PeerLoad) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastQueryID++
	d.pending[d.lastQueryID] = pendingQuery{address, answers}
	return d.lastQueryID
}

func (d *Datagrams) removeQueries(ids []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		delete(d.pending, id)
	}
}

func (d *Datagrams) send(address string, m fleet.PeerMessage) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // the target's address is not an IP address, so no message can be sent
	}
	m.Outcome = d.takeOutcome(address)
	data, err := msgpack.Marshal(&m)
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, to) // a message may be lost anyway
	}
}
