// Package outbox appends a process's records to a topic, many in one call, and
// keeps them until the store has them.
//
// It answers results that end at about the same time, calls that are priced, and
// a store that is away for seconds or loses its answers: records whose append
// may have been done are appended again, which their readers must allow. Each try
// has keys of its own: the store keeps the newest record of a key only, and a
// copy must not take the place of the first.
package outbox

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// gatherTime is how long a record waits for others.
	gatherTime = 30 * time.Millisecond
	// retryPause is the time between two tries.
	retryPause = 250 * time.Millisecond
)

// Entry is one record to append.
type Entry struct {
	// Record gets a key at each try where it has none.
	Record fleet.Record
	// Prefix begins the keys that it gets.
	Prefix string
	// Stored, if set, is called once the store has the record, with its key and
	// offset.
	Stored func(stored fleet.Record)
}

// Params say where records go.
type Params struct {
	Store fleet.Store
	Topic fleet.Topic
	// MaxBytes bounds the records of one append.
	MaxBytes int
	// NextKey returns a key that no other record has.
	NextKey func() string
}

// Outbox holds records until they are stored. It is safe for concurrent use.
type Outbox struct {
	params Params

	mu      sync.Mutex
	entries []Entry
	filled  chan struct{}
}

// New returns an empty outbox.
func New(p Params) *Outbox { return &Outbox{params: p, filled: make(chan struct{}, 1)} }

// Add takes records to append.
func (o *Outbox) Add(entries ...Entry) {
	o.mu.Lock()
	o.entries = append(o.entries, entries...)
	o.mu.Unlock()
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// Len returns the number of records that are not stored yet.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.entries)
}

// Run appends until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-o.filled:
			pause.For(ctx, gatherTime)
		case <-ctx.Done():
			return nil
		}
		for o.Len() > 0 && ctx.Err() == nil {
			o.append(ctx)
		}
	}
	return nil
}

// append tries to store the first records.
func (o *Outbox) append(ctx context.Context) {
	entries, batch := o.first()
	offset, err := o.params.Store.Append(ctx, o.params.Topic, fleet.AnyOffset, batch)
	if err != nil {
		klog.V(1).InfoS("records not stored yet", "records", len(batch), "error", protocol.CauseOf(err))
		pause.For(ctx, retryPause)
		return
	}
	for i, e := range entries {
		if e.Stored != nil {
			batch[i].Offset = offset + int64(i)
			e.Stored(batch[i])
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entries = o.entries[len(batch):]
}

// first returns the first entries that fit into one call, and copies of their
// records with keys.
func (o *Outbox) first() (entries []Entry, batch []fleet.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	for _, e := range o.entries {
		r := e.Record
		if r.Key == "" {
			r.Key = e.Prefix + o.params.NextKey()
		}
		size += len(r.Key) + len(r.Value)
		if len(batch) > 0 && size > o.params.MaxBytes {
			break
		}
		batch = append(batch, r)
	}
	return o.entries[:len(batch)], batch
}
