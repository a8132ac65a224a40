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

// TestCancelWaitsForSlot checks that cancel returns only once the slot of the
// cancelled request is free. The caller assigns the slot to other work at
// once, which must not queue in the engine.
func TestCancelWaitsForSlot(t *testing.T) {
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
		assert.Assert(t, e.cancel(t.Context(), "a"), "cancelling a request that has ended failed")
	})
}

// TestStopOvertakesItsRequest checks that a request does not run if its
// cancellation, sent over another connection, arrives first: its slot has been
// assigned to other work by then.
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
	assert.Assert(t, generate("a") != nil, "the request ran after it was cancelled")
	assert.Equal(t, len(e.Runs()), 0)
	assert.NilError(t, generate("b"))
}
