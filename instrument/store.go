// Package instrument counts and times what a process asks of the platform's
// store, and how its log keeps up.
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

// Store is a store whose calls are counted.
type Store struct {
	store   fleet.Store
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
	records *prometheus.CounterVec
}

// NewStore counts the calls of store in the registry.
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

func (s *Store) observe(topic fleet.Topic, call string, begun time.Time, records int, err error) {
	result := "ok"
	if typed := errorx.Cast(err); typed != nil {
		result = typed.Type().FullName()
	}
	name := topicNames[topic]
	s.calls.WithLabelValues(name, call, result).Inc()
	s.seconds.WithLabelValues(call).Observe(time.Since(begun).Seconds())
	if err == nil {
		s.records.WithLabelValues(name, call).Add(float64(records))
	}
}

// Newest implements fleet.Store.
func (s *Store) Newest(ctx context.Context, topic fleet.Topic) ([]fleet.Record, int64, error) {
	begun := time.Now()
	records, next, err := s.store.Newest(ctx, topic)
	s.observe(topic, "newest", begun, len(records), err)
	return records, next, err
}

// Read implements fleet.Store.
func (s *Store) Read(ctx context.Context, topic fleet.Topic, from int64) (fleet.Page, error) {
	begun := time.Now()
	page, err := s.store.Read(ctx, topic, from)
	s.observe(topic, "read", begun, len(page.Records), err)
	return page, err
}

// ReadOne implements fleet.Store.
func (s *Store) ReadOne(ctx context.Context, topic fleet.Topic, at int64, bytes int) (fleet.Record, error) {
	begun := time.Now()
	record, err := s.store.ReadOne(ctx, topic, at, bytes)
	s.observe(topic, "read_one", begun, 1, err)
	return record, err
}

// NewestAfter implements fleet.Store.
func (s *Store) NewestAfter(ctx context.Context, topic fleet.Topic, key string) ([]fleet.Record, error) {
	begun := time.Now()
	records, err := s.store.NewestAfter(ctx, topic, key)
	s.observe(topic, "newest_after", begun, len(records), err)
	return records, err
}

// Append implements fleet.Store.
func (s *Store) Append(ctx context.Context, topic fleet.Topic, at int64, records []fleet.Record) (int64, error) {
	begun := time.Now()
	offset, err := s.store.Append(ctx, topic, at, records)
	s.observe(topic, "append", begun, len(records), err)
	return offset, err
}

// RegisterLogMetrics registers how the process's log keeps up.
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
