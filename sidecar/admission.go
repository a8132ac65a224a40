package sidecar

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// admissionGate admits attempts to one target. Suspects run alone, and other attempts
// run concurrently.
type admissionGate struct {
	mu      sync.Mutex
	queue   *quarantine.AdmissionQueue
	waiting map[string]chan struct{}
}

func newAdmissionGate() *admissionGate {
	return &admissionGate{queue: quarantine.NewAdmissionQueue(), waiting: map[string]chan struct{}{}}
}

// acquire waits until the attempt is admitted. The returned function removes it from
// the gate. It fails with ErrBusy if ctx ends first.
func (g *admissionGate) acquire(ctx context.Context, attempt string, alone bool) (func(), error) {
	admitted := make(chan struct{})
	g.mu.Lock()
	g.waiting[attempt] = admitted
	g.notifyAdmitted(g.queue.Enqueue(attempt, alone))
	g.mu.Unlock()
	release := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiting, attempt)
		g.notifyAdmitted(g.queue.Remove(attempt))
	}
	select {
	case <-admitted:
		return release, nil
	case <-ctx.Done():
		release()
		return nil, protocol.ErrBusy.New("the target did not become free in time: this call, or one queued before it, must run alone")
	}
}

// notifyAdmitted lets the given attempts pass. mu must be held.
func (g *admissionGate) notifyAdmitted(ids []string) {
	for _, id := range ids {
		close(g.waiting[id])
		delete(g.waiting, id)
	}
}
