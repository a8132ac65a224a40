package load

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Network adds one-way delays to connections between data centres and can cut
// a data centre off.
type Network struct {
	delay time.Duration

	mu          sync.Mutex
	dataCentres map[string]string
	isolated    string
}

// NewNetwork returns a network without processes.
func NewNetwork(between time.Duration) *Network {
	return &Network{delay: between, dataCentres: map[string]string{}}
}

// SetDataCentre says in which data centre an address is.
func (n *Network) SetDataCentre(address, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[address] = dataCentre
}

// Isolate cuts a data centre off: its connections go silent and new ones fail. An
// empty name mends it.
func (n *Network) Isolate(dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = dataCentre
}

// DialFrom returns a dial function for a process in a data centre.
func (n *Network) DialFrom(dataCentre string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		delay, cut := n.path(dataCentre, address)
		if cut {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: protocol.ErrNotSent.New("data centre is cut off")}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || delay == 0 {
			return conn, err
		}
		return newDelayedConn(conn, delay, func() bool {
			_, cut := n.path(dataCentre, address)
			return cut
		}), nil
	}
}

func (n *Network) path(from, address string) (delay time.Duration, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.dataCentres[address]
	if to == from || to == "" {
		return 0, false
	}
	return n.delay, n.isolated != "" && (n.isolated == from || n.isolated == to)
}

// delayedConn delivers what is written, and what is read, after a delay.
type delayedConn struct {
	net.Conn
	delay time.Duration
	isCut func() bool

	writes chan packet
	reads  chan packet
	unread []byte
	closed chan struct{}
	once   sync.Once

	deadline *time.Timer
}

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// packetQueue bounds what is on its way in one direction.
const packetQueue = 256

func newDelayedConn(conn net.Conn, delay time.Duration, cut func() bool) *delayedConn {
	c := &delayedConn{
		Conn: conn, delay: delay, isCut: cut,
		writes: make(chan packet, packetQueue), reads: make(chan packet, packetQueue), closed: make(chan struct{}),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// writeLoop sends what was written once it is due.
func (c *delayedConn) writeLoop() {
	for {
		select {
		case p := <-c.writes:
			time.Sleep(time.Until(p.due))
			if c.isCut() {
				continue
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// readLoop reads from the connection and hands data on once it is due.
func (c *delayedConn) readLoop() {
	const readSize = 32 << 10
	for {
		buf := make([]byte, readSize)
		n, err := c.Conn.Read(buf)
		p := packet{data: buf[:n], due: time.Now().Add(c.delay), err: err}
		if c.isCut() && err == nil {
			continue
		}
		select {
		case c.reads <- p:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case p := <-c.reads:
			time.Sleep(time.Until(p.due))
			if len(p.data) == 0 {
				return 0, p.err
			}
			c.unread = p.data
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *delayedConn) Write(b []byte) (int, error) {
	p := packet{data: append([]byte(nil), b...), due: time.Now().Add(c.delay)}
	select {
	case c.writes <- p:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetDeadline implements net.Conn. Only the setting of a deadline that passes
// before the connection is used again has an effect: it closes the connection.
func (c *delayedConn) SetDeadline(t time.Time) error {
	if c.deadline != nil {
		c.deadline.Stop()
	}
	if !t.IsZero() {
		c.deadline = time.AfterFunc(time.Until(t), func() { _ = c.Close() })
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *delayedConn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
