// Package outbox batches the records of a process into appends to a topic, and
// keeps each record until the store has confirmed it.
//
// Results often end at about the same time and appends are billed per call, hence
// the batching. The store may be unavailable for seconds or lose its answers, so a
// batch whose append may have succeeded is appended again, and readers must
// tolerate duplicates. Each attempt generates new keys: the store keeps only the
// newest record of a key, and a duplicate must not replace the first copy.
//
// A record that the store never takes must not hold up those behind it. The records of a
// batch that the store refuses for good are appended one by one, and one that is refused alone
// time and again is dropped.
package outbox

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// batchDelay is how long a record waits for others to share an append.
	batchDelay = 30 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between two attempts.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// maxRefusals is the number of times that the store must refuse a record for good, with no
	// other record in the append, before the record is dropped.
	maxRefusals = 3
)

// PendingRecord is a record to append.
type PendingRecord struct {
	// Record is the record to append. If it has no key, each attempt generates one.
	Record fleet.Record
	// KeyPrefix is the prefix of generated keys.
	KeyPrefix string
	// OnRefused, if set, is called once the record is dropped since the store will never take
	// it.
	OnRefused func()
	// OnStored, if set, is called once the store has confirmed the record, with the
	// key and offset of the confirmed copy.
	OnStored func(stored fleet.Record)
}

// Params configure an outbox.
type Params struct {
	Store fleet.Store
	Topic fleet.Topic
	// MaxBytes bounds the total size of the records of one append, unless a single
	// record is larger.
	MaxBytes int
	// NextKey returns a unique key.
	NextKey func() string
}

// Outbox holds records until they are stored. It is safe for concurrent use.
type Outbox struct {
	params Params
	// backoff is used by Run only.
	backoff pause.Backoff
	// singles is the number of pending records, from the oldest on, that are appended one by
	// one, and refusals how often the store has refused the oldest of them. Run only uses them.
	singles  int
	refusals int

	mu      sync.Mutex
	pending []PendingRecord
	// refused is the number of records dropped.
	refused int
	// lastStored is the start of the last successful append.
	lastStored time.Time
	added      chan struct{}
}

// New returns an empty outbox.
func New(p Params) *Outbox {
	return &Outbox{params: p, backoff: pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}, added: make(chan struct{}, 1)}
}

// Add queues records to append.
func (o *Outbox) Add(records ...PendingRecord) {
	o.mu.Lock()
	o.pending = append(o.pending, records...)
	o.mu.Unlock()
	select {
	case o.added <- struct{}{}:
	default:
	}
}

// Len returns the number of records that the store has not confirmed yet.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// Refused returns the number of records that were dropped since the store never takes them.
func (o *Outbox) Refused() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refused
}

// LastStored returns when the last successful append began, the zero time if there was
// none.
func (o *Outbox) LastStored() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastStored
}

// Run appends queued records until ctx ends.
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

// appendBatch tries once to append the next batch. After a failure it waits.
func (o *Outbox) appendBatch(ctx context.Context) {
	pending, batch := o.nextBatch()
	begun := time.Now()
	offset, err := o.params.Store.Append(ctx, o.params.Topic, fleet.AnyOffset, batch)
	if errorx.IsOfType(err, fleet.ErrUnstorable) && o.isolate(pending, err) {
		return
	}
	if err != nil {
		klog.V(1).InfoS("failed to append records, will retry", "records", len(batch), "error", protocol.CauseOf(err))
		pause.For(ctx, o.backoff.Next())
		return
	}
	o.backoff.Reset()
	o.singles, o.refusals = max(0, o.singles-len(batch)), 0
	for i, p := range pending {
		if p.OnStored != nil {
			batch[i].Offset = offset + int64(i)
			p.OnStored(batch[i])
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = o.pending[len(batch):]
	o.lastStored = begun
}

// isolate handles that the store refuses a batch for good. It reports whether to go on without a
// delay: the records of the batch are appended one by one from now on, or its only record was
// dropped.
func (o *Outbox) isolate(batch []PendingRecord, refusal error) bool {
	if len(batch) > 1 {
		o.singles = len(batch)
		return true
	}
	if o.refusals++; o.refusals < maxRefusals {
		return false
	}
	dropped := batch[0]
	klog.ErrorS(nil, "record refused by the store, dropped", "key", dropped.Record.Key, "bytes", len(dropped.Record.Value), "error", protocol.CauseOf(refusal))
	o.singles, o.refusals = max(0, o.singles-1), 0
	if dropped.OnRefused != nil {
		dropped.OnRefused()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = o.pending[1:]
	o.refused++
	return true
}

// nextBatch returns the oldest pending records that fit into one append, and copies
// of them that all have keys.
func (o *Outbox) nextBatch() (pending []PendingRecord, batch []fleet.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := 0
	for _, p := range o.pending {
		r := p.Record
		if r.Key == "" {
			r.Key = p.KeyPrefix + o.params.NextKey()
		}
		size += len(r.Key) + len(r.Value)
		if len(batch) > 0 && (size > o.params.MaxBytes || o.singles > 0) {
			break
		}
		batch = append(batch, r)
	}
	return o.pending[:len(batch)], batch
}
