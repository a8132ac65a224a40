package state

import (
	"reflect"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Action says what a change would do to one object.
type Action string

// The actions of a change on an object.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	// ActionNone leaves the object as it is.
	ActionNone Action = "unchanged"
)

// PlannedObject is what a change would do to one object.
type PlannedObject struct {
	Action Action          `json:"action"`
	Object protocol.Object `json:"object"`
	// Current is the version in force, also that of a deletion; zero where the
	// object has never been set.
	Current protocol.Position `json:"current"`
	// Live is the object in force, nil where there is none.
	Live *protocol.Object `json:"live,omitempty"`
}

// Plan says what a change would do to each of its objects.
func (c *Config) Plan(change *protocol.Change) []PlannedObject {
	plan := make([]PlannedObject, 0, len(change.Objects))
	for _, o := range change.Objects {
		planned := PlannedObject{Object: o}
		have, found := c.Lookup(o.Kind, o.Name)
		planned.Current = have.Version
		if found && !have.Deleted {
			planned.Live = &have
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

// sameContent compares two objects without their versions.
func sameContent(a, b protocol.Object) bool {
	a.Base, a.Version, b.Base, b.Version = 0, 0, 0, 0
	return reflect.DeepEqual(a, b)
}

// WithChange returns the configuration as it would be after the change, whatever the
// versions that the change was made from.
func (c *Config) WithChange(change *protocol.Change) *Config {
	next := *c
	next.setObjects(c.At, change)
	return &next
}

// Selects reports whether the object selects a target that has the labels own
// of itself. Label objects match those; the other kinds match the labels in effect.
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
