package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// objectID identifies a configuration object.
type objectID struct {
	kind protocol.ObjectKind
	name string
}

// Config is a snapshot of the configuration. It is immutable.
type Config struct {
	// At is the position of the last record applied, whether or not it was valid.
	At      protocol.Position
	objects map[objectID]protocol.Object
	labels  []protocol.Object
	drains  []protocol.Object
	// services holds the services that are not deleted.
	services []protocol.Object
}

// Lookup returns the object of the kind with the name, even if it is deleted.
func (c *Config) Lookup(kind protocol.ObjectKind, name string) (protocol.Object, bool) {
	o, found := c.objects[objectID{kind, name}]
	return o, found
}

// Objects returns all objects that are not deleted, sorted by kind and name.
func (c *Config) Objects() []protocol.Object {
	var all []protocol.Object
	for _, o := range c.objects {
		if !o.Deleted {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, compareObjects)
	return all
}

func compareObjects(a, b protocol.Object) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Service returns the service with the given name, or nil if there is none.
func (c *Config) Service(name string) *protocol.Service {
	o, _ := c.Lookup(protocol.KindService, name)
	return o.Service
}

// Quota returns the quota of a workspace, or nil if there is none.
func (c *Config) Quota(workspace string) *protocol.Quota {
	o, _ := c.Lookup(protocol.KindQuota, workspace)
	return o.Quota
}

// Labels returns a target's effective labels: its own, overridden by those of all
// matching label objects in order of the objects' names.
func (c *Config) Labels(own protocol.Labels) protocol.Labels {
	labels := maps.Clone(own)
	if labels == nil {
		labels = protocol.Labels{}
	}
	for _, o := range c.labels {
		if o.Label.Selector.Matches(own) {
			maps.Copy(labels, o.Label.Set)
		}
	}
	return labels
}

// ServicesOf returns the names of the services that a target with the given own
// labels can run.
func (c *Config) ServicesOf(own protocol.Labels) []string {
	labels := c.Labels(own)
	if c.Drained(labels) {
		return nil
	}
	var names []string
	for _, o := range c.services {
		if o.Service.Selector.Matches(labels) {
			names = append(names, o.Name)
		}
	}
	return names
}

// Drained reports whether a drain selects a target with these effective labels.
func (c *Config) Drained(labels protocol.Labels) bool {
	return slices.ContainsFunc(c.drains, func(o protocol.Object) bool {
		return o.Drain.Selector.Matches(labels)
	})
}

// ConfigFold folds configuration changes. Readers get immutable snapshots and
// never wait for Apply.
type ConfigFold struct {
	current atomic.Pointer[Config]

	mu            sync.Mutex
	changeResults *changeResults
	versions      *versions
}

// NewConfigFold returns an empty fold.
func NewConfigFold() *ConfigFold {
	f := &ConfigFold{changeResults: newChangeResults(maxChangeResults), versions: newVersions()}
	f.current.Store(&Config{objects: map[objectID]protocol.Object{}})
	return f
}

// Current returns the newest snapshot.
func (f *ConfigFold) Current() *Config { return f.current.Load() }

// Apply folds the record at position pos. Records other than changes only advance
// the position.
func (f *ConfigFold) Apply(pos protocol.Position, rec *protocol.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current.Load()
	if pos <= old.At {
		return
	}
	next := *old
	next.At = pos
	if rec.Change != nil && !f.changeResults.known(rec.ID) {
		err := checkBaseVersions(old, rec.Change)
		f.changeResults.add(rec.ID, ChangeResult{Known: true, At: pos, Err: err})
		if err == nil {
			next.setObjects(pos, rec.Change)
			f.versions.add(pos, rec.Change)
		}
	}
	f.current.Store(&next)
}

// ChangeResult returns the result of the change with the given record ID. Its error is
// nil, ErrVersionConflict or ErrBadRequest.
func (f *ConfigFold) ChangeResult(recordID string) ChangeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeResults.get(recordID)
}

// checkBaseVersions fails if the change is malformed or if one of its objects was based
// on another version than the current one.
func checkBaseVersions(c *Config, change *protocol.Change) error {
	if err := change.Validate(); err != nil {
		return err
	}
	for _, o := range change.Objects {
		current := c.objects[objectID{o.Kind, o.Name}].Version
		if o.Base != current {
			return protocol.NewVersionConflict(protocol.VersionConflict{Kind: o.Kind, Name: o.Name, Base: o.Base, Current: current})
		}
	}
	return nil
}

// setObjects replaces the objects of an accepted change and rebuilds the sorted lists.
func (c *Config) setObjects(pos protocol.Position, change *protocol.Change) {
	c.objects = maps.Clone(c.objects)
	for _, o := range change.Objects {
		o.Version = pos
		c.objects[objectID{o.Kind, o.Name}] = o
	}
	c.deriveLists()
}

// deriveLists rebuilds the sorted lists of services, labels and drains that are not
// deleted.
func (c *Config) deriveLists() {
	c.labels, c.drains, c.services = nil, nil, nil
	for _, o := range c.Objects() {
		switch o.Kind {
		case protocol.KindService:
			c.services = append(c.services, o)
		case protocol.KindLabel:
			c.labels = append(c.labels, o)
		case protocol.KindDrain:
			c.drains = append(c.drains, o)
		}
	}
}
