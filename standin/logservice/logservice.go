// Package logservice is a stand-in for the platform's log service: an in-memory
// append-only log with offsets, limited retention, a rate limit, and faults that
// a test can inject.
package logservice

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Params are the properties of the service.
type Params struct {
	// AppendsPerSecond limits the appends to all streams together; zero means no
	// limit.
	AppendsPerSecond float64
	// Retention is how long an entry is kept; zero means without limit.
	Retention time.Duration
}

// Faults are the injected faults.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the number of further appends that take effect but get no
	// answer.
	LoseAnswers int `json:"lose_answers"`
}

// Service is the log service. It implements backend.Log and is safe for
// concurrent use.
type Service struct {
	params  Params
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends uint64
	bytes   uint64
}

type stream struct {
	first   uint64
	entries []entry
	// appended is closed at the next append.
	appended chan struct{}
}

type entry struct {
	data []byte
	at   time.Time
}

// New returns a service without faults.
func New(p Params) *Service {
	limit := rate.Inf
	if p.AppendsPerSecond > 0 {
		limit = rate.Limit(p.AppendsPerSecond)
	}
	return &Service{
		params:  p,
		limiter: rate.NewLimiter(limit, int(p.AppendsPerSecond/10)+1),
		streams: map[string]*stream{},
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Appends returns the number of appends that took effect and their bytes.
func (s *Service) Appends() (count, bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.bytes
}

// Append implements backend.Log.
func (s *Service) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > protocol.MaxEntryBytes {
		return 0, protocol.ErrTooLarge.New("entry of %d bytes", len(data))
	}
	if err := s.delay(ctx); err != nil {
		return 0, err
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return 0, protocol.ErrLogUnavailable.Wrap(err, "rate limit")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, protocol.ErrLogUnavailable.New("outage")
	}
	st := s.stream(name)
	st.entries = append(st.entries, entry{data: data, at: time.Now()})
	s.appends++
	s.bytes += uint64(len(data))
	close(st.appended)
	st.appended = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, protocol.ErrAnswerLost.New("append to %s", name)
	}
	return st.next() - 1, nil
}

// Read implements backend.Log.
func (s *Service) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (backend.LogPage, error) {
	if err := s.delay(ctx); err != nil {
		return backend.LogPage{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := s.page(name, from, min(limit, backend.PageLimit))
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, protocol.ErrLogUnavailable.Wrap(ctx.Err(), "read %s", name)
		}
	}
}

// page returns the entries from offset from on, and a channel that is closed at
// the stream's next append.
func (s *Service) page(name string, from uint64, limit int) (backend.LogPage, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return backend.LogPage{}, nil, protocol.ErrLogUnavailable.New("outage")
	}
	st := s.stream(name)
	st.expire(s.params.Retention)
	page := backend.LogPage{First: st.first, Next: st.next()}
	if from == 0 {
		from = st.first
	}
	if from < st.first {
		return page, nil, protocol.ErrOffsetExpired.New("offset %d, oldest is %d", from, st.first)
	}
	for o := from; o < st.next() && len(page.Entries) < limit; o++ {
		page.Entries = append(page.Entries, backend.LogEntry{Offset: o, Data: st.entries[o-st.first].data})
	}
	return page, st.appended, nil
}

func (s *Service) delay(ctx context.Context) error {
	s.mu.Lock()
	d := time.Duration(s.faults.DelayMillis) * time.Millisecond
	s.mu.Unlock()
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return protocol.ErrLogUnavailable.Wrap(ctx.Err(), "delayed log call")
	}
}

// stream returns the stream, creating it if necessary. mu must be held.
func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.entries)) }

// expire drops the entries that are older than the retention period.
func (st *stream) expire(retention time.Duration) {
	if retention <= 0 {
		return
	}
	limit := time.Now().Add(-retention)
	n := 0
	for n < len(st.entries) && st.entries[n].at.Before(limit) {
		n++
	}
	st.first += uint64(n)
	st.entries = st.entries[n:]
}
