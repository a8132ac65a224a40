package entry

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

func TestQuarantineMetrics(t *testing.T) {
	q := state.NewQuarantine()
	for i, fingerprint := range []string{"convicted", "convicted", "convicted", "suspect"} {
		crash := &protocol.TargetCrash{Target: "t", Fingerprints: []string{fingerprint}, HoldMillis: 1}
		q.Apply(protocol.PositionAt(uint64(i+1), 0), &protocol.Record{ID: fmt.Sprint(i), Crash: crash})
	}
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(quarantineMetrics(q)...)
	families, err := registry.Gather()
	assert.NilError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		m := f.GetMetric()[0]
		got[f.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	assert.DeepEqual(t, got, map[string]float64{
		"sycamoretally_entry_suspects": 1, "sycamoretally_entry_quarantined": 1, "sycamoretally_entry_convictions_total": 1,
	})
}
