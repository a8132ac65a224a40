package entry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	problems        *prometheus.CounterVec
	seconds         *prometheus.HistogramVec
	retries         prometheus.Counter
	hedges          prometheus.Counter
	items           *prometheus.CounterVec
	appends         *prometheus.CounterVec
	appendedRecords *prometheus.CounterVec
	appendedBytes   *prometheus.CounterVec
}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counter("sycamoretally_entry_requests_total", "Online requests by service and outcome.", "service", "outcome"),
		problems: counter("sycamoretally_entry_problems_total", "Problem documents sent, by type.", "type"),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sycamoretally_entry_request_seconds",
			Help:    "Time from a request's arrival to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_entry_retries_total", Help: "Attempts after a request's first.",
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_entry_hedges_total", Help: "Attempts made beside a stalled one.",
		}),
		items:           counter("sycamoretally_entry_batch_items_total", "Batch items with a durable result, by outcome.", "outcome"),
		appends:         counter("sycamoretally_entry_log_appends_total", "Appends to the log, by stream.", "stream"),
		appendedRecords: counter("sycamoretally_entry_log_records_total", "Records appended to the log, by stream.", "stream"),
		appendedBytes:   counter("sycamoretally_entry_log_bytes_total", "Bytes appended to the log, by stream.", "stream"),
	}
	m.registry.MustRegister(m.requests, m.problems, m.seconds, m.retries, m.hedges, m.items, m.appends, m.appendedRecords, m.appendedBytes)
	return m
}

// Metrics returns the entry's registry.
func (e *Entry) Metrics() *prometheus.Registry { return e.metrics.registry }
