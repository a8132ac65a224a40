package registry

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// provisionalLifetime is how long a target that its batcher has announced is used without
	// being registered. Targets register within about this time after their start.
	provisionalLifetime = 2 * time.Second
	// maxProvisional bounds the announced targets, maxPast the IDs that are remembered.
	maxProvisional = 8192
	maxPast        = 16384
)

// provisional is a target that is used before it is registered.
type provisional struct {
	target *fleet.Target
	until  time.Time
}

// Announcement is what the batcher beside a target says of it.
type Announcement struct {
	ID string
	// StartUnixMillis is the time of its start, 0 if unknown.
	StartUnixMillis int64
	Service         string
}

// Announce learns from the batcher at the address of a registered target that another
// incarnation runs there. After a loss of power registrations say for seconds what ran
// before, while batchers know their target within a moment. Announce returns the target to
// use in place of the registered one, nil if the registered one stays: the announcement may
// be of an earlier incarnation, or of another service.
func (t *Targets) Announce(registered *fleet.Target, a Announcement) *fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ID == "" || a.ID == registered.ID || a.Service != registered.Service {
		return nil
	}
	if known := t.byID[a.ID]; known != nil {
		return nil // its own registration counts
	}
	born := a.StartUnixMillis
	if born == 0 {
		born = registered.StartUnixMillis + 1
	}
	if t.past[a.ID] || born <= registered.StartUnixMillis {
		return nil
	}
	old, found := t.provisional[a.ID]
	if !found && len(t.provisional) >= maxProvisional {
		return nil
	}
	if found && old.target.Address == registered.Address {
		t.provisional[a.ID] = provisional{old.target, t.now().Add(provisionalLifetime)}
		return old.target
	}
	target := &fleet.Target{
		ID: a.ID, StartUnixMillis: born, Service: registered.Service, Address: registered.Address,
		DataCentre: registered.DataCentre, Slots: registered.Slots, Provisional: true,
	}
	klog.InfoS("target announced", "target", target.ID, "service", target.Service, "in_place_of", registered.ID)
	t.provisional[a.ID] = provisional{target, t.now().Add(provisionalLifetime)}
	t.publishSnapshot()
	return target
}

// refute drops an announced target at whose address another incarnation answered. mu must be
// held.
func (t *Targets) refute(target *fleet.Target) {
	if _, found := t.provisional[target.ID]; !found {
		return
	}
	klog.InfoS("target gone", "target", target.ID, "reason", "announced, but another lifetime answers at its address")
	t.confirm(target.ID)
	t.publishSnapshot()
}

// confirm ends the provisional use of a target and remembers its ID. mu must be held.
func (t *Targets) confirm(id string) {
	delete(t.provisional, id)
	if len(t.past) >= maxPast {
		clear(t.past)
	}
	t.past[id] = true
}

// expireProvisional drops the announced targets that have not registered in time. It reports
// whether there were any. mu must be held.
func (t *Targets) expireProvisional() (changed bool) {
	for id, p := range t.provisional {
		if t.now().After(p.until) {
			klog.InfoS("target gone", "target", id, "reason", "announced, but not registered")
			delete(t.provisional, id)
			changed = true
		}
	}
	return changed
}

// known returns the registered and the announced targets. mu must be held.
func (t *Targets) known() []*fleet.Target {
	list := make([]*fleet.Target, 0, len(t.byID)+len(t.provisional))
	for _, target := range t.byID {
		list = append(list, target)
	}
	for _, p := range t.provisional {
		list = append(list, p.target)
	}
	return list
}
