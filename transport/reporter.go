package transport

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Clock is the hybrid logical clock of a process.
type Clock interface {
	Now() uint64
	// Observe returns a value above remote and every earlier one.
	Observe(remote uint64) uint64
}

// ReportClient asks peers for their reports over net/rpc.
type ReportClient struct {
	Peers *Peers
	Clock Clock
}

// Report asks the process at the peer address for its report. The mark is the one
// of the last report that the caller has, zero for none. It fails as Peers.Call does.
func (r ReportClient) Report(ctx context.Context, peer string, mark uint64) (protocol.ReportReply, error) {
	var reply protocol.ReportReply
	err := r.Peers.Call(ctx, peer, protocol.MethodReport, &protocol.ReportArgs{Clock: r.Clock.Now(), Mark: mark}, &reply)
	if err != nil {
		return protocol.ReportReply{}, err // net/rpc may still write to reply
	}
	r.Clock.Observe(reply.Clock)
	return reply, nil
}

// ServeHTTP serves until the server is closed or shut down. It fails with
// ErrInternal where serving ends otherwise.
func ServeHTTP(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return protocol.ErrInternal.Wrap(err, "serve")
	}
	return nil
}
