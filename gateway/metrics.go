package gateway

import (
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/topic"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// metrics holds the gateway's counters and histograms.
type metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	seconds     *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	oversized   *prometheus.CounterVec
	loadQueries *prometheus.CounterVec
	// accessRefusals counts requests and attempts that were refused because of their key.
	accessRefusals *prometheus.CounterVec
	// choices counts choices of targets by what they were based on, and capacity is the
	// learned capacity of the targets chosen.
	choices  *prometheus.CounterVec
	capacity prometheus.Histogram
	// emptyPageAge is the age of the work log in answers that an open job has no more
	// results.
	emptyPageAge prometheus.Histogram
	// startWaits, startWaitSeconds and startSeconds tell of the time before the first reads.
	startWaits       *prometheus.CounterVec
	startWaitSeconds prometheus.Histogram
	startSeconds     prometheus.Gauge
	// announced counts uses of what a batcher says of a later incarnation at its address.
	announced prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		registry: registry,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_requests_total", Help: "Callers' requests by the kind of their route and their outcome.",
		}, []string{"kind", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_request_seconds", Help: "Time from a request to the end of its answer, by the kind of its route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_attempts_total", Help: "Attempts at targets by their outcome.",
		}, []string{"outcome"}),
		oversized: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_oversized_answers_total", Help: "Answers of targets that were broken off because they exceeded a limit, by limit.",
		}, []string{"limit"}),
		loadQueries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_targets_asked_total", Help: "Targets whose batcher was asked for their load, by whether it answered in time.",
		}, []string{"result"}),
		accessRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_access_refusals_total", Help: "Requests and attempts that were refused because of their key, by reason.",
		}, []string{"reason"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_choices_total", Help: "Choices of targets: by what their batchers have learned, by the online requests that these count, or by this gateway's own counts; full ones had no room.",
		}, []string{"by"}),
		capacity: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_chosen_capacity", Help: "Requests that the chosen target takes well, as its batcher has learned.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}),
		emptyPageAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_empty_page_age_seconds", Help: "Age of the work log in answers that an open job has no more results yet.",
			Buckets: []float64{0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5},
		}),
		startWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_start_requests_total", Help: "Requests that came before the first reads of configuration and targets, by what became of them.",
		}, []string{"result"}),
		startWaitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sycamoretally_gateway_start_wait_seconds", Help: "Time that requests waited for the first reads of configuration and targets.",
			Buckets: []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5},
		}),
		startSeconds: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sycamoretally_gateway_start_seconds", Help: "Time from the start to the first reads of configuration and targets.",
		}),
		announced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sycamoretally_gateway_targets_announced_total", Help: "Answers of batchers by which a registered target was replaced by the incarnation that runs at its address.",
		}),
	}
	m.registry.MustRegister(m.requests, m.seconds, m.attempts, m.oversized, m.loadQueries, m.accessRefusals, m.choices, m.capacity, m.emptyPageAge, m.startWaits, m.startWaitSeconds, m.startSeconds, m.announced)
	return m
}

// observeChoice counts the choice of a target.
func (m *metrics) observeChoice(c balancing.Choice) {
	by := "own"
	switch {
	case c.RoomKnown && c.Room <= 0:
		by = "full"
	case c.Capacity > 0:
		by = "learned"
	case c.ProbeAnswers > 0:
		by = "counted"
	}
	m.choices.WithLabelValues(by).Inc()
	if c.Capacity > 0 {
		m.capacity.Observe(float64(c.Capacity))
	}
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

// registerGauges registers gauges of the gateway's current state.
func (g *Gateway) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		g.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("sycamoretally_gateway_requests_active", "Requests that run now.", func() float64 { return float64(g.active.Load()) })
	gauge("sycamoretally_gateway_ready", "1 while callers may connect.", func() float64 {
		if g.Ready() {
			return 1
		}
		return 0
	})
	gauge("sycamoretally_gateway_configuration_version", "Version of the configuration in force.", func() float64 {
		if c := g.configs.Current(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("sycamoretally_gateway_targets", "Targets that are registered and do not drain.", func() float64 {
		count := 0
		for _, list := range g.targets.Current().Services {
			count += len(list)
		}
		return float64(count)
	})
	for name, f := range map[string]*topic.Follower{"configuration": g.configTail, "targets": g.targetTail, "work": g.workTail} {
		gauge("sycamoretally_gateway_"+name+"_age_seconds", "Time since the topic "+name+" was last known to be current.", func() float64 {
			age, _ := f.Age()
			return age.Seconds()
		})
	}
	gauge("sycamoretally_gateway_text_bytes", "Outputs of items that are kept to be read again.", func() float64 {
		return float64(g.texts.cache.Bytes())
	})
	gauge("sycamoretally_gateway_jobs_open", "Jobs with items still to be done.", func() float64 {
		g.jobsMu.RLock()
		defer g.jobsMu.RUnlock()
		return float64(len(g.fold.OpenJobs()))
	})
}

// Metrics returns the registry of the gateway's metrics.
func (g *Gateway) Metrics() *prometheus.Registry { return g.metrics.registry }
