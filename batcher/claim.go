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

// claim asks the log for more items: up to want that can be done in time, and
// others for idle slots. The lock is held.
func (b *Batcher) claim(ctx context.Context, now time.Time, want, idle int) {
	if b.claiming {
		return
	}
	chosen := claims.Choose(claims.Params{
		Self: b.writer.Name(), Now: now, ReadableSince: b.since, CanRun: b.runs, Shuffle: b.params.Shuffle,
		CanFinishInTime: func(job *worklog.Job, item *worklog.Item) bool {
			return b.urgency(now, candidateOf(job, item), item.ResumeEvents()).CanMeetDeadline()
		},
	}, b.fold, want, idle)
	if len(chosen) == 0 {
		return
	}
	records, err := b.claimRecords(chosen)
	if err != nil {
		klog.ErrorS(nil, "record not encoded", "error", protocol.CauseOf(err))
		return
	}
	b.claiming = true
	b.tomb.Go(func() error {
		b.appendClaim(ctx, records, chosen)
		return nil
	})
}

// claimRecords returns a record for each job, since a job is forgotten with all
// records that name it.
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
	_, err := b.params.Store.Append(ctx, fleet.TopicWork, fleet.AnyOffset, records)
	if err == nil {
		err = b.workTail.CatchUp(ctx)
	}
	if err != nil {
		klog.InfoS("items not claimed", "items", len(chosen), "error", protocol.CauseOf(err))
		pause.For(ctx, claimPause)
	}
	saved := b.readSaved(ctx, chosen)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claiming = false
	for _, c := range chosen {
		won := b.take(c.ItemRef, saved[c.ItemRef])
		b.metrics.claims.WithLabelValues(strconv.FormatBool(won)).Inc()
		if won || logs.Sampled(c.Item) {
			klog.InfoS("item claimed", "job", c.Job, "item", c.Item, "over", c.Replaces, "won", won)
		}
	}
}

// claimPause is the time after a claim that the store did not take.
const claimPause = 200 * time.Millisecond

// take holds the item if the log says that it is this batcher's, with what an earlier
// holder has saved of it. The lock is held.
func (b *Batcher) take(ref worklog.ItemRef, saved worklog.Progress) bool {
	job, item := b.fold.Job(ref.Job), b.fold.Item(ref)
	if item == nil || item.Done || job.Ended || item.Holder != b.writer.Name() || b.held[ref] != nil {
		return false
	}
	progress := item.Progress
	if saved.Events > progress.Events {
		progress = saved
	}
	b.held[ref] = &held{
		candidate: candidateOf(job, item), ref: ref,
		progress: progress, since: time.Now(), begunAt: progress.Events, savedEvents: progress.Events,
	}
	return true
}
