// Package relay is a stand-in for the network between two processes: a TCP relay
// that can silence connections (drop their data without closing them, as when a
// device on the path has lost their state), reset them, pause one direction or
// both, and delay the data.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Relay forwards connections to one address. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	group    sync.WaitGroup
	// delay is added to the forwarding of each chunk, as a time.Duration.
	delay atomic.Int64

	mu sync.Mutex
	// resumed has a channel for each paused direction, which is closed when the
	// direction resumes, and nil for the others.
	resumed    [directions]chan struct{}
	silenceNew bool
	closed     bool
	links      map[*link]bool
}

// direction is the direction of data in a connection.
type direction int

const (
	toTarget direction = iota
	toCaller
	directions
)

// link is one connection from a caller and its connection to the target.
type link struct {
	// in is the connection from the caller, out the one to the target.
	in, out net.Conn
	// silenced is closed once the data is dropped, done once either end closes.
	silenced chan struct{}
	done     chan struct{}
	once     sync.Once
}

// New listens on a loopback address and forwards connections to target.
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

// SilenceOpen silences every open connection: its data is dropped from now on and
// the close of one end is not passed to the other. New connections work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silence()
	}
}

// SetSilenceNew sets whether new connections are silenced from their start.
func (r *Relay) SetSilenceNew(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceNew = on
}

// Reset resets every open connection at both ends.
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

// SetDelay sets the delay that is added to every forwarded chunk.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetPaused sets in which directions data is held back, in open and new
// connections: upstream is towards the target, downstream towards the caller.
func (r *Relay) SetPaused(upstream, downstream bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, pause := range [directions]bool{toTarget: upstream, toCaller: downstream} {
		if pause == (r.resumed[d] != nil) {
			continue
		}
		if pause {
			r.resumed[d] = make(chan struct{})
			continue
		}
		close(r.resumed[d])
		r.resumed[d] = nil
	}
}

// waitToForward waits until a chunk may be forwarded. It reports false if the
// connection has closed.
func (r *Relay) waitToForward(l *link, d direction) bool {
	r.mu.Lock()
	resumed := r.resumed[d]
	r.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-l.done:
			return false
		}
	}
	if delay := time.Duration(r.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	return true
}

// OpenCount returns the number of open connections that are not silenced.
func (r *Relay) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for l := range r.links {
		if !l.isSilenced() {
			count++
		}
	}
	return count
}

// Close closes every connection and waits until the relay's goroutines have ended.
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

// forward copies data until either end closes. Once the link is silenced it keeps
// reading and drops the data, and does not pass on the close of one end.
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
