package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Recorder collects what the requests of one policy met.
type Recorder struct {
	mu      sync.Mutex
	streams map[string]*streamRecord
}

type streamRecord struct {
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	outcomes map[protocol.Outcome]int
	wrong    int
	// seconds holds the first-token times by second of the run.
	seconds map[int]*hdrhistogram.Histogram
}

// NewRecorder returns a recorder without requests.
func NewRecorder() *Recorder { return &Recorder{streams: map[string]*streamRecord{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Sample is what one request met. Times count from its intended start.
type Sample struct {
	Stream  string
	At      time.Duration
	First   time.Duration
	Whole   time.Duration
	Gaps    []time.Duration
	Outcome protocol.Outcome
	// Wrong is set where the answer is not the request's own.
	Wrong bool
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.streams[s.Stream]
	if rec == nil {
		rec = &streamRecord{
			first: newHistogram(), gap: newHistogram(), whole: newHistogram(),
			outcomes: map[protocol.Outcome]int{}, seconds: map[int]*hdrhistogram.Histogram{},
		}
		r.streams[s.Stream] = rec
	}
	rec.outcomes[s.Outcome]++
	if s.Wrong {
		rec.wrong++
	}
	if s.Outcome != protocol.OutcomeCompleted {
		return
	}
	record(rec.first, s.First)
	record(rec.whole, s.Whole)
	for _, g := range s.Gaps {
		record(rec.gap, g)
	}
	second := int(s.At / time.Second)
	if rec.seconds[second] == nil {
		rec.seconds[second] = newHistogram()
	}
	record(rec.seconds[second], s.First)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const perMilli = 1000
	return Percentiles{
		P50: float64(h.ValueAtPercentile(50)) / perMilli,
		P95: float64(h.ValueAtPercentile(95)) / perMilli,
		P99: float64(h.ValueAtPercentile(99)) / perMilli,
		Max: float64(h.Max()) / perMilli,
	}
}

// StreamResult sums up one stream of requests.
type StreamResult struct {
	Stream   string                   `json:"stream"`
	First    Percentiles              `json:"first_token"`
	Gap      Percentiles              `json:"between_tokens"`
	Whole    Percentiles              `json:"whole"`
	Outcomes map[protocol.Outcome]int `json:"outcomes"`
	Wrong    int                      `json:"wrong"`
	// FirstP95BySecond holds the 95th percentile of the first token by second of
	// the run, in milliseconds.
	FirstP95BySecond map[int]float64 `json:"first_p95_by_second"`
}

// Result returns the sums of a stream.
func (r *Recorder) Result(stream string) StreamResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.streams[stream]
	if rec == nil {
		return StreamResult{Stream: stream}
	}
	res := StreamResult{
		Stream: stream, First: percentiles(rec.first), Gap: percentiles(rec.gap), Whole: percentiles(rec.whole),
		Outcomes: rec.outcomes, Wrong: rec.wrong, FirstP95BySecond: map[int]float64{},
	}
	for second, h := range rec.seconds {
		res.FirstP95BySecond[second] = percentiles(h).P95
	}
	return res
}
