package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// dialTimeout bounds the making of a connection to a peer.
const dialTimeout = time.Second

// Peers keeps one net/rpc connection to each peer address. Its methods may be
// called at the same time.
type Peers struct {
	secret   string
	dialFunc Dial

	mu      sync.Mutex
	clients map[string]*rpc.Client
	closed  bool
}

// NewPeers returns a pool that authenticates with secret.
func NewPeers(secret string) *Peers {
	return &Peers{secret: secret, dialFunc: defaultDial, clients: map[string]*rpc.Client{}}
}

// Call calls method at the peer. It fails with ErrNotSent where the peer cannot
// have got the call, with ErrTimeout when ctx ends first, and with
// ErrTargetFailed where the connection broke. After a timeout the connection is
// closed: it may have gone silent while new ones work. A call that was cancelled
// says nothing of the connection, and other calls on it go on.
func (p *Peers) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	// A late answer is still decoded after ctx has ended, so it must not be
	// decoded into the caller's value.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.removeClient(addr, client)
		}
		return protocol.ErrTimeout.New("%s at %s", method, addr)
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	case errors.As(call.Error, &remote):
		return protocol.ErrInternal.New("%s at %s: %s", method, addr, remote)
	default:
		// rpc.ErrShutdown too may end a call that was sent.
		p.removeClient(addr, client)
		return protocol.ErrTargetFailed.Wrap(call.Error, "%s at %s", method, addr)
	}
}

func (p *Peers) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	client, closed := p.clients[addr], p.closed
	p.mu.Unlock()
	if closed {
		return nil, protocol.ErrNotSent.New("process is stopping")
	}
	if client != nil {
		return client, nil
	}
	client, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[addr]; other != nil || p.closed {
		_ = client.Close()
		if other == nil {
			return nil, protocol.ErrNotSent.New("process is stopping")
		}
		return other, nil
	}
	p.clients[addr] = client
	return client, nil
}

func (p *Peers) dial(ctx context.Context, addr string) (*rpc.Client, error) {
	conn, err := p.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return nil, protocol.ErrNotSent.Wrap(err, "dial peer %s", addr)
	}
	if err := authenticateToServer(conn, p.secret); err != nil {
		_ = conn.Close()
		return nil, errorx.Decorate(err, "peer %s", addr)
	}
	return rpc.NewClient(writeTimeoutConn{conn}), nil
}

// writeTimeoutConn fails writes that the other end does not take in time, so that a
// silent connection cannot hold up its writers.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(protocol.HeartbeatTimeout))
	return c.Conn.Write(p)
}

func (p *Peers) removeClient(addr string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[addr] == client {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close closes every connection. Later calls fail with ErrNotSent.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.clients {
		_ = c.Close()
	}
	clear(p.clients)
}

// PeerServer serves net/rpc to authenticated peers.
type PeerServer struct {
	secret string
	server *rpc.Server

	mu          sync.Mutex
	conns       map[io.Closer]struct{}
	connections sync.WaitGroup
}

// NewPeerServer returns a server of the exported methods of receiver under name.
func NewPeerServer(secret, name string, receiver any) (*PeerServer, error) {
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return nil, protocol.ErrInternal.Wrap(err, "register %s", name)
	}
	return &PeerServer{secret: secret, server: server, conns: map[io.Closer]struct{}{}}, nil
}

// Serve accepts connections until the listener is closed.
func (s *PeerServer) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			s.closeAll()
			s.connections.Wait()
			return nil
		}
		s.setTracked(conn, true)
		s.connections.Go(func() {
			defer s.setTracked(conn, false)
			s.serve(conn)
		})
	}
}

func (s *PeerServer) serve(conn net.Conn) {
	if err := authenticateClient(conn, s.secret); err != nil {
		klog.V(1).InfoS("peer refused", "remote", conn.RemoteAddr(), "error", protocol.CauseOf(err))
		_ = conn.Close()
		return
	}
	s.server.ServeConn(writeTimeoutConn{conn})
}

func (s *PeerServer) setTracked(c io.Closer, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[c] = struct{}{}
		return
	}
	delete(s.conns, c)
}

func (s *PeerServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
