package gateway

import (
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// metrics are a gateway's counters and histograms.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_requests_total", Help: "Callers' requests by the kind of their route and their outcome.",
		}, []string{"kind", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_request_seconds", Help: "Time from a request to the end of its answer, by the kind of its route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.requests, m.seconds)
	return m
}

var kindNames = map[fleet.Kind]string{
	fleet.KindUnsafe: "unsafe", fleet.KindSafe: "safe", fleet.KindStream: "stream", fleet.KindBatch: "batch",
}

func (m *metrics) observe(route *fleet.Route, err error, took time.Duration) {
	kind := kindNames[route.Kind]
	m.requests.WithLabelValues(kind, outcomeOf(err)).Inc()
	m.seconds.WithLabelValues(kind).Observe(took.Seconds())
}

func outcomeOf(err error) string {
	if err == nil {
		return "answered"
	}
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName()
	}
	return "failed"
}

// Metrics returns the gateway's metrics.
func (g *Gateway) Metrics() *prometheus.Registry { return g.metrics.registry }
