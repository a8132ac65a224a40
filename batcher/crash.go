package batcher

import (
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// maxCrashBacklog is the number of records waiting for the store from which on the crashes that
	// gateways pass on are not taken.
	maxCrashBacklog = 256
	// maxFingerprintBytes and maxIncarnationBytes bound the names in a crash.
	maxFingerprintBytes = 128
	maxIncarnationBytes = 256
)

// RecordCrash records a crash in the work log for a gateway that does not reach the store.
func (b *Batcher) RecordCrash(c fleet.PeerCrash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isSound := c.Fingerprint != "" && c.Target != "" && len(c.Fingerprint) <= maxFingerprintBytes && len(c.Target) <= maxIncarnationBytes
	if b.stopping || !isSound || b.outbox.Len() >= maxCrashBacklog {
		klog.InfoS("crash not taken", "target", c.Target, "waiting", b.outbox.Len())
		return
	}
	klog.InfoS("crash taken for a gateway", "target", c.Target, "fingerprint", c.Fingerprint)
	b.enqueue(worklog.Entry{Crash: &worklog.Crash{
		Fingerprint: c.Fingerprint, Target: c.Target, Produced: c.Produced, Parts: c.Parts, SuspectedParts: c.SuspectedParts,
	}})
}
