package entry

import (
	"net/http"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Names of the HTTP headers of the callers' API.
const (
	headerKey    = "Idempotency-Key"
	headerTrace  = "Traceparent"
	headerPrefer = "Prefer"
	// headerRetained tells callers whether the result can be read again under
	// its key.
	headerRetained = "X-Retained"
)

// traceOf returns the trace ID of the caller's traceparent, or a new one.
func traceOf(r *http.Request) string {
	const parts, idLength = 4, 32
	fields := strings.Split(r.Header.Get(headerTrace), "-")
	if len(fields) == parts && len(fields[1]) == idLength {
		return fields[1]
	}
	return protocol.NewID()
}
