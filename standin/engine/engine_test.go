package engine

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
)

// TestCancelWaitsForThePlace confirms the end of a request that has yet to
// release its place only once the place is free: who asked gives it to other
// work at once, which must not queue.
func TestCancelWaitsForThePlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const releaseTime = 50 * time.Millisecond
		e := New(Params{Width: 1})
		ctx, cancel := context.WithCancel(t.Context())
		run := &activeRun{cancel: cancel, released: make(chan struct{})}
		assert.Assert(t, e.register("a", run))
		assert.Assert(t, e.acquireSlot(ctx))
		index := e.startRun("a", "prompt")
		go func() {
			<-ctx.Done()
			time.Sleep(releaseTime)
			e.endRun(index, "cancelled")
			e.unregister("a", run)
		}()
		assert.Assert(t, e.cancel(t.Context(), "a"))
		assert.Equal(t, len(e.slots), 0)
		assert.Assert(t, e.cancel(t.Context(), "a"), "an unknown request has ended")
	})
}

// TestStopOvertakesItsRequest confirms the end of a request that arrives only after
// the order to stop it, over another connection: it must not run, since its place
// has been given to other work.
func TestStopOvertakesItsRequest(t *testing.T) {
	e := New(Params{Width: 1})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	client := backend.NewEngine(server.URL, time.Second)
	assert.NilError(t, client.Cancel(t.Context(), "a"))
	body := []byte(`{"model":"drafting","messages":[{"role":"user","content":"late"}],"max_tokens":2}`)
	generate := func(id string) error {
		return client.Generate(t.Context(), backend.Generation{ID: id, Body: body}, func(string) error { return nil })
	}
	assert.Assert(t, generate("a") != nil, "the request ran after it was told to stop")
	assert.Equal(t, len(e.Runs()), 0)
	assert.NilError(t, generate("b"))
}
