package backend

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// TestImpossibleStatusIsNoResult guards against a result with a status that no answer has.
func TestImpossibleStatusIsNoResult(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		addr := rawtarget.Start(t, func(conn net.Conn) {
			_, _ = io.ReadFull(conn, make([]byte, 20))
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 4\r\n\r\nbody")
		})
		result, err := NewPlainService("http://"+addr).Do(t.Context(), "k", &protocol.Call{Method: http.MethodPost, Path: "/"})
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrTargetFailed), "status %s is a result with the status %d: %v", status, result.Status, err)
	}
}
