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
	// capacityChanges counts logged changes of the target's learned capacity.
	capacityChanges *prometheus.CounterVec
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
		capacityChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_batcher_capacity_changes_total", Help: "Changes of the number of requests that the target takes well, by what limits it.",
		}, []string{"reason"}),
	}
	b.params.Registry.MustRegister(m.runs, m.oversized, m.claims, m.capacityChanges)
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
	gauge("sycamoretally_batcher_target_capacity", "Requests that the target takes well, as learned; its slots if too little was seen.", locked(func() float64 {
		return float64(b.estimateCapacity(time.Now()).Requests)
	}))
	gauge("sycamoretally_batcher_target_step_seconds", "Expected time between two events of a stream at the target's current load, 0 if unknown.", locked(func() float64 {
		return b.learned.learner.Expect(b.learned.running, b.learned.slots).Step.Seconds()
	}))
	gauge("sycamoretally_batcher_target_silence_seconds", "Time since the target last told its load.", locked(func() float64 {
		if b.lastReport.IsZero() {
			return 0
		}
		return time.Since(b.lastReport).Seconds()
	}))
	gauge("sycamoretally_batcher_records_waiting", "Records that the store has not taken yet.", func() float64 { return float64(b.unstoredRecords()) })
	b.params.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sycamoretally_batcher_records_refused_total", Help: "Records that were dropped since the store never takes them, for their size.",
	}, func() float64 { return float64(b.outbox.Refused() + b.texts.Refused()) }))
	gauge("sycamoretally_batcher_work_age_seconds", "Time since the work log was last known to be current.", func() float64 {
		age, _ := b.workTail.Age()
		return age.Seconds()
	})
	return m
}

// Metrics returns the registry of the batcher's metrics.
func (b *Batcher) Metrics() *prometheus.Registry { return b.params.Registry }
