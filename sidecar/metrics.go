package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	registry     *prometheus.Registry
	admitted     *prometheus.CounterVec
	refused      prometheus.Counter
	loads        *prometheus.CounterVec
	fetchRetries prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_sidecar_attempts_admitted_total",
			Help: "Attempts that got a slot, by class.",
		}, []string{"class"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_sidecar_attempts_refused_total",
			Help: "Attempts refused before anything was sent to the target.",
		}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_sidecar_loads_total",
			Help: "Turns in which a target loaded a model, by whether it succeeded.",
		}, []string{"loaded"}),
		fetchRetries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_sidecar_weight_fetch_retries_total",
			Help: "Fetches from the weight store that were refused or failed.",
		}),
	}
	m.registry.MustRegister(m.admitted, m.refused, m.loads, m.fetchRetries)
	return m
}

var (
	slotsDesc = prometheus.NewDesc("sycamoretally_sidecar_slots",
		"Slots of a target by use.", []string{"target", "use"}, nil)
	healthyDesc = prometheus.NewDesc("sycamoretally_sidecar_target_healthy",
		"Whether the target answers its health check.", []string{"target"}, nil)
)

func newOutboxGauge(o *outbox) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sycamoretally_sidecar_outbox_records",
		Help: "Records that wait for the log: results and releases of calls that run at most once.",
	}, func() float64 { return float64(o.pending()) })
}

func newRefusedCounter(o *outbox) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sycamoretally_sidecar_records_refused_total",
		Help: "Records that were dropped since the log never takes them, for their size.",
	}, func() float64 { return float64(o.refusals()) })
}

// slotCollector collects slot counts and target health when metrics are scraped.
type slotCollector struct{ sidecar *Sidecar }

// Describe implements prometheus.Collector.
func (c *slotCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- slotsDesc
	ch <- healthyDesc
}

// Collect implements prometheus.Collector.
func (c *slotCollector) Collect(ch chan<- prometheus.Metric) {
	for name, r := range c.sidecar.runners {
		report := r.report()
		uses := map[string]int{"online": report.Online, "batch": report.Batch, "waiting": report.Queued, "lost": report.Lost, "total": report.Slots}
		for use, n := range uses {
			ch <- prometheus.MustNewConstMetric(slotsDesc, prometheus.GaugeValue, float64(n), name, use)
		}
		healthy := 0.0
		if report.Healthy {
			healthy = 1
		}
		ch <- prometheus.MustNewConstMetric(healthyDesc, prometheus.GaugeValue, healthy, name)
	}
}
