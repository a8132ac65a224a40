package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartingBatchersAreQueriedSoon starts a gateway together with its batchers, which answer
// a moment later. A gateway that does not query them for a second sends the first wave to
// targets that others have filled. Where nobody answers for longer, queries must become rare,
// since each delays a stream.
func TestStartingBatchersAreQueriedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	var services unresponsiveServices
	for range 5 { // five streams at the same time
		services.record(now, "llm", false)
	}
	assert.Assert(t, services.has(now, "llm"))
	assert.Assert(t, !services.has(now, "other"))
	now = now.Add(100 * time.Millisecond)
	assert.Assert(t, !services.has(now, "llm"), "the batchers may have started meanwhile")
	services.record(now, "llm", true)
	services.record(now, "llm", false)
	assert.Assert(t, !services.has(now.Add(100*time.Millisecond), "llm"), "an answer ends the silence")

	queries := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if !services.has(now, "llm") {
			queries++
			services.record(now, "llm", false)
		}
	}
	assert.Assert(t, queries <= 16, "%d queries in 10 s", queries)
}
