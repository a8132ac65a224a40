package sidecar

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// admissionGate admits work to one target: suspects alone, other work together.
type admissionGate struct {
	mu      sync.Mutex
	queue   *quarantine.AdmissionQueue
	waiting map[string]chan struct{}
}

func newAdmissionGate() *admissionGate {
	return &admissionGate{queue: quarantine.NewAdmissionQueue(), waiting: map[string]chan struct{}{}}
}

// acquire waits for admission. The returned function leaves again. It fails with
// ErrBusy when ctx ends first.
func (l *admissionGate) acquire(ctx context.Context, attempt string, alone bool) (func(), error) {
	admitted := make(chan struct{})
	l.mu.Lock()
	l.waiting[attempt] = admitted
	l.notifyAdmitted(l.queue.Enqueue(attempt, alone))
	l.mu.Unlock()
	leave := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, attempt)
		l.notifyAdmitted(l.queue.Remove(attempt))
	}
	select {
	case <-admitted:
		return leave, nil
	case <-ctx.Done():
		leave()
		return nil, protocol.ErrBusy.New("the target runs other work and this call must run alone, or behind one that must")
	}
}

func (l *admissionGate) notifyAdmitted(ids []string) {
	for _, id := range ids {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}
