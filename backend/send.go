package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// classifyAppendError tells a failure before anything was sent from one after. Only a
// failed dial is certain not to have reached the other end.
func classifyAppendError(err error, format string, args ...any) error {
	if IsDialError(err) {
		return protocol.ErrLogUnavailable.Wrap(err, format, args...)
	}
	return protocol.ErrAnswerLost.Wrap(err, format, args...)
}

// TraceConnection returns a context for one HTTP request, and a function that
// reports whether the request ever had a connection. net/http sends some
// requests again after their connection broke, and then a failed dial does not
// show that nothing was sent.
func TraceConnection(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// IsDialError reports whether err shows that no connection was made, so that
// nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsConnectionRefused reports whether an error of this package shows that the other end's
// host answered and no process listened: what ran there has ended.
func IsConnectionRefused(err error) bool {
	typed := errorx.Cast(err)
	return typed != nil && errors.Is(typed.Cause(), syscall.ECONNREFUSED)
}
