package batcher

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/outbox"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// saveInterval is the minimum time between two saves, and so the most progress, of
	// runs of several seconds, that a power loss destroys.
	saveInterval = 3 * time.Second
	// minSaveEvents is the number of unsaved events of one item that causes a save: fewer
	// are produced again in less than half a second. Other items that have at least half
	// as many unsaved events are saved with it.
	minSaveEvents = 16
	// readSavedTimeout bounds the reading of progress that other batchers have saved,
	// since a slot is idle meanwhile.
	readSavedTimeout = 500 * time.Millisecond
)

// saveProgress saves the texts of items with enough unsaved events. Without this, after a
// power loss of the whole platform, all items that ran would start over, beside those that
// have waited. While records wait for the store, for instance during an outage, it saves
// nothing. mu must be held.
func (b *Batcher) saveProgress(now time.Time) {
	if now.Sub(b.lastSave) < saveInterval || b.unstoredRecords() > 0 {
		return
	}
	var selected []*heldItem
	due := false
	for _, h := range b.held {
		unsaved := h.progress.Events - h.savedEvents
		due = due || unsaved >= minSaveEvents
		if unsaved >= minSaveEvents/2 {
			selected = append(selected, h)
		}
	}
	if !due {
		return
	}
	b.lastSave = now
	for _, h := range selected {
		h.savedEvents = h.progress.Events
		b.enqueueSave(h.ref, h.progress)
	}
}

// enqueueSave enqueues the text of an item's progress and, once that is stored, the record
// that refers to it.
func (b *Batcher) enqueueSave(ref worklog.ItemRef, p worklog.Progress) {
	text := fleet.Record{Key: worklog.SavedKey(ref), Value: worklog.EncodeText(p.Text)}
	b.texts.Add(outbox.PendingRecord{Record: text, OnStored: func(stored fleet.Record) {
		b.enqueue(worklog.Entry{Save: &worklog.Save{
			ItemRef: ref, LastEventID: p.LastEventID, Events: p.Events, Failures: p.Failures, Offset: stored.Offset, Bytes: maxRecordSize(stored),
		}})
	}})
}

// deleteSave enqueues the deletion of the saved text of an item that has its result.
func (b *Batcher) deleteSave(ref worklog.ItemRef) {
	b.texts.Add(outbox.PendingRecord{Record: fleet.Record{Key: worklog.SavedKey(ref)}})
}

// readSaved returns the progress that earlier holders have saved of the items that this
// batcher now holds. An item whose saved text cannot be read resumes from its released
// progress.
func (b *Batcher) readSaved(ctx context.Context, chosen []worklog.ClaimedItem) map[worklog.ItemRef]worklog.Progress {
	ctx, cancel := context.WithTimeout(ctx, readSavedTimeout)
	defer cancel()
	read := map[worklog.ItemRef]worklog.Progress{}
	for _, s := range b.savesOf(chosen) {
		record, err := b.params.Store.ReadOne(ctx, fleet.TopicTexts, s.Offset, s.Bytes)
		text, ok := worklog.DecodeText(record.Value)
		if err != nil || !ok || record.Key != worklog.SavedKey(s.ItemRef) {
			klog.InfoS("saved progress not read", "job", s.Job, "item", s.Item, "offset", s.Offset, "error", protocol.CauseOf(err))
			continue
		}
		read[s.ItemRef] = worklog.Progress{Text: text, LastEventID: s.LastEventID, Events: s.Events, Failures: s.Failures}
	}
	return read
}

// savesOf returns the save records of those chosen items that this batcher holds according
// to the work log.
func (b *Batcher) savesOf(chosen []worklog.ClaimedItem) []*worklog.Save {
	b.mu.Lock()
	defer b.mu.Unlock()
	var saves []*worklog.Save
	for _, c := range chosen {
		item := b.fold.Item(c.ItemRef)
		if item != nil && item.Holder == b.writer.Name() && item.Saved != nil {
			saves = append(saves, item.Saved)
		}
	}
	return saves
}
