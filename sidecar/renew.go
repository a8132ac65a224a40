package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// renewInterval is the time between two renewals of the running items' leases.
const renewInterval = time.Second

// leaseRenewer keeps the leases of a target's running items, with one call a second
// to each entry that gave some, and stops the items that an entry says must stop.
type leaseRenewer struct {
	sidecar *Sidecar
	runner  *runner

	mu      sync.Mutex
	running map[protocol.LeaseRef]string
}

func newLeaseRenewer(s *Sidecar, r *runner) *leaseRenewer {
	return &leaseRenewer{sidecar: s, runner: r, running: map[protocol.LeaseRef]string{}}
}

// add keeps the item's lease until the returned function is called.
func (n *leaseRenewer) add(i *batchItem) func() {
	ref := protocol.LeaseRef{Job: i.finish.Job, Index: i.finish.Index, Lease: i.finish.Lease}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running[ref] = i.entry
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.running, ref)
	}
}

// run renews until ctx ends.
func (n *leaseRenewer) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		var group sync.WaitGroup
		for entry, refs := range n.byEntry() {
			group.Go(func() { n.renew(ctx, entry, refs) })
		}
		group.Wait()
	}
}

func (n *leaseRenewer) byEntry() map[string][]protocol.LeaseRef {
	n.mu.Lock()
	defer n.mu.Unlock()
	refs := map[string][]protocol.LeaseRef{}
	for ref, entry := range n.running {
		refs[entry] = append(refs[entry], ref)
	}
	return refs
}

// renew asks the entry that gave the leases, and any other where it does not
// answer.
func (n *leaseRenewer) renew(ctx context.Context, entry string, refs []protocol.LeaseRef) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	args := &protocol.RenewArgs{Instance: n.sidecar.settings.Process.Instance, Leases: refs}
	for _, addr := range n.sidecar.entries.callOrder(entry) {
		callCtx, done := context.WithTimeout(ctx, renewInterval/2)
		var reply protocol.RenewReply
		err := n.sidecar.peers.Call(callCtx, addr, protocol.MethodRenew, args, &reply)
		done()
		if err != nil {
			continue
		}
		for _, ref := range reply.Stop {
			n.runner.cancel(ref.Lease, protocol.ErrCancelled.New("the lease has ended"))
		}
		return
	}
}
