package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// userTimeout bounds how long sent bytes may stay unacknowledged: a peer that
	// has lost power or is partitioned does not reset its connections.
	userTimeout = 3 * time.Second
	// targetDialTimeout bounds the opening of a connection within the site.
	targetDialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is how long a target is assumed to keep an idle connection
	// if it does not specify that.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the target's idle timeout a connection is closed.
	idleMargin = 500 * time.Millisecond
	// connBufferBytes is the size of a connection's read buffer.
	connBufferBytes = 4 << 10
	// maxCarried is the number of requests with an ID after which a connection is closed in
	// place of being kept idle.
	maxCarried = 1024
)

var (
	// ErrDial means that a connection could not be opened.
	ErrDial = protocol.Errors.NewType("dial")
	// ErrConnRefused is an ErrDial from a host that answers that nothing listens at the
	// address.
	ErrConnRefused = ErrDial.NewSubtype("refused")
)

// SetUserTimeout sets TCP_USER_TIMEOUT, which bounds the time that sent bytes may
// stay unacknowledged. It is for the field Control of net.Dialer or net.ListenConfig.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errorx.Decorate(err, "set user timeout")
	}
	return failure
}

// Conn is a connection that carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// carried holds the hashes of the IDs of the requests that the connection has carried.
	carried []uint64

	limits        *limitedConn
	pool          *ConnPool
	addr          string
	reusableUntil time.Time
}

// ConnPool keeps idle connections by address. It reuses the most recently used
// connection first, so that surplus ones expire. It is safe for concurrent use.
type ConnPool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// NewConnPool returns an empty pool.
func NewConnPool() *ConnPool {
	return &ConnPool{dialer: net.Dialer{Timeout: targetDialTimeout, Control: SetUserTimeout}, idle: map[string][]*Conn{}}
}

// Get returns an idle connection that is still open, or opens a new one, for the request
// with the given ID. A connection carries a request once: the answer to an earlier run of
// the same request may come a second time, late, and could not be told from the answer to
// this one. The ID is empty for requests whose answers name no ID. Get fails with ErrDial.
func (p *ConnPool) Get(ctx context.Context, addr, request string) (*Conn, error) {
	id := xxhash.Sum64String(request)
	for {
		c, surplus := p.takeIdle(addr, func(c *Conn) bool { return request == "" || !slices.Contains(c.carried, id) })
		for _, s := range surplus {
			_ = s.Close()
		}
		if c == nil {
			break
		}
		if c.isReusable() {
			c.carry(request, id)
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrConnRefused.Wrap(err, "dial")
	case err != nil:
		return nil, ErrDial.Wrap(err, "dial")
	}
	limits := &limitedConn{Conn: raw}
	c := &Conn{Conn: raw, Reader: bufio.NewReaderSize(limits, connBufferBytes), limits: limits, pool: p, addr: addr}
	c.carry(request, id)
	return c, nil
}

// carry notes that the connection carries a request from now on.
func (c *Conn) carry(request string, id uint64) {
	if request != "" {
		c.carried = append(c.carried, id)
	}
}

// Probe checks that a connection to the address is open or can be opened, and keeps it idle
// in the pool. It fails like Get.
func (p *ConnPool) Probe(ctx context.Context, addr string) error {
	c, err := p.Get(ctx, addr, "")
	if err != nil {
		return err
	}
	if c.reusableUntil.IsZero() {
		c.reusableUntil = time.Now().Add(defaultIdleTimeout - idleMargin)
	}
	c.keepIdle()
	return nil
}

// takeIdle takes the most recently used of the idle connections to the address for which
// usable returns true, nil if there is none. It also takes the surplus ones, which must be
// closed: those that have expired and, if none is usable, one that the new connection
// replaces. Otherwise a request that is refused again and again would leave one more
// connection idle each time.
func (p *ConnPool) takeIdle(addr string, usable func(*Conn) bool) (taken *Conn, surplus []*Conn) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	p.idle[addr] = slices.DeleteFunc(idle, func(c *Conn) bool {
		expired := !now.Before(c.reusableUntil)
		if expired {
			surplus = append(surplus, c)
		}
		return expired
	})
	defer func() {
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}()
	idle = p.idle[addr]
	for i, c := range slices.Backward(idle) {
		if usable(c) {
			p.idle[addr] = slices.Delete(idle, i, i+1)
			return c, surplus
		}
	}
	if len(idle) > 0 {
		surplus = append(surplus, idle[0])
		p.idle[addr] = slices.Delete(idle, 0, 1)
	}
	return nil, surplus
}

// HasIdle reports whether there is an idle connection to the address that has not expired.
// It may have been closed by the other end.
func (p *ConnPool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	return len(idle) > 0 && time.Now().Before(idle[len(idle)-1].reusableUntil)
}

// CloseIdle closes the idle connections to the address.
func (p *ConnPool) CloseIdle(addr string) {
	p.mu.Lock()
	idle := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has passed.
func (p *ConnPool) CloseExpired() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for addr, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Release returns the connection to the pool. keep is how long the other end keeps
// it idle, 0 if unknown. A connection with unread bytes, or one that has carried maxCarried
// requests, is closed instead.
func (c *Conn) Release(keep time.Duration) {
	if keep == 0 {
		keep = defaultIdleTimeout
	}
	if c.Reader.Buffered() > 0 || keep <= idleMargin || len(c.carried) >= maxCarried {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.reusableUntil = time.Now().Add(keep - idleMargin)
	c.keepIdle()
}

func (c *Conn) keepIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.addr] = append(c.pool.idle[c.addr], c)
}

// isReusable reports whether the connection is open and no bytes have arrived on it
// since its last answer. Such bytes would belong to no request.
func (c *Conn) isReusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	sys, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = sys.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, readErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case readErr != nil:
			peeked = readErr
		case n == 0:
			peeked = io.EOF
		}
		return true
	})
	return err == nil && peeked == unix.EAGAIN
}
