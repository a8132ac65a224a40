package batcher

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// announceWindow is how long an announced request counts: until the target's report
// shows it, at the latest with the second look.
const announceWindow = 2 * lookInterval

// maxLoadAge is how old what is known of the target may be for an answer.
const maxLoadAge = 200 * time.Millisecond

// TellLoad answers a gateway that asks how busy the target is. It returns nil where
// the target is not known or drains.
func (b *Batcher) TellLoad() *fleet.PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.stopping || b.draining || b.target == "" || now.Sub(b.answered) > maxLoadAge {
		return nil
	}
	return &fleet.PeerLoad{Target: b.target, Online: b.inflow.Count(now)}
}

// NoteComing notes that a gateway is about to send a request to the target.
func (b *Batcher) NoteComing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inflow.Announce(time.Now())
}
