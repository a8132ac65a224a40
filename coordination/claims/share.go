package claims

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// claimantWindow is the time within which a process must have claimed items to count
	// as a claimant.
	claimantWindow = 30 * time.Second
	// doublingTime is the time in which the number of claimants that may claim a free item
	// doubles. It is about the time between two reads of the log, so that most processes
	// see a claim of the first ones before they may claim the item themselves.
	doublingTime = 300 * time.Millisecond
)

// ranking orders the claimants for each item by a hash of both, so that all processes
// agree without messages on who may claim an item first.
type ranking struct {
	self   uint64
	others []uint64
}

func newRanking(self string, claimants []string) ranking {
	r := ranking{self: xxhash.Sum64String(self)}
	for _, name := range claimants {
		if name != self {
			r.others = append(r.others, xxhash.Sum64String(name))
		}
	}
	return r
}

// mayClaim reports whether this process may claim the item, which has been free for the
// given time: at first only the claimant that comes first for the item may, then the first
// two, and twice as many after each doublingTime.
func (r ranking) mayClaim(item worklog.ItemRef, freeFor time.Duration) bool {
	allowed := math.Exp2(math.Floor(float64(freeFor) / float64(doublingTime)))
	if allowed > float64(len(r.others)) {
		return true
	}
	itemHash := xxhash.Sum64String(item.Job) ^ xxhash.Sum64String(item.Item)
	own := position(r.self, itemHash)
	before := 0
	for _, other := range r.others {
		if position(other, itemHash) >= own {
			continue
		}
		if before++; float64(before) >= allowed {
			return false
		}
	}
	return true
}

// position returns where a claimant stands in the order for an item.
func position(claimant, item uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], claimant)
	binary.LittleEndian.PutUint64(b[8:], item)
	return xxhash.Sum64(b[:])
}
