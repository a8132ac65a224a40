package batcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the batcher's counters.
type metrics struct {
	runs      *prometheus.CounterVec
	oversized *prometheus.CounterVec
	claims    *prometheus.CounterVec
}

func newMetrics(b *Batcher) *metrics {
	m := &metrics{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_batcher_item_runs_total", Help: "Runs of batch items by their outcome.",
		}, []string{"outcome"}),
		oversized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_batcher_oversized_answers_total", Help: "Answers of the target that were broken off because they exceeded a limit, by limit.",
		}, []string{"limit"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_batcher_claims_total", Help: "Claims of batch items by whether they were won.",
		}, []string{"won"}),
	}
	b.params.Registry.MustRegister(m.runs, m.oversized, m.claims)
	gauge := func(name, help string, value func() float64) {
		b.params.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return value()
		}
	}
	gauge("sycamoretally_batcher_items_held", "Items that the batcher has claimed and not finished.", locked(func() float64 { return float64(len(b.held)) }))
	gauge("sycamoretally_batcher_items_running", "Items that run at the target.", locked(func() float64 { return float64(len(b.runningItems())) }))
	gauge("sycamoretally_batcher_target_silence_seconds", "Time since the target last told its load.", locked(func() float64 {
		if b.lastReport.IsZero() {
			return 0
		}
		return time.Since(b.lastReport).Seconds()
	}))
	gauge("sycamoretally_batcher_records_waiting", "Records that the store has not taken yet.", func() float64 { return float64(b.unstoredRecords()) })
	gauge("sycamoretally_batcher_work_age_seconds", "Time since the work log was last known to be current.", func() float64 {
		age, _ := b.workTail.Age()
		return age.Seconds()
	})
	return m
}

// Metrics returns the registry of the batcher's metrics.
func (b *Batcher) Metrics() *prometheus.Registry { return b.params.Registry }
