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
	// saveInterval is the least time between two saves: what a loss of power takes with
	// it at most, of runs of several seconds.
	saveInterval = 3 * time.Second
	// saveEvents is how many events of an item are worth a save: fewer come again in
	// less than half a second. Other items are saved with it that have half as many.
	saveEvents = 16
	// savedTimeout bounds the reading of what others have saved, for a slot that
	// waits meanwhile.
	savedTimeout = 500 * time.Millisecond
)

// saveProgress stores the texts of the items that have come on. It answers a loss of
// power everywhere, after which all items that ran would begin anew beside those that
// have waited. While the store is away nothing is added to what waits for it. The
// lock is held.
func (b *Batcher) saveProgress(now time.Time) {
	if now.Sub(b.saved) < saveInterval || b.unstored() > 0 {
		return
	}
	var some []*held
	worth := false
	for _, h := range b.held {
		unsaved := h.progress.Events - h.savedEvents
		worth = worth || unsaved >= saveEvents
		if unsaved >= saveEvents/2 {
			some = append(some, h)
		}
	}
	if !worth {
		return
	}
	b.saved = now
	for _, h := range some {
		h.savedEvents = h.progress.Events
		b.putSave(h.ref, h.progress)
	}
}

// putSave hands progress over: first its text, and once the store has that, the record
// that names it.
func (b *Batcher) putSave(ref worklog.ItemRef, p worklog.Progress) {
	text := fleet.Record{Key: worklog.SavedKey(ref), Value: worklog.EncodeText(p.Text)}
	b.texts.Add(outbox.PendingRecord{Record: text, OnStored: func(stored fleet.Record) {
		b.put(worklog.Entry{Save: &worklog.Save{
			ItemRef: ref, LastEventID: p.LastEventID, Events: p.Events, Failures: p.Failures, Offset: stored.Offset, Bytes: recordBytes(stored),
		}})
	}})
}

// dropSave deletes the saved text of an item that has its result.
func (b *Batcher) dropSave(ref worklog.ItemRef) {
	b.texts.Add(outbox.PendingRecord{Record: fleet.Record{Key: worklog.SavedKey(ref)}})
}

// readSaved returns what earlier holders have saved of items that are this batcher's
// now. An item whose text can't be read begins with what was given back.
func (b *Batcher) readSaved(ctx context.Context, chosen []worklog.ClaimedItem) map[worklog.ItemRef]worklog.Progress {
	ctx, cancel := context.WithTimeout(ctx, savedTimeout)
	defer cancel()
	read := map[worklog.ItemRef]worklog.Progress{}
	for _, s := range b.savedOf(chosen) {
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

// savedOf returns what is saved of those items that the log says are this batcher's.
func (b *Batcher) savedOf(chosen []worklog.ClaimedItem) []*worklog.Save {
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
