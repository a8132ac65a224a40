// Package relay is a stand-in for the network between two processes: it passes
// TCP connections on, and can let those that are open go silent for good, as
// when something between the two ends has lost track of them, reset them, hold
// back one direction or both, and delay what passes.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Relay passes connections on to one address. Its methods may be called at the
// same time.
type Relay struct {
	target   string
	listener net.Listener
	group    sync.WaitGroup
	// delay is the time that each piece takes longer, as a time.Duration.
	delay atomic.Int64

	mu sync.Mutex
	// resumed has a channel for each direction in which nothing passes until the
	// channel is closed, nil for one that is open.
	resumed    [directions]chan struct{}
	silenceNew bool
	closed     bool
	links      map[*link]bool
}

// direction is that of the bytes of a connection.
type direction int

const (
	toTarget direction = iota
	toCaller
	directions
)

// link is one connection with its way on.
type link struct {
	in, out net.Conn
	// silenced is closed once nothing is passed on any more, done once an end closes.
	silenced chan struct{}
	done     chan struct{}
	once     sync.Once
}

// New listens on an address of loopback and passes connections on to target.
// It fails with protocol.ErrInternal.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "listen")
	}
	r := &Relay{target: target, listener: l, links: map[*link]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SilenceOpen lets every open connection go silent without closing it. New ones work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silence()
	}
}

// SetSilenceNew makes new connections silent from their beginning, or work again.
func (r *Relay) SetSilenceNew(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceNew = on
}

// Reset breaks every open connection off with a reset at both ends.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		for _, conn := range []net.Conn{l.in, l.out} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	}
}

// SetDelay makes every piece that passes take so much longer.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetPaused keeps back what goes towards the target, or comes back from it, in open
// and new connections, until it is called again.
func (r *Relay) SetPaused(towards, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, hold := range [directions]bool{toTarget: towards, toCaller: back} {
		if hold == (r.resumed[d] != nil) {
			continue
		}
		if hold {
			r.resumed[d] = make(chan struct{})
			continue
		}
		close(r.resumed[d])
		r.resumed[d] = nil
	}
}

// waitToForward returns once a piece may pass, false where its connection has closed.
func (r *Relay) waitToForward(l *link, d direction) bool {
	r.mu.Lock()
	held := r.resumed[d]
	r.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-l.done:
			return false
		}
	}
	if delay := time.Duration(r.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	return true
}

// OpenCount returns the number of connections that are passed on.
func (r *Relay) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := 0
	for l := range r.links {
		if !l.isSilenced() {
			open++
		}
	}
	return open
}

// Close closes every connection and waits for the goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (l *link) isSilenced() bool {
	select {
	case <-l.silenced:
		return true
	default:
		return false
	}
}

func (l *link) silence() {
	if !l.isSilenced() {
		close(l.silenced)
	}
}

func (l *link) close() {
	l.once.Do(func() { close(l.done) })
	_ = l.in.Close()
	_ = l.out.Close()
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.serve(in) })
	}
}

func (r *Relay) serve(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out, silenced: make(chan struct{}), done: make(chan struct{})}
	if !r.add(l) {
		return
	}
	r.group.Go(func() { r.forward(l, toTarget, out, in) })
	r.forward(l, toCaller, in, out)
	l.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		l.close()
		return false
	}
	r.links[l] = true
	if r.silenceNew {
		l.silence()
	}
	return true
}

// bufferBytes is the size of the buffer of one direction.
const bufferBytes = 32 << 10

// forward copies until an end closes. Once muted it reads on and drops what comes,
// and an end that closes is not told to the other.
func (r *Relay) forward(l *link, d direction, to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if l.isSilenced() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if !r.waitToForward(l, d) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
