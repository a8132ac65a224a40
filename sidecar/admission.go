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
func (l *admissionGate) acquire(ctx context.Context, attempt string, alone bool) (func(), error) {
	admitted := make(chan struct{})
	l.mu.Lock()
	l.waiting[attempt] = admitted
	l.notifyAdmitted(l.queue.Enqueue(attempt, alone))
	l.mu.Unlock()
	release := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, attempt)
		l.notifyAdmitted(l.queue.Remove(attempt))
	}
	select {
	case <-admitted:
		return release, nil
	case <-ctx.Done():
		release()
		return nil, protocol.ErrBusy.New("the target did not become free in time: this call, or one queued before it, must run alone")
	}
}

func (l *admissionGate) notifyAdmitted(ids []string) {
	for _, id := range ids {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}
