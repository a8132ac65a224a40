package batcher

import (
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// reconcile takes the items that this batcher holds according to the work log without
// knowing of them, such as those of a claim that the store carried out late. Those for which
// the target has no room are released. mu must be held.
func (b *Batcher) reconcile() {
	b.forgetHandedOver()
	if b.claiming || b.stopping {
		return // a claim in progress takes its own items
	}
	unheld := claims.Unheld(b.fold, b.writer.Name(), b.knowsItem)
	if len(unheld) == 0 {
		return
	}
	b.claiming = true
	b.tomb.Go(func() error {
		b.takeUnheld(unheld)
		return nil
	})
}

// knowsItem reports whether the item is held, or was handed over by a record that the log
// does not show yet. mu must be held.
func (b *Batcher) knowsItem(ref worklog.ItemRef) bool {
	_, handedOver := b.handedOver[ref]
	return handedOver || b.held[ref] != nil
}

// handOver notes that a record is enqueued that releases the item or has its result. mu must
// be held.
func (b *Batcher) handOver(ref worklog.ItemRef) {
	if item := b.fold.Item(ref); item != nil {
		b.handedOver[ref] = item.Claim
	}
}

// forgetHandedOver forgets the items whose result or release the log shows. An item that is
// held by another claim was released meanwhile, and a further claim was carried out late. mu
// must be held.
func (b *Batcher) forgetHandedOver() {
	for ref, claim := range b.handedOver {
		if item := b.fold.Item(ref); item == nil || item.Done || item.Holder != b.writer.Name() || item.Claim != claim {
			delete(b.handedOver, ref)
		}
	}
}

// takeUnheld resumes the items, or releases them with the progress that was saved.
func (b *Batcher) takeUnheld(refs []worklog.ItemRef) {
	var items []worklog.ClaimedItem
	for _, ref := range refs {
		items = append(items, worklog.ClaimedItem{ItemRef: ref})
	}
	saved := b.readSaved(b.ctx, items)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claiming = false
	taken := 0
	for _, ref := range refs {
		if !b.acquire(ref, saved[ref]) {
			continue
		}
		taken++
		if b.targetService() == "" || b.draining || b.stopping || len(b.held) > b.room {
			b.release(b.held[ref], "claimed late, and there is no room")
		}
	}
	klog.InfoS("items held without being known", "items", len(refs), "taken", taken, "held", len(b.held), "room", b.room)
}
