package batcher

import (
	"time"

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
	b.outbox.Add(outbox.PendingRecord{Record: record, OnRefused: func() { b.entryRefused(e) }})
}

// entryRefused handles an entry that the store never takes. A released item is released without
// its output so far, which alone can make its record too large; otherwise others would wait for
// it as long as this batcher is alive.
func (b *Batcher) entryRefused(e worklog.Entry) {
	if e.Release != nil && e.Release.Progress.Events > 0 {
		b.enqueue(worklog.Entry{Release: &worklog.Release{ItemRef: e.Release.ItemRef, Progress: worklog.Progress{Failures: e.Release.Progress.Failures}}})
	}
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
	b.texts.Add(outbox.PendingRecord{
		Record: fleet.Record{Value: value}, KeyPrefix: worklog.TextPrefix(job),
		OnStored: func(stored fleet.Record) {
			done.Text = &worklog.TextRef{Key: stored.Key, Offset: stored.Offset, Bytes: maxRecordSize(stored)}
			b.enqueue(worklog.Entry{Done: &done})
		},
		OnRefused: func() { b.outputRefused(worklog.ItemRef{Job: job, Item: r.Item}) },
	})
}

// outputRefused handles an item whose output the store never takes: it is given back, to be run
// again, or given up if its retention is over.
func (b *Batcher) outputRefused(ref worklog.ItemRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job := b.fold.Job(ref.Job)
	if job == nil {
		return
	}
	if b.isExpired(time.Now(), job) {
		b.enqueue(worklog.Entry{Done: &worklog.Done{Job: ref.Job, Item: ref.Item, State: fleet.ResultDeadLetter}})
		return
	}
	b.enqueue(worklog.Entry{Release: &worklog.Release{ItemRef: ref}})
}

// unstoredRecords returns the number of records that are not stored yet.
func (b *Batcher) unstoredRecords() int { return b.texts.Len() + b.outbox.Len() }
