package sidecar

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// entries calls any entry that answers.
type entries struct {
	members *membership.Manager
	peers   *transport.Peers
}

// call tries the preferred address first and then every other live entry. The
// call must be idempotent. It fails with ErrNotSent where no entry is known.
func (e *entries) call(ctx context.Context, preferred, method string, args, reply any) error {
	err := protocol.ErrNotSent.New("no entry is known")
	for _, addr := range e.order(preferred) {
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		callErr := e.peers.Call(callCtx, addr, method, args, reply)
		cancel()
		if callErr == nil {
			return nil
		}
		err = errorx.Cast(callErr)
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

func (e *entries) order(preferred string) []string {
	var order []string
	if preferred != "" {
		order = append(order, preferred)
	}
	for _, i := range e.members.Entries() {
		if i.Peer != preferred {
			order = append(order, i.Peer)
		}
	}
	return order
}
