package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// maxOutboxRecords bounds the records that wait for the log, including the one
	// reserved for each running call.
	maxOutboxRecords = 1024
	// maxOutboxBytes bounds the total size of the results that wait for the log.
	maxOutboxBytes = 32 << 20
	// maxAppendRecords and maxAppendBytes bound one append.
	maxAppendRecords = 64
	maxAppendBytes   = 4 << 20
	// appendRetryDelay is the time between two attempts at a background append.
	appendRetryDelay = 500 * time.Millisecond
)

// outbox holds the records that are not in the log yet, and appends them in the
// background. While it is full, the sidecar starts no call whose record might have to
// wait here. A record that the log refuses for its size is dropped.
type outbox struct {
	appendRecords func(context.Context, []protocol.Record) error

	mu       sync.Mutex
	reserved int
	records  []protocol.Record
	bytes    int
	// refused is the number of records that were dropped since the log never takes them.
	refused int
	wake    chan struct{}
	// empty is closed and replaced whenever the last record has been appended.
	empty chan struct{}
}

func newOutbox(appendRecords func(context.Context, []protocol.Record) error) *outbox {
	return &outbox{appendRecords: appendRecords, wake: make(chan struct{}, 1), empty: make(chan struct{})}
}

// reserve reserves room for the one record of a call, and unreserve releases it. It
// fails with ErrBusy if the outbox is full.
func (o *outbox) reserve() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserved+len(o.records) >= maxOutboxRecords || o.bytes >= maxOutboxBytes {
		return protocol.ErrBusy.New("%d records wait for the log", len(o.records))
	}
	o.reserved++
	return nil
}

func (o *outbox) unreserve() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserved--
}

// add queues a record for appending.
func (o *outbox) add(rec protocol.Record) {
	o.mu.Lock()
	o.records = append(o.records, rec)
	o.bytes += resultBytes(&rec)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// resultBytes returns the size of the result in a record, 0 for other records.
func resultBytes(rec *protocol.Record) int {
	if rec.Complete == nil {
		return 0
	}
	return len(rec.Complete.Result.Body)
}

// pending returns the number of records that wait for the log.
func (o *outbox) pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.records)
}

// run appends records until ctx ends, and then logs those that it drops.
func (o *outbox) run(ctx context.Context) error {
	for ctx.Err() == nil {
		batch := o.nextBatch()
		if len(batch) == 0 {
			select {
			case <-o.wake:
			case <-ctx.Done():
			}
			continue
		}
		err := o.appendRecords(ctx, batch)
		if errorx.IsOfType(err, protocol.ErrTooLarge) && len(batch) > 1 {
			batch = batch[:1]
			err = o.appendRecords(ctx, batch)
		}
		if errorx.IsOfType(err, protocol.ErrTooLarge) {
			o.dropOldest()
			continue
		}
		if err != nil {
			klog.V(1).InfoS("records not stored; retrying", "records", len(batch), "error", protocol.CauseOf(err))
			pause.For(ctx, appendRetryDelay)
			continue
		}
		o.removeFirst(len(batch))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.records {
		klog.InfoS("record dropped", "record", o.records[i].ID)
	}
	return nil
}

// dropOldest drops the oldest record, which the log will never take: it must not hold up those
// behind it.
func (o *outbox) dropOldest() {
	o.mu.Lock()
	rec := o.records[0]
	o.refused++
	o.mu.Unlock()
	klog.ErrorS(nil, "record refused by the log, dropped", "record", rec.ID, "bytes", resultBytes(&rec))
	o.removeFirst(1)
}

// refusals returns the number of records that were dropped.
func (o *outbox) refusals() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refused
}

// nextBatch returns the oldest records that fit in one append.
func (o *outbox) nextBatch() []protocol.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, size := 0, 0
	for n < len(o.records) && n < maxAppendRecords {
		size += resultBytes(&o.records[n])
		if n > 0 && size > maxAppendBytes {
			break
		}
		n++
	}
	return o.records[:n:n]
}

// removeFirst removes the n oldest records.
func (o *outbox) removeFirst(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range n {
		o.bytes -= resultBytes(&o.records[i])
	}
	o.records = append([]protocol.Record(nil), o.records[n:]...)
	if len(o.records) == 0 {
		close(o.empty)
		o.empty = make(chan struct{})
	}
}

// awaitEmpty waits until no record is left or ctx ends.
func (o *outbox) awaitEmpty(ctx context.Context) {
	o.mu.Lock()
	empty, waiting := o.empty, len(o.records)
	o.mu.Unlock()
	if waiting == 0 {
		return
	}
	select {
	case <-empty:
	case <-ctx.Done():
		klog.InfoS("drain timeout", "records", o.pending())
	}
}
