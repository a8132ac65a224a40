package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// rateMetrics counts what becomes of requests whose workspace has a rate.
type rateMetrics struct {
	requests *prometheus.CounterVec
	asks     *prometheus.CounterVec
	seconds  prometheus.Histogram
}

func newRateMetrics(registry *prometheus.Registry) *rateMetrics {
	m := &rateMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_rate_requests_total", Help: "Requests of workspaces with a rate, by what was decided.",
		}, []string{"outcome"}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_rate_asks_total", Help: "Questions to other gateways about rates, by their answer.",
		}, []string{"answer"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_rate_seconds", Help: "Time until it was decided whether a request is within its workspace's rate.",
			Buckets: []float64{0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256},
		}),
	}
	registry.MustRegister(m.requests, m.asks, m.seconds)
	return m
}

var verdictNames = map[fleet.RateVerdict]string{
	fleet.RateAdmitted: "admitted", fleet.RateExceeded: "exceeded", fleet.RateElsewhere: "elsewhere",
	fleet.RateGiven: "given", fleet.RateNotHeld: "not_held",
}

func outcomeAdmitted(byDeputy bool) string {
	if byDeputy {
		return "admitted_by_deputy"
	}
	return "admitted"
}
