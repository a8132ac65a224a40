// Package fleetstore is a stand-in for the platform's store: in-memory topics
// that keep the newest record of each key, with faults that a test can inject.
package fleetstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Faults are the injected faults. The counters are decremented by each append
// that a fault affects.
type Faults struct {
	// Down makes every call fail with ErrStoreUnavailable.
	Down bool
	// LoseAnswers is the number of further appends that take effect but get no
	// answer.
	LoseAnswers int
	// LoseAppends is the number of further appends that neither take effect nor
	// get an answer.
	LoseAppends int
	// LateAppends is the number of further appends that get no answer and take
	// effect only after LateBy, if their offset still matches then.
	LateAppends int
	LateBy      time.Duration
	// Delay is the time that each call takes.
	Delay time.Duration
}

// MaxRecordBytes is the size limit of a record: the length of its key, in one byte, its key and
// its value.
const MaxRecordBytes = 256 << 10

// MaxCallBytes is the size limit of the records of one append.
const MaxCallBytes = 2 << 20

// Store is an in-memory fleet.Store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	faults Faults
	topics map[fleet.Topic]*topic
	calls  int
}

type topic struct {
	// records are those from offset first on; newest holds the newest record of
	// each key.
	first   int64
	records []fleet.Record
	newest  map[string]fleet.Record
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[fleet.Topic]*topic{}} }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops all records of the topic except the newest of each key.
func (s *Store) Compact(t fleet.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topic(t)
	top.first += int64(len(top.records))
	top.records = nil
}

// beginCall counts a call, applies the delay and the outage, and returns the
// faults in force at its start.
func (s *Store) beginCall(ctx context.Context) (Faults, error) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return faults, fleet.ErrStoreOutcomeUnknown.Wrap(ctx.Err(), "store call")
	}
	if faults.Down {
		return faults, fleet.ErrStoreUnavailable.New("store is down")
	}
	return faults, nil
}

// topic returns the topic, creating it if necessary. mu must be held.
func (s *Store) topic(t fleet.Topic) *topic {
	top := s.topics[t]
	if top == nil {
		top = &topic{newest: map[string]fleet.Record{}}
		s.topics[t] = top
	}
	return top
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// End returns the offset after the topic's last record. Delay and Down apply to
// it as to any call.
func (s *Store) End(ctx context.Context, t fleet.Topic) (int64, error) {
	if _, err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).end(), nil
}

// Newest returns the newest record of each key, in the order of their offsets, and the
// offset after the topic's last record.
func (s *Store) Newest(ctx context.Context, t fleet.Topic) ([]fleet.Record, int64, error) {
	if _, err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topic(t)
	var records []fleet.Record
	for _, r := range top.newest {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b fleet.Record) int { return int(a.Offset - b.Offset) })
	return records, top.end(), nil
}

// Read implements fleet.Store.
func (s *Store) Read(ctx context.Context, t fleet.Topic, from int64) (fleet.Page, error) {
	if _, err := s.beginCall(ctx); err != nil {
		return fleet.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	top := s.topic(t)
	if from < top.first {
		return fleet.Page{}, fleet.ErrRecordsExpired.New("offset %d", from)
	}
	return fleet.Page{Records: slices.Clone(top.records[from-top.first:]), Next: top.end(), End: top.end()}, nil
}

// ReadOne implements fleet.Store.
func (s *Store) ReadOne(ctx context.Context, t fleet.Topic, at int64, _ int) (fleet.Record, error) {
	page, err := s.Read(ctx, t, at)
	if err != nil {
		return fleet.Record{}, err
	}
	if len(page.Records) == 0 {
		return fleet.Record{}, fleet.ErrStoreUnavailable.New("no record at offset %d", at)
	}
	return page.Records[0], nil
}

// NewestAfter implements fleet.Store.
func (s *Store) NewestAfter(ctx context.Context, t fleet.Topic, key string) (fleet.NewestPage, error) {
	records, end, err := s.Newest(ctx, t)
	slices.SortFunc(records, func(a, b fleet.Record) int { return cmp.Compare(a.Key, b.Key) })
	return fleet.NewestPage{Records: RecordsAfter(records, key), End: end}, err
}

// RecordsAfter returns the records whose keys are greater than key. The records
// must be sorted by key.
func RecordsAfter(sorted []fleet.Record, key string) []fleet.Record {
	from, _ := slices.BinarySearchFunc(sorted, key, func(r fleet.Record, key string) int {
		if r.Key <= key {
			return -1
		}
		return 1
	})
	return sorted[from:]
}

// Append implements fleet.Store.
func (s *Store) Append(ctx context.Context, t fleet.Topic, at int64, records []fleet.Record) (int64, error) {
	if _, err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAppends > 0 {
		s.faults.LoseAppends--
		return 0, fleet.ErrStoreOutcomeUnknown.New("append lost without effect")
	}
	if s.faults.LateAppends > 0 {
		s.faults.LateAppends--
		time.AfterFunc(s.faults.LateBy, func() { s.appendLate(t, at, records) })
		return 0, fleet.ErrStoreOutcomeUnknown.New("append delayed without an answer")
	}
	if err := checkSizes(t, records); err != nil {
		return 0, err
	}
	offset, err := s.topic(t).append(at, records)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, fleet.ErrStoreOutcomeUnknown.New("answer lost after the append took effect")
	}
	return offset, err
}

// checkSizes returns ErrUnstorable if the store does not take records of such a size. The
// operator's configuration may be larger than the system's own records.
func checkSizes(t fleet.Topic, records []fleet.Record) error {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
		if size > MaxCallBytes {
			return fleet.ErrUnstorable.New("%d records with more than %d bytes in one call", len(records), MaxCallBytes)
		}
		if len(r.Key) > fleet.MaxKeyBytes || t != fleet.TopicConfiguration && len(r.Key)+len(r.Value) >= MaxRecordBytes {
			return fleet.ErrUnstorable.New("record with a key of %d and a value of %d bytes", len(r.Key), len(r.Value))
		}
	}
	return nil
}

// appendLate carries out an append whose caller has already got an error.
func (s *Store) appendLate(t fleet.Topic, at int64, records []fleet.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.topic(t).append(at, records) // the caller has already got an error
}

// append adds the records if the topic ends at offset at, or at is
// fleet.AnyOffset.
func (t *topic) append(at int64, records []fleet.Record) (int64, error) {
	offset := t.end()
	if at != fleet.AnyOffset && at != offset {
		return 0, fleet.ErrTopicEndMoved.New("topic ends at offset %d", offset)
	}
	for i, r := range records {
		r.Offset = offset + int64(i)
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	return offset, nil
}
