// Package claims chooses the batch items that a process claims.
//
// Many batchers look for work in the same log, each with a few free slots and
// without coordination. They see new items at the same time, and each other's claims
// only at the next read of the log. So that few claims conflict, only one batcher may
// claim an item at first, then two, four and so on, until all may. Under load, when many
// items wait for the few batchers with free slots, each picks at random among the oldest
// items, from more of them the more batchers there are. Items that can't be
// finished by their due time are left to batchers with idle slots.
//
// An item is free again once its holder has been unresponsive for HolderTimeout
// while the log was readable. Items held by an earlier process of the same
// instance are free at once: after a power failure every batcher restarts and
// finds items that no process runs. Silence counts only up to the last read of the log: a
// process that was suspended knows nothing of the heartbeats since.
package claims

import (
	"math"
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// HolderTimeout is how long a holder may be silent before others claim its items.
const HolderTimeout = 4 * time.Second

// readTolerance is how much later than the last read of the log a holder's silence still
// counts. It covers the time between two reads, and a holder writes more than once in
// HolderTimeout less this.
const readTolerance = time.Second

// candidatesPerItem is the number of items from which a claim picks each item
// that it wants, beside one for each claimant.
const candidatesPerItem = 4

// Params are the inputs of a choice.
type Params struct {
	// Self is the writer name of this process.
	Self string
	Now  time.Time
	// ReadAt is when the last read of the whole log began.
	ReadAt time.Time
	// ReadableSince is when the log became readable. A holder's silence before it
	// does not count.
	ReadableSince time.Time
	// CanRun reports whether this process's target may run the job's items.
	CanRun func(*worklog.Job) bool
	// IsLeftToOthers, if set, reports whether this process should not claim the item although its
	// target may run the job's items.
	IsLeftToOthers func(*worklog.Job, *worklog.Item) bool
	// CanFinishInTime reports whether this process can finish the item by its due
	// time.
	CanFinishInTime func(*worklog.Job, *worklog.Item) bool
	// Shuffle permutes n things.
	Shuffle func(n int, swap func(i, j int))
}

// Choose returns up to want items to claim that can be finished in time. If
// these are fewer than idle, it adds items that can't, up to idle in total.
func Choose(p Params, fold *worklog.Fold, want, idle int) []worklog.ClaimedItem {
	if want <= 0 {
		return nil
	}
	order := newRanking(p.Self, fold.Claimants(p.Now.Add(-claimantWindow)))
	candidates := want*candidatesPerItem + len(order.others)
	var free, late []worklog.ClaimedItem
	for _, job := range fold.OpenJobs() {
		if !p.CanRun(job) {
			continue
		}
		for _, item := range job.Items {
			if item.Done {
				continue
			}
			if p.IsLeftToOthers != nil && p.IsLeftToOthers(job, item) {
				continue
			}
			freeFor, isFree := freeTime(p, fold, item)
			if !isFree || !order.mayClaim(item.Ref, freeFor) {
				continue
			}
			claimed := worklog.ClaimedItem{ItemRef: item.Ref, Replaces: item.Claim}
			if p.CanFinishInTime(job, item) {
				free = append(free, claimed)
			} else {
				late = append(late, claimed)
			}
		}
		if len(free) >= candidates {
			break
		}
	}
	chosen := sample(p, free, want, candidates)
	return append(chosen, sample(p, late, idle-len(chosen), candidates)...)
}

// claimedItemBytes is an upper bound of the size of a claimed item in a claim record beside its
// IDs, and claimBytes that of the record beside its items.
const (
	claimedItemBytes = 48
	claimBytes       = 1 << 10
)

// Fit returns the first of the chosen items, as many as fit into one claim record of maxBytes, and
// one at least. 0 means no limit. IDs are the callers' and may be long: a claim that the store
// does not take would be tried again for ever.
func Fit(chosen []worklog.ClaimedItem, maxBytes int) []worklog.ClaimedItem {
	size := claimBytes
	for i, c := range chosen {
		size += len(c.Job) + len(c.Item) + claimedItemBytes
		if maxBytes > 0 && size > maxBytes && i > 0 {
			return chosen[:i]
		}
	}
	return chosen
}

// sample picks up to n items at random from the first candidates.
func sample(p Params, list []worklog.ClaimedItem, n, candidates int) []worklog.ClaimedItem {
	if n <= 0 {
		return nil
	}
	list = list[:min(len(list), candidates)]
	p.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.Clip(list[:min(n, len(list))])
}

// freeTime returns for how long the item has been free, or false if it is not.
func freeTime(p Params, fold *worklog.Fold, item *worklog.Item) (time.Duration, bool) {
	if item.Claim == worklog.NoClaim {
		return p.Now.Sub(item.FreeSince), true
	}
	if item.Holder == p.Self {
		return 0, false
	}
	if worklog.SameInstance(item.Holder, p.Self) {
		return math.MaxInt64, true // the instance's earlier process has ended
	}
	heard := fold.LastHeard(item.Holder)
	if heard.Before(p.ReadableSince) {
		heard = p.ReadableSince
	}
	now := p.Now
	if limit := p.ReadAt.Add(readTolerance); now.After(limit) {
		now = limit
	}
	expiredFor := now.Sub(heard) - HolderTimeout
	return expiredFor, expiredFor > 0
}
