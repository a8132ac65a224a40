package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/relay"
)

type cancelAPI struct{}

// Cancel is one of the peers' methods.
func (cancelAPI) Cancel(*protocol.CancelArgs, *protocol.CancelReply) error { return nil }

// peerBehindRelay starts a peer server and a pool that reaches it through a relay.
func peerBehindRelay(t *testing.T) (*Peers, *relay.Relay) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := NewPeerServer("secret", protocol.PeerService, cancelAPI{})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	r, err := relay.New(l.Addr().String())
	assert.NilError(t, err)
	peers := NewPeers("secret")
	t.Cleanup(func() {
		peers.Close()
		r.Close()
		_ = l.Close()
		assert.NilError(t, <-done)
	})
	return peers, r
}

func call(t *testing.T, p *Peers, addr string, bytes int) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), protocol.HeartbeatTimeout)
	defer cancel()
	args := &protocol.CancelArgs{Attempt: string(make([]byte, bytes))}
	return p.Call(ctx, addr, protocol.MethodCancel, args, &protocol.CancelReply{})
}

// TestSilentPeerCostsOneTimeout lets a connection go silent: one call fails when
// its time is up, and the next one works on a new connection.
func TestSilentPeerCostsOneTimeout(t *testing.T) {
	peers, r := peerBehindRelay(t)
	assert.NilError(t, call(t, peers, r.Address(), 1))
	r.SilenceOpen()
	err := call(t, peers, r.Address(), 1)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTimeout), "%v", err)
	assert.NilError(t, call(t, peers, r.Address(), 1))
}

// TestMutePeerHoldsUpNoCaller dials a peer that accepts and never answers.
func TestMutePeerHoldsUpNoCaller(t *testing.T) {
	peers, r := peerBehindRelay(t)
	r.SetSilenceNew(true)
	err := call(t, peers, r.Address(), 1)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent), "%v", err)
	r.SetSilenceNew(false)
	assert.NilError(t, call(t, peers, r.Address(), 1))
}

// TestUnreadPeerHoldsUpNoWriter calls a peer that stops reading with more than
// the buffers between take: net/rpc writes in the caller's goroutine. The time
// counts from the first byte that comes, since encoding so much takes its own.
func TestUnreadPeerHoldsUpNoWriter(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = authenticateClient(conn, "secret")
			_, _ = conn.Read(make([]byte, 1))
			accepted <- conn
		}
	}()
	peers := NewPeers("secret")
	ended := make(chan error, 1)
	go func() { ended <- call(t, peers, l.Addr().String(), 64<<20) }()
	var conn net.Conn
	select {
	case conn = <-accepted:
	case err := <-ended:
		_ = l.Close()
		t.Fatalf("the call ended before the peer got a byte: %v", err)
	}
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(2*protocol.HeartbeatTimeout + time.Second):
		t.Error("the call hangs in its write")
	}
	_ = conn.Close()
	peers.Close()
	_ = l.Close()
}

// TestSilentSidecar lets a sidecar's connection go silent in the middle of an
// answer: the attempt ends as truncated, and the next one works.
func TestSilentSidecar(t *testing.T) {
	r, err := relay.New(fakeSidecar(t, stream(t, "x", "y")))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	client := NewAttemptClient("secret", func(uint64) {})
	t.Cleanup(client.Close)
	execute := func() error {
		a := &protocol.AttemptRequest{Attempt: "a", Call: protocol.Call{Model: true}}
		_, err := client.Execute(t.Context(), r.Address(), a, func(*protocol.Frame) error { return nil })
		return err
	}
	assert.NilError(t, execute())
	assert.Equal(t, r.OpenCount(), 1)
	r.SilenceOpen()
	err = execute() // on the idle connection
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTruncated), "%v", err)
	assert.NilError(t, execute())
}

// blockingAPI answers once it is released.
type blockingAPI struct {
	called  chan struct{}
	release chan struct{}
}

// Cancel is one of the peers' methods.
func (h blockingAPI) Cancel(*protocol.CancelArgs, *protocol.CancelReply) error {
	h.called <- struct{}{}
	<-h.release
	return nil
}

// TestCancelledCallBreaksNoOther cancels one of two calls on a connection: the
// other one gets its answer.
func TestCancelledCallBreaksNoOther(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held := blockingAPI{called: make(chan struct{}), release: make(chan struct{})}
	server, err := NewPeerServer("secret", protocol.PeerService, held)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	peers := NewPeers("secret")
	t.Cleanup(func() {
		peers.Close()
		_ = l.Close()
		assert.NilError(t, <-done)
	})
	ctx, cancel := context.WithCancel(t.Context())
	ends := [2]chan error{make(chan error, 1), make(chan error, 1)}
	for i, callCtx := range []context.Context{ctx, t.Context()} {
		go func() {
			ends[i] <- peers.Call(callCtx, l.Addr().String(), protocol.MethodCancel, &protocol.CancelArgs{}, &protocol.CancelReply{})
		}()
		<-held.called
	}
	cancel()
	err = <-ends[0]
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTimeout), "%v", err)
	close(held.release)
	assert.NilError(t, <-ends[1])
}
