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

// LoadTeller is a process beside a target. Both methods may be called at the same time.
type LoadTeller interface {
	// TellLoad returns the target's load, nil for no answer.
	TellLoad() *fleet.PeerLoad
	// NoteComing notes that a request is about to be sent to the target.
	NoteComing()
}

// Datagrams sends and receives peer messages over UDP. Messages may get lost; who
// asks waits for a short time only. It is safe for concurrent use.
type Datagrams struct {
	conn   *net.UDPConn
	teller LoadTeller

	mu     sync.Mutex
	number uint64
	asked  map[uint64]chan fleet.PeerLoad
}

// ListenDatagrams opens the socket at the address and serves it until Close. teller
// takes what others ask and note; it is nil for a process that only asks.
func ListenDatagrams(address string, teller LoadTeller) (*Datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "address %s", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "listen at %s", address)
	}
	d := &Datagrams{conn: conn, teller: teller, asked: map[uint64]chan fleet.PeerLoad{}}
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
			d.deliver(m)
		case d.teller == nil:
		case m.Announcement:
			d.teller.NoteComing()
		default:
			d.answer(m.QueryID, from)
		}
	}
}

// answer answers the question of that number, if the teller has an answer.
func (d *Datagrams) answer(number uint64, to netip.AddrPort) {
	load := d.teller.TellLoad()
	if load == nil {
		return
	}
	data, err := msgpack.Marshal(&fleet.PeerMessage{QueryID: number, Load: load})
	if err == nil {
		_, _ = d.conn.WriteToUDPAddrPort(data, to) // an answer may get lost anyway
	}
}

func (d *Datagrams) deliver(m fleet.PeerMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if waiting := d.asked[m.QueryID]; waiting != nil {
		waiting <- *m.Load // has room for each number's one answer
		delete(d.asked, m.QueryID)
	}
}

// QueryLoads asks every address and returns the answers that come within the time.
func (d *Datagrams) QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	answers := make(chan fleet.PeerLoad, len(addresses))
	numbers := make([]uint64, 0, len(addresses))
	for _, address := range addresses {
		number := d.expect(answers)
		numbers = append(numbers, number)
		d.send(address, fleet.PeerMessage{QueryID: number})
	}
	defer d.forget(numbers)
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

func (d *Datagrams) expect(answers chan fleet.PeerLoad) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	d.asked[d.number] = answers
	return d.number
}

func (d *Datagrams) forget(numbers []uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, number := range numbers {
		delete(d.asked, number)
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
