package engine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCancelWaitsForThePlace confirms the end of a request that has yet to
// release its place only once the place is free: who asked gives it to other
// work at once, which must not queue.
func TestCancelWaitsForThePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const releaseTime = 50 * time.Millisecond
		e := New(Params{Width: 1})
		ctx, cancel := context.WithCancel(t.Context())
		assert.Assert(t, e.acquire(ctx))
		run := &activeRun{cancel: cancel, released: make(chan struct{})}
		index := e.begin("a", "prompt", run)
		go func() {
			<-ctx.Done()
			time.Sleep(releaseTime)
			e.end(index, run, "cancelled")
		}()
		assert.Assert(t, e.cancel(t.Context(), "a"))
		assert.Equal(t, len(e.slots), 0)
		assert.Assert(t, e.cancel(t.Context(), "a"), "an unknown request has ended")
	})
}
