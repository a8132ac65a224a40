package pause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
)

func TestBackoff(t *testing.T) {
	b := pause.Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	for range 2 {
		for _, limit := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			limit *= time.Millisecond
			delay := b.Next()
			assert.Assert(t, delay >= limit/2 && delay <= limit, "%v, limit %v", delay, limit)
		}
		b.Reset()
	}
}
