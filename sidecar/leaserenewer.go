package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// renewInterval is the time between two renewals of the leases of running items.
const renewInterval = time.Second

// leaseRenewer renews the leases of a target's running items, with one call per second
// to each entry that assigned some, and stops the items that an entry says must stop.
type leaseRenewer struct {
	sidecar *Sidecar
	runner  *runner

	mu sync.Mutex
	// running holds the entry that assigned each running item.
	running map[protocol.LeaseRef]string
}

func newLeaseRenewer(s *Sidecar, r *runner) *leaseRenewer {
	return &leaseRenewer{sidecar: s, runner: r, running: map[protocol.LeaseRef]string{}}
}

// add has the item's lease renewed until the returned function is called.
func (l *leaseRenewer) add(i *batchItem) func() {
	ref := protocol.LeaseRef{Job: i.finish.Job, Index: i.finish.Index, Lease: i.finish.Lease}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[ref] = i.entry
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.running, ref)
	}
}

// run renews the leases until ctx ends.
func (l *leaseRenewer) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		var group sync.WaitGroup
		for entry, refs := range l.byEntry() {
			group.Go(func() { l.renew(ctx, entry, refs) })
		}
		group.Wait()
	}
}

// byEntry returns the leases of the running items by the entry that assigned them.
func (l *leaseRenewer) byEntry() map[string][]protocol.LeaseRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	refs := map[string][]protocol.LeaseRef{}
	for ref, entry := range l.running {
		refs[entry] = append(refs[entry], ref)
	}
	return refs
}

// renew renews leases at the entry that assigned the items, or at any other entry if
// that one does not answer.
func (l *leaseRenewer) renew(ctx context.Context, entry string, refs []protocol.LeaseRef) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	args := &protocol.RenewArgs{Instance: l.sidecar.settings.Process.Instance, Leases: refs}
	for _, addr := range l.sidecar.entries.callOrder(entry) {
		callCtx, done := context.WithTimeout(ctx, renewInterval/2)
		var reply protocol.RenewReply
		err := l.sidecar.peers.Call(callCtx, addr, protocol.MethodRenew, args, &reply)
		done()
		if err != nil {
			continue
		}
		for _, ref := range reply.Stop {
			l.runner.cancel(ref.Lease, protocol.ErrCancelled.New("the lease is no longer valid"))
		}
		return
	}
}
