package instrument_test

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/instrument"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// TestCallsAreCounted makes calls that succeed and calls that fail, and checks the
// counters.
func TestCallsAreCounted(t *testing.T) {
	inner, registry := fleetstore.New(), prometheus.NewPedanticRegistry()
	s := instrument.NewStore(inner, registry)
	_, err := s.Append(t.Context(), fleet.TopicWork, 5, []fleet.Record{{Key: "a", Value: []byte("v")}})
	assert.Assert(t, err != nil)
	_, err = s.Append(t.Context(), fleet.TopicWork, 0, []fleet.Record{{Key: "a", Value: []byte("v")}})
	assert.NilError(t, err)
	_, err = s.NewestAfter(t.Context(), fleet.TopicWork, "")
	assert.NilError(t, err)
	_, err = s.Read(t.Context(), fleet.TopicWork, 0)
	assert.NilError(t, err)
	families, err := registry.Gather()
	assert.NilError(t, err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			var labels []string
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetValue())
			}
			got[f.GetName()+" "+strings.Join(labels, " ")] = m.GetCounter().GetValue()
		}
	}
	assert.Equal(t, got["sycamoretally_store_calls_total append ok work"], 1.0)
	assert.Equal(t, got["sycamoretally_store_calls_total append sycamoretally.topic_end_moved work"], 1.0)
	assert.Equal(t, got["sycamoretally_store_records_total read work"], 1.0)
}
