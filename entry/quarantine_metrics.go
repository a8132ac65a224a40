package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/state"
)

// quarantineMetrics returns collectors that read the quarantine when metrics are
// scraped.
func quarantineMetrics(q *state.Quarantine) []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	return []prometheus.Collector{
		gauge("sycamoretally_entry_suspects", "Calls that were in flight at one crash of a target.", func() float64 {
			suspects, _ := q.Counts()
			return float64(suspects)
		}),
		gauge("sycamoretally_entry_quarantined", "Calls that are refused because they crashed targets.", func() float64 {
			_, quarantined := q.Counts()
			return float64(quarantined)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sycamoretally_entry_convictions_total", Help: "Convictions read from the log by this process.",
		}, func() float64 { return float64(q.QuarantinedTotal()) }),
	}
}
