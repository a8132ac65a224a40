package registry

import "github.com/sycamoretally/sycamoretally/protocol/fleet"

// HasReplaced reports whether another incarnation, born later, is registered at the target's
// address: then the target has ended. That a target is no longer registered does not show that,
// since it may go on serving what it has.
func (s *Snapshot) HasReplaced(target *fleet.Target) bool {
	current := s.Addresses[target.Address]
	return current != nil && target.StartUnixMillis != 0 && current.StartUnixMillis > target.StartUnixMillis
}
