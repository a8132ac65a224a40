package batcher

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// comingTime is how long an announced request counts: until the target's report
// shows it, at the latest with the second look.
const comingTime = 2 * lookInterval

// maxLoadAge is how old what is known of the target may be for an answer.
const maxLoadAge = 200 * time.Millisecond

// TellLoad answers a gateway that asks how busy the target is, or notes that one
// sends a request there. It returns nil where the target is not known or drains.
func (b *Batcher) TellLoad(m fleet.PeerMessage) *fleet.PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.coming = slices.DeleteFunc(b.coming, func(at time.Time) bool { return now.Sub(at) > comingTime })
	if m.Coming {
		b.coming = append(b.coming, now)
		return nil
	}
	if b.stopping || b.draining || b.target == "" || now.Sub(b.answered) > maxLoadAge {
		return nil
	}
	return &fleet.PeerLoad{Target: b.target, Online: b.online + len(b.coming)}
}
