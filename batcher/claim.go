package batcher

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// claim claims more items in the work log: up to want items that can be done in time, and
// other items for idle slots. mu must be held.
func (b *Batcher) claim(ctx context.Context, now time.Time, want, idle int) {
	if b.claiming {
		return
	}
	age, _ := b.workTail.Age()
	chosen := claims.Choose(claims.Params{
		Self: b.writer.Name(), Now: now, ReadAt: now.Add(-age), ReadableSince: b.readableSince, CanRun: b.mayClaim, Shuffle: b.params.Shuffle,
		IsLeftToOthers: func(job *worklog.Job, item *worklog.Item) bool { return b.isLeftToOthers(now, job, item) },
		CanFinishInTime: func(job *worklog.Job, item *worklog.Item) bool {
			return b.urgencyOf(now, candidateOf(job, item), item.ResumeEvents()).CanMeetDeadline()
		},
	}, b.fold, want, idle)
	chosen = claims.Fit(chosen, b.params.Node.MaxRecordBytes)
	if len(chosen) == 0 {
		return
	}
	records, err := b.claimRecords(chosen)
	if err != nil {
		klog.ErrorS(nil, "claim record not encoded", "error", protocol.CauseOf(err))
		return
	}
	b.claiming = true
	b.tomb.Go(func() error {
		b.appendClaim(ctx, records, chosen)
		return nil
	})
}

// claimRecords returns one claim record for each job, since the deletion of a job deletes
// all records that refer to it.
func (b *Batcher) claimRecords(chosen []worklog.ClaimedItem) ([]fleet.Record, error) {
	var inOrder []*worklog.Claim
	byJob := map[string]*worklog.Claim{}
	for _, c := range chosen {
		if byJob[c.Job] == nil {
			byJob[c.Job] = &worklog.Claim{}
			inOrder = append(inOrder, byJob[c.Job])
		}
		byJob[c.Job].Items = append(byJob[c.Job].Items, c)
	}
	var records []fleet.Record
	for _, claim := range inOrder {
		record, err := b.writer.Record(worklog.Entry{Claim: claim})
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (b *Batcher) appendClaim(ctx context.Context, records []fleet.Record, chosen []worklog.ClaimedItem) {
	begun := time.Now()
	_, err := b.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, records)
	stored := err == nil
	if stored {
		err = b.workTail.CatchUp(ctx)
	}
	if err != nil {
		klog.InfoS("items not claimed", "items", len(chosen), "error", protocol.CauseOf(err))
		pause.For(ctx, b.claimBackoff.Next())
	} else {
		b.claimBackoff.Reset()
	}
	saved := b.readSaved(ctx, chosen)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claiming = false
	if stored {
		b.lastClaim = begun
	}
	for _, c := range chosen {
		won := b.acquire(c.ItemRef, saved[c.ItemRef])
		b.metrics.claims.WithLabelValues(strconv.FormatBool(won)).Inc()
		if won || logs.Sampled(c.Item) {
			klog.InfoS("item claimed", "job", c.Job, "item", c.Item, "over", c.Replaces, "won", won)
		}
	}
}

// minClaimRetryDelay and maxClaimRetryDelay bound the delay after a claim whose append
// failed or that was not read back.
const (
	minClaimRetryDelay = 200 * time.Millisecond
	maxClaimRetryDelay = 2 * time.Second
)

// acquire adds the item to those held if the work log says that this batcher holds it. It
// resumes from saved, the progress that an earlier holder has saved, if that is further
// than the released progress. mu must be held.
func (b *Batcher) acquire(ref worklog.ItemRef, saved worklog.Progress) bool {
	job, item := b.fold.Job(ref.Job), b.fold.Item(ref)
	if item == nil || item.Done || job.Ended || item.Holder != b.writer.Name() || b.held[ref] != nil {
		return false
	}
	progress := item.Progress
	if saved.Events > progress.Events {
		progress = saved
	}
	b.held[ref] = &heldItem{
		candidate: candidateOf(job, item), ref: ref,
		progress: progress, heldSince: time.Now(), waitingSince: time.Now(), eventsAtClaim: progress.Events, savedEvents: progress.Events,
	}
	return true
}
