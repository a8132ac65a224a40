package backend_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

// TestLateOrderIsNotSent checks that an engine gets no order after its time, and
// that a stale number is refused by an engine that checks and by no other.
func TestLateOrderIsNotSent(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := engine.New(engine.Params{ChecksFence: checks})
		server := httptest.NewServer(e.Handler())
		defer server.Close()
		client := backend.NewEngine(server.URL, 0)
		soon, past := time.Now().Add(time.Minute), time.Now().Add(-time.Millisecond)
		assert.NilError(t, client.SendOrderBefore(t.Context(), soon, backend.LoadOrder{Version: "1", Fence: 2}))
		err := client.SendOrderBefore(t.Context(), past, backend.LoadOrder{Version: "late", Fence: 3})
		assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent), "%v", err)
		err = client.SendOrderBefore(t.Context(), soon, backend.LoadOrder{Version: "old", Fence: 1})
		assert.Equal(t, errorx.IsOfType(err, protocol.ErrVersionConflict), checks)
		assert.Equal(t, e.Orders()[0].Version, "1")
		want := 1
		if !checks {
			want = 2 // the sidecar must not have sent it
		}
		assert.Equal(t, len(e.Orders()), want)
	}
}

// TestLateGenerationIsNotSent checks that an engine runs nothing that is sent
// after its time.
func TestLateGenerationIsNotSent(t *testing.T) {
	e := engine.New(engine.Params{Width: 1})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	client := backend.NewEngine(server.URL, 0)
	defer client.Close()
	body := []byte(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"q"}]}`)
	sink := func(string) error { return nil }
	late := backend.Generation{ID: "late", Body: body, SendBefore: time.Now().Add(-time.Millisecond)}
	err := client.Generate(t.Context(), late, sink)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrNotSent), "%v", err)
	soon := backend.Generation{ID: "soon", Body: body, SendBefore: time.Now().Add(time.Minute)}
	assert.NilError(t, client.Generate(t.Context(), soon, sink))
	assert.Equal(t, len(e.Runs()), 1)
}
