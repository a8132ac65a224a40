package protocol_test

import (
	"errors"
	"net"
	"net/url"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestCauseHoldsNoMessages checks that a Cause contains the error's types and the
// operating system's reason, but no part of its messages or URL.
func TestCauseHoldsNoMessages(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	err := protocol.ErrNotSent.Wrap(&url.Error{Op: "Get", URL: "http://x/?child=marker", Err: dial}, "call marker")
	cause := string(protocol.CauseOf(err))
	assert.Equal(t, cause, "sycamoretally.not_sent: dial: connection refused")
	plain := string(protocol.CauseOf(protocol.ErrTargetFailed.Wrap(errors.New("marker"), "marker")))
	assert.Assert(t, !strings.Contains(plain, "marker"), plain)
	assert.Equal(t, string(protocol.CauseOf(nil)), "")
}
