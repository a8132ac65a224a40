package sidecar

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// lane admits work to one target: suspects alone, other work together.
type lane struct {
	mu      sync.Mutex
	gate    *quarantine.AdmissionQueue
	waiting map[string]chan struct{}
}

func newLane() *lane {
	return &lane{gate: quarantine.NewAdmissionQueue(), waiting: map[string]chan struct{}{}}
}

// enter waits for admission. The returned function leaves again. It fails with
// ErrBusy when ctx ends first.
func (l *lane) enter(ctx context.Context, attempt string, alone bool) (func(), error) {
	admitted := make(chan struct{})
	l.mu.Lock()
	l.waiting[attempt] = admitted
	l.open(l.gate.Enqueue(attempt, alone))
	l.mu.Unlock()
	leave := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, attempt)
		l.open(l.gate.Remove(attempt))
	}
	select {
	case <-admitted:
		return leave, nil
	case <-ctx.Done():
		leave()
		return nil, protocol.ErrBusy.New("the target runs other work and this call must run alone, or behind one that must")
	}
}

func (l *lane) open(ids []string) {
	for _, id := range ids {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}
