package transport

import (
	"context"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ReadLog reads entries of a stream from the peer at addr. It fails as Call does.
func (p *Peers) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	var reply protocol.ReadLogReply
	err := p.Call(ctx, addr, protocol.MethodReadLog, &args, &reply)
	return reply, err
}
