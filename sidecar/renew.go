package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// renewInterval is the time between two renewals of the running items' leases.
const renewInterval = time.Second

// renewals keeps the leases of a target's running items, with one call a second
// to each entry that gave some, and stops the items that an entry says must stop.
type renewals struct {
	s *Sidecar
	r *runner

	mu      sync.Mutex
	running map[protocol.LeaseRef]string
}

func newRenewals(s *Sidecar, r *runner) *renewals {
	return &renewals{s: s, r: r, running: map[protocol.LeaseRef]string{}}
}

// add keeps the item's lease until the returned function is called.
func (n *renewals) add(i *batchItem) func() {
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
func (n *renewals) run(ctx context.Context) error {
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

func (n *renewals) byEntry() map[string][]protocol.LeaseRef {
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
func (n *renewals) renew(ctx context.Context, entry string, refs []protocol.LeaseRef) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	args := &protocol.RenewArgs{Instance: n.s.settings.Process.Instance, Leases: refs}
	for _, addr := range n.s.entries.order(entry) {
		callCtx, done := context.WithTimeout(ctx, renewInterval/2)
		var reply protocol.RenewReply
		err := n.s.peers.Call(callCtx, addr, protocol.MethodRenew, args, &reply)
		done()
		if err != nil {
			continue
		}
		for _, ref := range reply.Stop {
			n.r.cancel(ref.Lease, protocol.ErrCancelled.New("the lease has ended"))
		}
		return
	}
}
