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
	// batchDelay is how long a record waits for others.
	batchDelay = 30 * time.Millisecond
	// retryDelay is the time between two tries.
	retryDelay = 250 * time.Millisecond
)

// PendingRecord is one record to append.
type PendingRecord struct {
	// Record gets a key at each try where it has none.
	Record fleet.Record
	// KeyPrefix begins the keys that it gets.
	KeyPrefix string
	// OnStored, if set, is called once the store has the record, with its key and
	// offset.
	OnStored func(stored fleet.Record)
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
	pending []PendingRecord
	added   chan struct{}
}

// New returns an empty outbox.
func New(p Params) *Outbox { return &Outbox{params: p, added: make(chan struct{}, 1)} }

// Add takes records to append.
func (o *Outbox) Add(entries ...PendingRecord) {
	o.mu.Lock()
	o.pending = append(o.pending, entries...)
	o.mu.Unlock()
	select {
	case o.added <- struct{}{}:
	default:
	}
}

// Len returns the number of records that are not stored yet.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// Run appends until ctx ends.
func (o *Outbox) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-o.added:
			pause.For(ctx, batchDelay)
		case <-ctx.Done():
			return nil
		}
		for o.Len() > 0 && ctx.Err() == nil {
			o.appendBatch(ctx)
		}
	}
	return nil
}

// appendBatch tries to store the first records.
func (o *Outbox) appendBatch(ctx context.Context) {
	entries, batch := o.nextBatch()
	offset, err := o.params.Store.Append(ctx, o.params.Topic, fleet.AnyOffset, batch)
	if err != nil {
		klog.V(1).InfoS("records not stored yet", "records", len(batch), "error", protocol.CauseOf(err))
		pause.For(ctx, retryDelay)
		return
	}
	for i, e := range entries {
		if e.OnStored != nil {
			batch[i].Offset = offset + int64(i)
			e.OnStored(batch[i])
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = o.pending[len(batch):]
}

// nextBatch returns the first entries that fit into one call, and copies of their
// records with keys.
func (o *Outbox) nextBatch() (entries []PendingRecord, batch []fleet.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	for _, e := range o.pending {
		r := e.Record
		if r.Key == "" {
			r.Key = e.KeyPrefix + o.params.NextKey()
		}
		size += len(r.Key) + len(r.Value)
		if len(batch) > 0 && size > o.params.MaxBytes {
			break
		}
		batch = append(batch, r)
	}
	return o.pending[:len(batch)], batch
}
