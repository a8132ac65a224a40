package history

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// change returns an operation on the object "o" in the time from call to end.
func change(call, end int64, base protocol.Position, out ConfigOutput) porcupine.Operation {
	return porcupine.Operation{Input: ConfigInput{Object: "o", Base: base}, Output: out, Call: call, Return: end}
}

func TestConfigModel(t *testing.T) {
	accepted := func(v protocol.Position) ConfigOutput { return ConfigOutput{Accepted: v} }
	conflict := func(v protocol.Position) ConfigOutput { return ConfigOutput{Current: v} }
	cases := []struct {
		name  string
		ops   []porcupine.Operation
		legal bool
	}{
		{"sequence", []porcupine.Operation{change(1, 2, 0, accepted(5)), change(3, 4, 5, accepted(6)), change(5, 6, 5, conflict(6))}, true},
		{"race", []porcupine.Operation{change(1, 9, 0, accepted(5)), change(2, 8, 0, conflict(5))}, true},
		{"unknown took effect", []porcupine.Operation{change(1, 2, 0, ConfigOutput{Unknown: true}), change(3, 4, 7, accepted(8))}, true},
		{"unknown had no effect", []porcupine.Operation{change(1, 2, 0, ConfigOutput{Unknown: true}), change(3, 4, 0, accepted(8))}, true},
		{"both accepted from one base", []porcupine.Operation{change(1, 9, 0, accepted(5)), change(2, 8, 0, accepted(6))}, false},
		{"version went back", []porcupine.Operation{change(1, 2, 0, accepted(5)), change(3, 4, 5, accepted(4))}, false},
		{"stale base accepted", []porcupine.Operation{change(1, 2, 0, accepted(5)), change(3, 4, 5, accepted(6)), change(5, 6, 5, accepted(7))}, false},
		{"current base rejected", []porcupine.Operation{change(1, 2, 0, accepted(5)), change(3, 4, 5, conflict(0))}, false},
		{"conflict shows an old version", []porcupine.Operation{change(1, 2, 0, accepted(5)), change(3, 4, 5, accepted(6)), change(5, 6, 0, conflict(5))}, false},
		{"a change that was not run took effect", []porcupine.Operation{change(1, 2, 0, ConfigOutput{NotRun: true}), change(3, 4, 0, conflict(7))}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Check(ConfigModel(), c.ops) == nil, c.legal)
		})
	}
}

func TestConfigObservations(t *testing.T) {
	begun := time.Now()
	at := func(seconds int, version protocol.Position) Observation {
		return Observation{Process: "p", Object: "o", Version: version, At: begun.Add(time.Duration(seconds) * time.Second)}
	}
	accepted := at(0, 5)
	limit := 5 * time.Second
	assert.NilError(t, CheckMonotonic([]Observation{at(0, 1), at(1, 1), at(2, 5)}))
	assert.ErrorContains(t, CheckMonotonic([]Observation{at(0, 1), at(1, 5), at(2, 1)}), "after")
	assert.NilError(t, CheckInForce(accepted, []string{"p"}, []Observation{at(1, 1), at(4, 5), at(6, 6)}, limit))
	assert.ErrorContains(t, CheckInForce(accepted, []string{"p"}, []Observation{at(6, 1), at(7, 5)}, limit), "after 0.5 was accepted")
	assert.ErrorContains(t, CheckInForce(accepted, []string{"p", "q"}, []Observation{at(1, 5)}, limit), "never")
}
