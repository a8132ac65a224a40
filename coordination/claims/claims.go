// Package claims decides which batch items a process runs.
//
// It answers many batchers that look for work in the same log, each with a few
// free slots at moments of its own: items of the oldest jobs go first, and
// batchers draw at random from the first few, so that few claims collide. Items
// that can't be done by the time they are due are left to batchers that have
// nothing else to run. Items whose holder has been silent while the log was
// readable are free again, and those of an earlier process of the same instance at
// once: after a loss of power every batcher starts again beside items that nobody runs.
package claims

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// HolderTimeout is how long a holder may be silent before others take its items.
const HolderTimeout = 4 * time.Second

// candidatesPerItem is how many items a claim draws from for each item that it wants.
const candidatesPerItem = 4

// Params are the inputs of a choice.
type Params struct {
	// Self is the chooser's writer name.
	Self string
	Now  time.Time
	// ReadableSince is when the log became readable; silence counts from then on.
	ReadableSince time.Time
	// CanRun reports whether the chooser's target may run the job's items.
	CanRun func(*worklog.Job) bool
	// CanFinishInTime reports whether the chooser can do the item by the time it is due.
	CanFinishInTime func(*worklog.Job, *worklog.Item) bool
	// Shuffle permutes n things.
	Shuffle func(n int, swap func(i, j int))
}

// Choose returns up to want items to claim that can be done in time, and others
// as far as there are idle slots.
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

// sample picks up to n at random from the first few.
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
		return true // the process before this one has ended
	}
	heard := fold.LastHeard(item.Holder)
	if heard.Before(p.ReadableSince) {
		heard = p.ReadableSince
	}
	return p.Now.Sub(heard) > HolderTimeout
}
