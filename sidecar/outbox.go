package sidecar

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// outboxRecords bounds the records that wait for the log, those of running
	// calls included.
	outboxRecords = 1024
	// outboxBytes bounds the results that wait for the log, in bytes.
	outboxBytes = 32 << 20
	// outboxBatch and outboxBatchBytes bound one append.
	outboxBatch      = 64
	outboxBatchBytes = 4 << 20
	// appendRetryDelay is the time between two tries of a background append.
	appendRetryDelay = 500 * time.Millisecond
)

// outbox holds the records that the log has not taken yet, and appends them in
// the background. While it is full the sidecar starts no call whose record it
// might have to keep.
type outbox struct {
	append func(context.Context, []protocol.Record) error

	mu       sync.Mutex
	reserved int
	records  []protocol.Record
	bytes    int
	wake     chan struct{}
	// empty is closed and replaced whenever the last record has left.
	empty chan struct{}
}

func newOutbox(append func(context.Context, []protocol.Record) error) *outbox {
	return &outbox{append: append, wake: make(chan struct{}, 1), empty: make(chan struct{})}
}

// reserve makes room for the one record of a call. It fails with ErrBusy where
// there is none. free gives the room back.
func (o *outbox) reserve() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reserved+len(o.records) >= outboxRecords || o.bytes >= outboxBytes {
		return protocol.ErrBusy.New("%d records wait for the log", len(o.records))
	}
	o.reserved++
	return nil
}

func (o *outbox) free() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reserved--
}

// add queues a record.
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

func resultBytes(rec *protocol.Record) int {
	if rec.Complete == nil {
		return 0
	}
	return len(rec.Complete.Result.Body)
}

// waiting returns the number of records that wait.
func (o *outbox) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.records)
}

// run appends until ctx ends, and names the records that it then gives up.
func (o *outbox) run(ctx context.Context) error {
	for ctx.Err() == nil {
		batch := o.next()
		if len(batch) == 0 {
			select {
			case <-o.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := o.append(ctx, batch); err != nil {
			klog.V(1).InfoS("records not stored yet", "records", len(batch), "error", protocol.CauseOf(err))
			pause.For(ctx, appendRetryDelay)
			continue
		}
		o.drop(len(batch))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.records {
		klog.InfoS("record given up", "record", o.records[i].ID)
	}
	return nil
}

// next returns the oldest records that fit into one append.
func (o *outbox) next() []protocol.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, size := 0, 0
	for n < len(o.records) && n < outboxBatch {
		size += resultBytes(&o.records[n])
		if n > 0 && size > outboxBatchBytes {
			break
		}
		n++
	}
	return o.records[:n:n]
}

func (o *outbox) drop(n int) {
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

// drain waits until no record waits or ctx ends.
func (o *outbox) drain(ctx context.Context) {
	o.mu.Lock()
	empty, waiting := o.empty, len(o.records)
	o.mu.Unlock()
	if waiting == 0 {
		return
	}
	select {
	case <-empty:
	case <-ctx.Done():
		klog.InfoS("drain timeout", "records", o.waiting())
	}
}
