// Package outbox appends a process's records to a topic, many in one call, and
// keeps them until the store has them.
//
// It answers results that end at about the same time, calls that are priced, and
// a store that is away for seconds or loses its answers: records whose append
// may have been done are appended again, which their readers must allow.
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

// Outbox holds records until they are stored. It is safe for concurrent use.
type Outbox struct {
	store    fleet.Store
	topic    fleet.Topic
	maxBytes int

	mu      sync.Mutex
	records []fleet.Record
	filled  chan struct{}
}

// New returns an empty outbox. maxBytes bounds the records of one append.
func New(store fleet.Store, topic fleet.Topic, maxBytes int) *Outbox {
	return &Outbox{store: store, topic: topic, maxBytes: maxBytes, filled: make(chan struct{}, 1)}
}

// Add takes records to append.
func (o *Outbox) Add(records ...fleet.Record) {
	o.mu.Lock()
	o.records = append(o.records, records...)
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
	return len(o.records)
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
	batch := o.first()
	_, err := o.store.Append(ctx, o.topic, fleet.AnyOffset, batch)
	if err != nil {
		klog.V(1).InfoS("records not stored yet", "records", len(batch), "error", protocol.CauseOf(err))
		pause.For(ctx, retryPause)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records = o.records[len(batch):]
}

// first returns the first records that fit into one call.
func (o *Outbox) first() []fleet.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	for i, r := range o.records {
		size += len(r.Key) + len(r.Value)
		if i > 0 && size > o.maxBytes {
			return o.records[:i:i]
		}
	}
	return o.records[:len(o.records):len(o.records)]
}
