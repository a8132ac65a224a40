package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// delayedAPI answers about when its caller's time is up.
type delayedAPI struct{ delay time.Duration }

func (l delayedAPI) Report(_ *protocol.ReportArgs, reply *protocol.ReportReply) error {
	<-time.After(l.delay)
	reply.Instance, reply.Clock = "late", 1
	return nil
}

// TestLateReply lets the caller's time end at the moment of the answer: the
// race detector must find no write into the reply that Call has given back.
func TestLateReply(t *testing.T) {
	const delay = 2 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := NewPeerServer("secret", protocol.PeerService, delayedAPI{delay})
	assert.NilError(t, err)
	done := make(chan error)
	go func() { done <- server.Serve(l) }()
	peers := NewPeers("secret")
	for i := range 400 {
		ctx, cancel := context.WithTimeout(t.Context(), delay+time.Duration(i%10)*100*time.Microsecond)
		var reply protocol.ReportReply
		err := peers.Call(ctx, l.Addr().String(), protocol.MethodReport, &protocol.ReportArgs{}, &reply)
		cancel()
		assert.Assert(t, (err == nil) == (reply.Instance == "late"), "%v: %+v", err, reply)
	}
	peers.Close()
	assert.NilError(t, l.Close())
	assert.NilError(t, <-done)
}
