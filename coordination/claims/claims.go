// Package claims chooses the batch items that a process claims.
//
// Many batchers look for work in the same log, each with a few free slots and
// without coordination. Items of the oldest jobs go first, and each batcher picks
// at random among the first few, so that few claims conflict. Items that can't be
// finished by their due time are left to batchers with idle slots.
//
// An item is free again once its holder has been unresponsive for HolderTimeout
// while the log was readable. Items held by an earlier process of the same
// instance are free at once: after a power failure every batcher restarts and
// finds items that no process runs.
package claims

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// HolderTimeout is how long a holder may be silent before others claim its items.
const HolderTimeout = 4 * time.Second

// candidatesPerItem is the number of items from which a claim picks each item
// that it wants.
const candidatesPerItem = 4

// Params are the inputs of a choice.
type Params struct {
	// Self is the writer name of this process.
	Self string
	Now  time.Time
	// ReadableSince is when the log became readable. A holder's silence before it
	// does not count.
	ReadableSince time.Time
	// CanRun reports whether this process's target may run the job's items.
	CanRun func(*worklog.Job) bool
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
	var free, late []worklog.ClaimedItem
	for _, job := range fold.OpenJobs() {
		if !p.CanRun(job) {
			continue
		}
		for _, item := range job.Items {
			if item.Done || !isFree(p, fold, item) {
				continue
			}
			claimed := worklog.ClaimedItem{ItemRef: item.Ref, Replaces: item.Claim}
			if p.CanFinishInTime(job, item) {
				free = append(free, claimed)
			} else {
				late = append(late, claimed)
			}
		}
		if len(free) >= want*candidatesPerItem {
			break
		}
	}
	chosen := sample(p, free, want)
	return append(chosen, sample(p, late, idle-len(chosen))...)
}

// sample picks up to n items at random from the first n*candidatesPerItem.
func sample(p Params, list []worklog.ClaimedItem, n int) []worklog.ClaimedItem {
	if n <= 0 {
		return nil
	}
	list = list[:min(len(list), n*candidatesPerItem)]
	p.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.Clip(list[:min(n, len(list))])
}

func isFree(p Params, fold *worklog.Fold, item *worklog.Item) bool {
	if item.Claim == worklog.NoClaim {
		return true
	}
	if item.Holder == p.Self {
		return false
	}
	if worklog.SameInstance(item.Holder, p.Self) {
		return true // the instance's earlier process has ended
	}
	heard := fold.LastHeard(item.Holder)
	if heard.Before(p.ReadableSince) {
		heard = p.ReadableSince
	}
	return p.Now.Sub(heard) > HolderTimeout
}
