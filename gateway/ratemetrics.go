package gateway

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// maxNamedWorkspaces bounds the number of workspaces that metrics name; the others are
// counted together.
const maxNamedWorkspaces = 32

// rateMetrics counts what becomes of requests whose workspace has a rate.
type rateMetrics struct {
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	asks     *prometheus.CounterVec
	seconds  prometheus.Histogram

	// mu guards named, which holds the workspaces that metrics name.
	mu    sync.Mutex
	named map[string]bool
}

func newRateMetrics(registry *prometheus.Registry) *rateMetrics {
	m := &rateMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_rate_requests_total", Help: "Requests of workspaces with a rate, by what was decided.",
		}, []string{"outcome"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_rate_refused_total", Help: "Requests that were refused because of their workspace's rate, by workspace; the first few are named.",
		}, []string{"workspace", "reason"}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_rate_asks_total", Help: "Questions to other gateways about rates, by their answer.",
		}, []string{"answer"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_rate_seconds", Help: "Time until it was decided whether a request is within its workspace's rate.",
			Buckets: []float64{0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256},
		}),
		named: map[string]bool{},
	}
	registry.MustRegister(m.requests, m.refused, m.asks, m.seconds)
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

// count counts what was decided about a request of the workspace.
func (m *rateMetrics) count(workspace, outcome string) {
	m.requests.WithLabelValues(outcome).Inc()
	if outcome == "exceeded" || outcome == "unknown" {
		m.refused.WithLabelValues(m.nameOf(workspace), outcome).Inc()
	}
}

// nameOf returns the workspace's name if metrics name it.
func (m *rateMetrics) nameOf(workspace string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[workspace] && len(m.named) >= maxNamedWorkspaces {
		return "others"
	}
	m.named[workspace] = true
	return workspace
}
