package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// maxDatagramBytes bounds a message between gateways and batchers.
const maxDatagramBytes = 512

// LoadReporter is a process beside a target. Both methods may be called at the same time.
type LoadReporter interface {
	// ReportLoad returns the target's load, nil for no answer.
	ReportLoad() *fleet.PeerLoad
	// RecordAnnouncement notes that a request is about to be sent to the target.
	RecordAnnouncement()
}

// Datagrams sends and receives peer messages over UDP. Messages may get lost; who
// asks waits for a short time only. It is safe for concurrent use.
type Datagrams struct {
	conn     *net.UDPConn
	reporter LoadReporter

	mu          sync.Mutex
	lastQueryID uint64
	pending     map[uint64]chan fleet.PeerLoad
}

// ListenDatagrams opens the socket at the address and serves it until Close. teller
// takes what others ask and note; it is nil for a process that only asks.
func ListenDatagrams(address string, teller LoadReporter) (*Datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "address %s", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "listen at %s", address)
	}
	d := &Datagrams{conn: conn, reporter: teller, pending: map[uint64]chan fleet.PeerLoad{}}
	go d.serve()
	return d, nil
}

// Close ends receiving.
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
			continue // from another program
		}
		switch {
		case m.Load != nil:
			d.deliverAnswer(m)
		case d.reporter == nil:
		case m.Announcement:
			d.reporter.RecordAnnouncement()
		default:
			d.answerQuery(m.QueryID, from)
		}
	}
}

// answerQuery answers the question of that number, if the teller has an answer.
func (d *Datagrams) answerQuery(number uint64, to netip.AddrPort) {
	load := d.reporter.ReportLoad()
	if load == nil {
		return
	}
	data, err := msgpack.Marshal(&fleet.PeerMessage{QueryID: number, Load: load})
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, to) // an answer may get lost anyway
	}
}

func (d *Datagrams) deliverAnswer(m fleet.PeerMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if waiting := d.pending[m.QueryID]; waiting != nil {
		waiting <- *m.Load // has room for each number's one answer
		delete(d.pending, m.QueryID)
	}
}

// QueryLoads asks every address and returns the answers that come within the time.
func (d *Datagrams) QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	answers := make(chan fleet.PeerLoad, len(addresses))
	numbers := make([]uint64, 0, len(addresses))
	for _, address := range addresses {
		number := d.registerQuery(answers)
		numbers = append(numbers, number)
		d.send(address, fleet.PeerMessage{QueryID: number})
	}
	defer d.removeQueries(numbers)
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

// AnnounceRequest tells the address that a request is about to come.
func (d *Datagrams) AnnounceRequest(address string) {
	d.send(address, fleet.PeerMessage{Announcement: true})
}

func (d *Datagrams) registerQuery(answers chan fleet.PeerLoad) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastQueryID++
	d.pending[d.lastQueryID] = answers
	return d.lastQueryID
}

func (d *Datagrams) removeQueries(numbers []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, number := range numbers {
		delete(d.pending, number)
	}
}

func (d *Datagrams) send(address string, m fleet.PeerMessage) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // the target's address is no IP address: nobody is asked
	}
	data, err := msgpack.Marshal(&m)
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, to) // a message may get lost anyway
	}
}
