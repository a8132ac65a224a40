// Package instrument exports metrics of a process's calls to the platform's store, and
// of its log writer.
package instrument

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

var topicNames = map[fleet.Topic]string{
	fleet.TopicConfiguration: "configuration", fleet.TopicTargets: "targets", fleet.TopicWork: "work",
	fleet.TopicTexts: "texts",
}

// Store wraps a store and counts and times its calls.
type Store struct {
	store   fleet.Store
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	records *prometheus.CounterVec
}

// NewStore returns a wrapper of store that registers its metrics in registry.
func NewStore(store fleet.Store, registry *prometheus.Registry) *Store {
	s := &Store{
		store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_store_calls_total", Help: "Calls of the platform's store by topic, kind and result.",
		}, []string{"topic", "call", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sycamoretally_store_call_seconds", Help: "Time of a call of the platform's store.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
		}, []string{"call"}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sycamoretally_store_records_total", Help: "Records read from and appended to the platform's store by topic.",
		}, []string{"topic", "call"}),
	}
	registry.MustRegister(s.calls, s.seconds, s.records)
	return s
}

func (s *Store) observe(topic fleet.Topic, call string, start time.Time, records int, err error) {
	result := "ok"
	if typed := errorx.Cast(err); typed != nil {
		result = typed.Type().FullName()
	}
	name := topicNames[topic]
	s.calls.WithLabelValues(name, call, result).Inc()
	s.seconds.WithLabelValues(call).Observe(time.Since(start).Seconds())
	if err == nil {
		s.records.WithLabelValues(name, call).Add(float64(records))
	}
}

// Read implements fleet.Store.
func (s *Store) Read(ctx context.Context, topic fleet.Topic, from int64) (fleet.Page, error) {
	start := time.Now()
	page, err := s.store.Read(ctx, topic, from)
	s.observe(topic, "read", start, len(page.Records), err)
	return page, err
}

// ReadOne implements fleet.Store.
func (s *Store) ReadOne(ctx context.Context, topic fleet.Topic, at int64, bytes int) (fleet.Record, error) {
	start := time.Now()
	record, err := s.store.ReadOne(ctx, topic, at, bytes)
	s.observe(topic, "read_one", start, 1, err)
	return record, err
}

// NewestAfter implements fleet.Store.
func (s *Store) NewestAfter(ctx context.Context, topic fleet.Topic, key string) (fleet.NewestPage, error) {
	start := time.Now()
	page, err := s.store.NewestAfter(ctx, topic, key)
	s.observe(topic, "newest", start, len(page.Records), err)
	return page, err
}

// Append implements fleet.Store.
func (s *Store) Append(ctx context.Context, topic fleet.Topic, at int64, records []fleet.Record) (int64, error) {
	start := time.Now()
	offset, err := s.store.Append(ctx, topic, at, records)
	s.observe(topic, "append", start, len(records), err)
	return offset, err
}

// RegisterLogMetrics registers the numbers of waiting and dropped log lines of w.
func RegisterLogMetrics(w *logs.Writer, registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sycamoretally_log_lines_dropped_total", Help: "Log lines dropped because nobody read them in time.",
		}, func() float64 { return float64(w.Dropped()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sycamoretally_log_lines_waiting", Help: "Log lines that wait to be written.",
		}, func() float64 { return float64(w.Waiting()) }),
	)
}
