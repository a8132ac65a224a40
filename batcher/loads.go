package batcher

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// announceWindow is how long an announced request is counted: until the target's report
// shows it, which is at the second poll at the latest.
const announceWindow = 2 * pollInterval

// maxLoadAge is the maximum age of the target's last report for ReportLoad to answer.
const maxLoadAge = 200 * time.Millisecond

// ReportLoad returns the target's load, for gateways that query it. It returns nil if the
// target or its service is not known, if the target has not reported its load within maxLoadAge
// or is draining, or if the batcher is stopping.
func (b *Batcher) ReportLoad() *fleet.PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	service := b.targetService()
	if b.stopping || b.draining || service == "" || now.Sub(b.lastReport) > maxLoadAge {
		return nil
	}
	load := &fleet.PeerLoad{
		Target: b.targetID, Online: b.inflow.Count(now), Service: service, StartUnixMillis: b.targetBorn, Items: len(b.runningItems()),
	}
	b.addLearned(now, load)
	return load
}

// RecordAnnouncement records that a gateway is about to send a request to the target.
func (b *Batcher) RecordAnnouncement() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inflow.Announce(time.Now())
}
