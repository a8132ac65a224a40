package sidecar

import (
	"context"
	"reflect"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// entryClient calls entries, and falls back to another one if an entry does not answer.
type entryClient struct {
	members *membership.Manager
	peers   *transport.Peers
}

// call tries the preferred address first and then every other live entry. The
// call must be idempotent. It fails with ErrNotSent if no entry is known.
func (e *entryClient) call(ctx context.Context, preferred, method string, args, reply any) error {
	_, err := e.callAny(ctx, preferred, method, args, reply)
	return err
}

// callAny does what call does and returns the addresses that it tried. Without an
// error, the last of them answered. The call may have taken effect at each of them.
func (e *entryClient) callAny(ctx context.Context, preferred, method string, args, reply any) ([]string, error) {
	err := protocol.ErrNotSent.New("no entry is known")
	var tried []string
	for _, addr := range e.callOrder(preferred) {
		tried = append(tried, addr)
		callCtx, cancel := context.WithTimeout(ctx, entryCallTimeout)
		// An abandoned call may still write to its reply, so each call has its own.
		callReply := reflect.New(reflect.TypeOf(reply).Elem())
		callErr := e.peers.Call(callCtx, addr, method, args, callReply.Interface())
		cancel()
		if callErr == nil {
			callErr = logError(callReply.Interface())
		}
		if callErr == nil {
			reflect.ValueOf(reply).Elem().Set(callReply.Elem())
			return tried, nil
		}
		err = errorx.Cast(callErr)
		if ctx.Err() != nil {
			break
		}
	}
	return tried, err
}

// isListed reports whether the platform's instance list has a process with the peer
// address.
func (e *entryClient) isListed(addr string) bool {
	return slices.ContainsFunc(e.members.Instances(), func(i backend.Instance) bool { return i.Peer == addr })
}

// logError returns the error of a reply which says that the entry could not reach the
// log, and nil for any other reply. Another entry may be able to reach it.
func logError(reply any) error {
	r, ok := reply.(interface{ Err() error })
	if !ok {
		return nil
	}
	err := r.Err()
	if errorx.IsOfType(err, protocol.ErrLogUnavailable) || errorx.IsOfType(err, protocol.ErrAnswerLost) || errorx.IsOfType(err, protocol.ErrTimeout) {
		return err
	}
	return nil
}

// callOrder returns the addresses of the live entries, the preferred one first.
func (e *entryClient) callOrder(preferred string) []string {
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
