package batcher

import (
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/outbox"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// recordOverhead is an upper bound of what the store adds to a record's key and value.
const recordOverhead = 32

// maxRecordSize returns an upper bound of the record's size in the store.
func maxRecordSize(r fleet.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// enqueue adds an entry of the work log to the outbox.
func (b *Batcher) enqueue(e worklog.Entry) {
	record, err := b.writer.Encode(e)
	if err != nil {
		klog.ErrorS(nil, "record not encoded", "error", protocol.CauseOf(err))
		return
	}
	b.outbox.Add(outbox.PendingRecord{Record: record})
}

// enqueueResult enqueues an item's output and, once that is stored, the record of the
// item's end that refers to it. A dead letter has no output.
func (b *Batcher) enqueueResult(job string, r fleet.Result) {
	done := worklog.Done{Job: job, Item: r.Item, State: r.State}
	if r.State == fleet.ResultDeadLetter {
		b.enqueue(worklog.Entry{Done: &done})
		return
	}
	value := worklog.EncodeText(r.Text)
	b.texts.Add(outbox.PendingRecord{Record: fleet.Record{Value: value}, KeyPrefix: worklog.TextPrefix(job), OnStored: func(stored fleet.Record) {
		done.Text = &worklog.TextRef{Key: stored.Key, Offset: stored.Offset, Bytes: maxRecordSize(stored)}
		b.enqueue(worklog.Entry{Done: &done})
	}})
}

// unstoredRecords returns the number of records that are not stored yet.
func (b *Batcher) unstoredRecords() int { return b.texts.Len() + b.outbox.Len() }
