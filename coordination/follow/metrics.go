package follow

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Metrics returns the follower's collectors.
func (f *Follower) Metrics() []prometheus.Collector {
	labels := prometheus.Labels{"stream": f.params.Stream}
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sycamoretally_log_age_seconds", Help: "Time since the process last knew that it was current.", ConstLabels: labels,
		}, func() float64 { return f.ageSeconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sycamoretally_log_folded_offset", Help: "Last offset folded.", ConstLabels: labels,
		}, func() float64 { return float64(f.Folded()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sycamoretally_log_read_bytes_total", Help: "Bytes of entries and snapshots taken.", ConstLabels: labels,
		}, func() float64 { return float64(f.BytesRead()) }),
	}
}

func (f *Follower) ageSeconds() float64 {
	if !f.CaughtUp() {
		return math.Inf(1)
	}
	return f.Age().Seconds()
}

// CheckAge fails with ErrBusy unless the follower is known to have been current
// within the last limit.
func (f *Follower) CheckAge(limit time.Duration) error {
	if !f.CaughtUp() {
		return protocol.ErrBusy.New("stream %s has not been read yet", f.params.Stream)
	}
	if age := f.Age(); age > limit {
		return protocol.ErrBusy.New("stream %s was last known to be current %v ago, more than %v", f.params.Stream, age.Round(time.Millisecond), limit)
	}
	return nil
}
