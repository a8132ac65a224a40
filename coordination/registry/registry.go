// Package registry holds the configuration and the registered targets as a process
// knows them. Request handlers load immutable snapshots, without locking.
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
	// reregistrationGrace is the time after the store's recovery within which a
	// target may register again whose registration expired during the outage.
	reregistrationGrace = 1900 * time.Millisecond
	// expiryWindow is the time after the recovery during which a removal may be such
	// an expiry. A later removal means that the target leaves now.
	expiryWindow = 600 * time.Millisecond
	// maxClockSkew is how far the clocks of a target and of this process may differ. A target
	// that was started later than that was registered by another writer.
	maxClockSkew = time.Hour
	// maxLeaving bounds the incarnations that are remembered as leaving.
	maxLeaving = 4096
)

// Decoder decodes the operator's configuration records and the targets' records.
type Decoder interface {
	// Configuration returns nil for a record that holds no configuration.
	Configuration(r fleet.Record) (*fleet.Configuration, error)
	// Target returns nil for a record that removes a target.
	Target(r fleet.Record) (*fleet.Target, error)
}

// Configurations holds the newest configuration that was read.
type Configurations struct {
	decoder Decoder
	current atomic.Pointer[fleet.Configuration]
	// before is the configuration that was in force before.
	before atomic.Pointer[fleet.Configuration]
}

// NewConfigurations returns Configurations without a configuration.
func NewConfigurations(d Decoder) *Configurations { return &Configurations{decoder: d} }

// Current returns the configuration in force, or nil before the first one.
func (c *Configurations) Current() *fleet.Configuration { return c.current.Load() }

// Before returns the configuration that was in force before the current one, or nil.
func (c *Configurations) Before() *fleet.Configuration { return c.before.Load() }

// Apply puts the newest configuration among the records in force. Versions that
// are not newer than the one in force are ignored, in whatever order they arrive.
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
		c.before.Store(old)
		c.current.Store(next)
		klog.InfoS("configuration in force", "version", next.Version, "offset", r.Offset)
	}
}

// Targets holds the registered targets.
type Targets struct {
	decoder Decoder
	now     func() time.Time

	mu   sync.Mutex
	byID map[string]*fleet.Target
	// removeAt holds the removal times, by ID, of the targets whose registration was
	// removed just after the store had recovered.
	removeAt map[string]time.Time
	// leaving holds the time of start, by ID, of incarnations that announced in an answer
	// that they leave. It outlives their registration, which may expire and come back while
	// the store is away.
	leaving map[string]int64
	// provisional holds the targets, by ID, that their batchers have announced.
	provisional map[string]provisional
	// past holds the IDs of targets that have been registered, or whose announcement turned
	// out to be wrong.
	past map[string]bool
	// recoveredAt is when the store last answered again after an outage.
	recoveredAt time.Time
	snapshot    atomic.Pointer[Snapshot]
}

// Snapshot is the state of the registry at one time. It is immutable.
type Snapshot struct {
	// Services holds the targets of each service that are not draining and at whose address
	// none was born later: of two incarnations at one address only the later one runs.
	Services map[string][]*fleet.Target
	// Addresses holds every registered target by its address; of several at one
	// address, the one born last.
	Addresses map[string]*fleet.Target
}

