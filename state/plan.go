package state

import (
	"reflect"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Action is the effect of a change on one object.
type Action string

const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	// ActionNone means that the object would not change.
	ActionNone Action = "unchanged"
)

// PlannedObject describes the effect that a change would have on one object.
type PlannedObject struct {
	Action Action          `json:"action"`
	Object protocol.Object `json:"object"`
	// Current is the object's current version, which may be that of its deletion. It
	// is zero if the object has never been set.
	Current protocol.Position `json:"current"`
	// Live is the current object, or nil if there is none or it is deleted.
	Live *protocol.Object `json:"live,omitempty"`
}

// Plan returns the effect that a change would have on each of its objects.
func (c *Config) Plan(change *protocol.Change) []PlannedObject {
	plan := make([]PlannedObject, 0, len(change.Objects))
	for _, o := range change.Objects {
		planned := PlannedObject{Object: o}
		current, found := c.Lookup(o.Kind, o.Name)
		planned.Current = current.Version
		if found && !current.Deleted {
			planned.Live = &current
		}
		planned.Action = actionOf(&o, planned.Live)
		plan = append(plan, planned)
	}
	return plan
}

func actionOf(o, live *protocol.Object) Action {
	switch {
	case o.Deleted && live == nil:
		return ActionNone
	case o.Deleted:
		return ActionDelete
	case live == nil:
		return ActionCreate
	case sameContent(*o, *live):
		return ActionNone
	default:
		return ActionUpdate
	}
}

// sameContent reports whether two objects are equal apart from their versions.
func sameContent(a, b protocol.Object) bool {
	a.Base, a.Version, b.Base, b.Version = 0, 0, 0, 0
	return reflect.DeepEqual(a, b)
}

// WithChange returns the configuration as it would be after the change. It does not
// check the base versions of the change.
func (c *Config) WithChange(change *protocol.Change) *Config {
	next := *c
	next.setObjects(c.At, change)
	return &next
}

// Selects reports whether the object selects a target with the given own labels.
// Label objects are matched against the own labels, other kinds against the effective
// labels.
func (c *Config) Selects(o *protocol.Object, own protocol.Labels) bool {
	selector, selects := o.TargetSelector()
	switch {
	case !selects:
		return false
	case o.Kind == protocol.KindLabel:
		return selector.Matches(own)
	default:
		return selector.Matches(c.Labels(own))
	}
}
