package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// waitingMetrics holds the metrics of the waiting room.
type waitingMetrics struct {
	waiting *prometheus.GaugeVec
	seconds *prometheus.HistogramVec
	refused *prometheus.CounterVec
	// ended counts the requests that have left the waiting room.
	ended *prometheus.CounterVec
	// misjudged is the difference between the time that a request waited and the time that
	// was estimated when it came.
	misjudged prometheus.Histogram
}

func newWaitingMetrics(registry *prometheus.Registry) *waitingMetrics {
	m := &waitingMetrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sycamoretally_gateway_requests_waiting", Help: "Requests that wait at the gateway because no target has room, by rank.",
		}, []string{"rank"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_waited_seconds", Help: "Time for which requests waited at the gateway, by rank.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 9),
		}, []string{"rank"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_waiting_refused_total", Help: "Requests that were refused because no target had room, by reason.",
		}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_waiting_ended_total", Help: "Requests that left the waiting room, by rank and by whether a target took them.",
		}, []string{"rank", "result"}),
		misjudged: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_wait_misjudged_seconds", Help: "Time for which a request waited, less the time that was estimated when it came.",
			Buckets: []float64{-0.4, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.4},
		}),
	}
	registry.MustRegister(m.waiting, m.seconds, m.refused, m.ended, m.misjudged)
	return m
}

// left counts a request that has left the waiting room.
func (m *waitingMetrics) left(t *waiter, waited time.Duration, departs bool) {
	rank := rankLabel(t.ticket.Rank)
	m.waiting.WithLabelValues(rank).Dec()
	m.seconds.WithLabelValues(rank).Observe(waited.Seconds())
	if !departs {
		m.ended.WithLabelValues(rank, "given_up").Inc()
		return
	}
	m.ended.WithLabelValues(rank, "sent").Inc()
	if t.promised > 0 {
		m.misjudged.Observe((waited - t.promised).Seconds())
	}
}