// NewTargets returns a registry without targets.
func NewTargets(d Decoder, now func() time.Time) *Targets {
	t := &Targets{decoder: d, now: now, byID: map[string]*fleet.Target{}, removeAt: map[string]time.Time{}, leaving: map[string]int64{}, provisional: map[string]provisional{}, past: map[string]bool{}}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Current returns the newest snapshot.
func (t *Targets) Current() *Snapshot { return t.snapshot.Load() }

// RemoveIncarnation removes the given incarnation of a target, for a caller that got an
// answer from another incarnation at its address. A later incarnation under the same ID
// stays.
func (t *Targets) RemoveIncarnation(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target.Provisional {
		t.refute(target)
		return
	}
	known := t.byID[target.ID]
	if known == nil || known.StartUnixMillis != target.StartUnixMillis {
		return
	}
	klog.InfoS("target gone", "target", target.ID, "reason", "another lifetime answers at its address")
	delete(t.removeAt, target.ID)
	delete(t.byID, target.ID)
	t.publishSnapshot()
}

// MarkLeaving records that the given incarnation of a target announced in an answer that it
// leaves. It counts as draining from now on, whatever its registration says: that may not
// reach this process for as long as the store is away.
func (t *Targets) MarkLeaving(target *fleet.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isLeaving(target) {
		return
	}
	klog.InfoS("target leaving", "target", target.ID, "reason", "announced in an answer")
	if len(t.leaving) >= maxLeaving {
		maps.DeleteFunc(t.leaving, func(id string, _ int64) bool { return t.byID[id] == nil })
	}
	t.leaving[target.ID] = target.StartUnixMillis
	t.publishSnapshot()
}

// isLeaving reports whether the incarnation is marked as leaving. mu must be held.
func (t *Targets) isLeaving(target *fleet.Target) bool {
	born, marked := t.leaving[target.ID]
	return marked && born == target.StartUnixMillis
}

// StoreRecovered notes that the store answers again after an outage. Targets whose
// registration expired during the outage stay for a grace period.
func (t *Targets) StoreRecovered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = t.now()
}

// Reset replaces the targets by those of the newest records.
func (t *Targets) Reset(records []fleet.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	absent := maps.Clone(t.byID)
	for _, r := range records {
		t.apply(r)
		delete(absent, r.Key)
	}
	for id := range absent {
		t.remove(id)
	}
	t.publishSnapshot()
}

// Apply folds the records that follow those applied before.
func (t *Targets) Apply(records []fleet.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.apply(r)
	}
	t.publishSnapshot()
}

// RemoveExpired removes the targets whose grace period is over.
func (t *Targets) RemoveExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.expireProvisional()
	for id, until := range t.removeAt {
		if t.now().After(until) {
			klog.InfoS("target gone", "target", id, "reason", "not registered again after the store recovered")
			delete(t.removeAt, id)
			delete(t.byID, id)
			changed = true
		}
	}
	if changed {
		t.publishSnapshot()
	}
}

// apply folds one record. mu must be held.
func (t *Targets) apply(r fleet.Record) {
	target, err := t.decoder.Target(r)
	if err != nil {
		klog.InfoS("target record not readable", "target", r.Key, "offset", r.Offset, "error", protocol.CauseOf(err))
	}
	if target == nil {
		t.remove(r.Key)
		return
	}
	if target.StartUnixMillis > t.now().Add(maxClockSkew).UnixMilli() {
		klog.InfoS("target record not readable", "target", r.Key, "offset", r.Offset, "born", target.StartUnixMillis)
		t.remove(r.Key)
		return
	}
	old := t.byID[target.ID]
	if old != nil && target.StartUnixMillis != 0 && target.StartUnixMillis < old.StartUnixMillis {
		return // a delayed record of an earlier incarnation
	}
	if old == nil || old.Draining != target.Draining || old.StartUnixMillis != target.StartUnixMillis {
		klog.InfoS("target registered", "target", target.ID, "service", target.Service, "draining", target.Draining, "born", target.StartUnixMillis)
	}
	delete(t.removeAt, target.ID)
	t.byID[target.ID] = target
	t.confirm(target.ID)
}

// remove removes a target, after a grace period if its registration may have
// expired during an outage of the store. mu must be held.
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

// publishSnapshot makes a snapshot of the targets current. mu must be held.
func (t *Targets) publishSnapshot() {
	s := &Snapshot{Services: map[string][]*fleet.Target{}, Addresses: map[string]*fleet.Target{}}
	all := make([]*fleet.Target, 0, len(t.byID))
	for _, target := range t.known() {
		if t.isLeaving(target) && !target.Draining {
			draining := *target
			draining.Draining = true
			target = &draining
		}
		if old := s.Addresses[target.Address]; old == nil || old.StartUnixMillis < target.StartUnixMillis {
			s.Addresses[target.Address] = target
		}
		all = append(all, target)
	}
	for _, target := range all {
		if !target.Draining && s.Addresses[target.Address].StartUnixMillis == target.StartUnixMillis {
			s.Services[target.Service] = append(s.Services[target.Service], target)
		}
	}
	t.snapshot.Store(s)
}
