package batcher

import (
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/outbox"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// recordOverhead is more than the store adds to a record's key and value.
const recordOverhead = 32

// recordBytes bounds the size of a record in the store.
func recordBytes(r fleet.Record) int { return len(r.Key) + len(r.Value) + recordOverhead }

// put hands an entry to the outbox.
func (b *Batcher) put(e worklog.Entry) {
	record, err := b.writer.Encode(e)
	if err != nil {
		klog.ErrorS(nil, "record not encoded", "error", protocol.CauseOf(err))
		return
	}
	b.outbox.Add(outbox.PendingRecord{Record: record})
}

// putResult hands an item's end over: first its output, and once the store has
// that, the record that names it.
func (b *Batcher) putResult(job string, r fleet.Result) {
	done := worklog.Done{Job: job, Item: r.Item, State: r.State}
	if r.State == fleet.ResultDead {
		b.put(worklog.Entry{Done: &done})
		return
	}
	value := worklog.EncodeText(r.Text)
	b.texts.Add(outbox.PendingRecord{Record: fleet.Record{Value: value}, KeyPrefix: worklog.TextPrefix(job), OnStored: func(stored fleet.Record) {
		done.Text = &worklog.TextRef{Key: stored.Key, Offset: stored.Offset, Bytes: recordBytes(stored)}
		b.put(worklog.Entry{Done: &done})
	}})
}

// unstored returns the number of records that the store does not have yet.
func (b *Batcher) unstored() int { return b.texts.Len() + b.outbox.Len() }
