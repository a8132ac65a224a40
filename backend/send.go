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

// classifyAppendError distinguishes a failure before anything was sent from a later
// one. Only after a failed dial is it certain that the log service received nothing.
func classifyAppendError(err error, format string, args ...any) error {
	if IsDialError(err) {
		return protocol.ErrLogUnavailable.Wrap(err, format, args...)
	}
	return protocol.ErrAnswerLost.Wrap(err, format, args...)
}

// TraceConnection returns a context for one HTTP request, and a function that reports
// whether the request ever had a connection. net/http retries some requests after
// their connection broke; a failed dial then does not prove that nothing was sent.
func TraceConnection(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// IsDialError reports whether err means that no connection was opened, so that
// nothing was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsConnectionRefused reports whether err, an error of this package, means that the
// host answered but no process listened at the address: the process there has ended.
func IsConnectionRefused(err error) bool {
	typed := errorx.Cast(err)
	return typed != nil && errors.Is(typed.Cause(), syscall.ECONNREFUSED)
}
