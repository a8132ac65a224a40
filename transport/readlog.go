package transport

import (
	"context"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ReadLog asks the peer at addr for entries of a stream. Its failures are those
// of Call.
func (p *Peers) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	var reply protocol.ReadLogReply
	err := p.Call(ctx, addr, protocol.MethodReadLog, &args, &reply)
	return reply, err
}
