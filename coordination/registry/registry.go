// Package registry keeps what a process knows of the configuration and of the
// targets. Readers on the path of a request load a snapshot; nothing that they
// read changes under them.
package registry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// reregistrationGrace is how long after the store's return a target that lapsed while
	// it was away may take to register again.
	reregistrationGrace = 1900 * time.Millisecond
	// expiryWindow is how long after the return a removal may be such a lapse. A
	// later one is a target that leaves now.
	expiryWindow = 600 * time.Millisecond
)

// Decoder decodes the records of the operator and of the targets.
type Decoder interface {
	// Configuration returns nil for a record that holds none.
	Configuration(r fleet.Record) (*fleet.Configuration, error)
	// Target returns nil for the end of a target.
	Target(r fleet.Record) (*fleet.Target, error)
}

// Configurations holds the newest configuration seen.
type Configurations struct {
	decoder Decoder
	current atomic.Pointer[fleet.Configuration]
}

// NewConfigurations returns a holder that knows none.
func NewConfigurations(d Decoder) *Configurations { return &Configurations{decoder: d} }

// Current returns the configuration in force, nil before the first.
func (c *Configurations) Current() *fleet.Configuration { return c.current.Load() }

// Apply takes the newest configuration among the records. An older one than
// that in force changes nothing, in whatever order they come.
func (c *Configurations) Apply(records []fleet.Record) {
	for _, r := range records {
		next, err := c.decoder.Configuration(r)
		if err != nil {
			klog.InfoS("configuration not readable", "offset", r.Offset, "error", protocol.CauseOf(err))
			continue
		}
		if next == nil {
			continue
		}
		old := c.current.Load()
		if old != nil && next.Version <= old.Version {
			continue
		}
		c.current.Store(next)
		klog.InfoS("configuration in force", "version", next.Version, "offset", r.Offset)
	}
}

// Targets holds the targets that are registered.
type Targets struct {
	decoder Decoder
	now     func() time.Time

	mu   sync.Mutex
	byID map[string]*fleet.Target
	// removeAt holds when targets are to be dropped that were gone from the
	// registry when the store came back.
	removeAt map[string]time.Time
	// recoveredAt is when the store last answered again after it did not.
	recoveredAt time.Time
	snapshot    atomic.Pointer[Snapshot]
}

// Snapshot is the registry at one moment. It is immutable.
type Snapshot struct {
	// Services holds the ready targets of each service.
	Services map[string][]*fleet.Target
	// Addresses holds every registered target by its address.
	Addresses map[string]*fleet.Target
}

// NewTargets returns a registry without targets.
func NewTargets(d Decoder, now func() time.Time) *Targets {
	t := &Targets{decoder: d, now: now, byID: map[string]*fleet.Target{}, removeAt: map[string]time.Time{}}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Current returns the registry as it is known now.
func (t *Targets) Current() *Snapshot { return t.snapshot.Load() }

// RemoveLifetime drops a lifetime of which another one at its address has told that it is
// over. A later lifetime under the same ID stays.
func (t *Targets) RemoveLifetime(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byID[target.ID]
	if known == nil || known.Born != target.Born {
		return
	}
	klog.InfoS("target gone", "target", target.ID, "reason", "another lifetime answers at its address")
	delete(t.removeAt, target.ID)
	delete(t.byID, target.ID)
	t.publishSnapshot()
}

// StoreRecovered says that the store answers again after it did not. Targets
// whose registration lapsed meanwhile stay for a grace period.
func (t *Targets) StoreRecovered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = t.now()
}

// Reset replaces the registry by the newest records.
func (t *Targets) Reset(records []fleet.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := maps.Clone(t.byID)
	for _, r := range records {
		t.apply(r)
		delete(gone, r.Key)
	}
	for id := range gone {
		t.remove(id)
	}
	t.publishSnapshot()
}

// Apply folds records that follow those before.
func (t *Targets) Apply(records []fleet.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.apply(r)
	}
	t.publishSnapshot()
}

// RemoveExpired drops the targets whose grace period is over.
func (t *Targets) RemoveExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, until := range t.removeAt {
		if t.now().After(until) {
			klog.InfoS("target gone", "target", id, "reason", "not registered again after the store's return")
			delete(t.removeAt, id)
			delete(t.byID, id)
			changed = true
		}
	}
	if changed {
		t.publishSnapshot()
	}
}

func (t *Targets) apply(r fleet.Record) {
	target, err := t.decoder.Target(r)
	if err != nil {
		klog.InfoS("target record not readable", "target", r.Key, "offset", r.Offset, "error", protocol.CauseOf(err))
	}
	if target == nil {
		t.remove(r.Key)
		return
	}
	old := t.byID[target.ID]
	if old != nil && target.Born != 0 && target.Born < old.Born {
		return // a late record of an earlier lifetime
	}
	if old == nil || old.Draining != target.Draining || old.Born != target.Born {
		klog.InfoS("target registered", "target", target.ID, "service", target.Service, "draining", target.Draining, "born", target.Born)
	}
	delete(t.removeAt, target.ID)
	t.byID[target.ID] = target
}

func (t *Targets) remove(id string) {
	if t.byID[id] == nil {
		return
	}
	if !t.recoveredAt.IsZero() && t.now().Sub(t.recoveredAt) <= expiryWindow {
		t.removeAt[id] = t.recoveredAt.Add(reregistrationGrace)
		return
	}
	klog.InfoS("target gone", "target", id, "reason", "registration removed")
	delete(t.removeAt, id)
	delete(t.byID, id)
}

func (t *Targets) publishSnapshot() {
	s := &Snapshot{Services: map[string][]*fleet.Target{}, Addresses: map[string]*fleet.Target{}}
	for _, target := range t.byID {
		if old := s.Addresses[target.Address]; old == nil || old.Born < target.Born {
			s.Addresses[target.Address] = target
		}
		if !target.Draining {
			s.Services[target.Service] = append(s.Services[target.Service], target)
		}
	}
	t.snapshot.Store(s)
}
