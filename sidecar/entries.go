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

// entryClient calls any entry that answers.
type entryClient struct {
	members *membership.Manager
	peers   *transport.Peers
}

// call tries the preferred address first and then every other live entry. The
// call must be idempotent. It fails with ErrNotSent where no entry is known.
func (e *entryClient) call(ctx context.Context, preferred, method string, args, reply any) error {
	_, err := e.callAny(ctx, preferred, method, args, reply)
	return err
}

// callAny does the same and returns the addresses that it tried. The last one
// answered where there is no error; the call may have taken effect at all.
func (e *entryClient) callAny(ctx context.Context, preferred, method string, args, reply any) ([]string, error) {
	err := protocol.ErrNotSent.New("no entry is known")
	var tried []string
	for _, addr := range e.callOrder(preferred) {
		tried = append(tried, addr)
		callCtx, cancel := context.WithTimeout(ctx, entryCallTimeout)
		// A call that was given up may still write into its reply.
		own := reflect.New(reflect.TypeOf(reply).Elem())
		callErr := e.peers.Call(callCtx, addr, method, args, own.Interface())
		cancel()
		if callErr == nil {
			callErr = logError(own.Interface())
		}
		if callErr == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
			return tried, nil
		}
		err = errorx.Cast(callErr)
		if ctx.Err() != nil {
			break
		}
	}
	return tried, err
}

// isListed reports whether the platform lists a process with the peer address.
func (e *entryClient) isListed(addr string) bool {
	return slices.ContainsFunc(e.members.Instances(), func(i backend.Instance) bool { return i.Peer == addr })
}

// logError returns the error of a reply that says that the entry could not
// reach the log, where another entry might.
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
