package registry

import "github.com/sycamoretally/sycamoretally/protocol/fleet"

// ReplacedBy returns the incarnation, born later, that is registered at the target's address, nil if
// there is none. If its service is one that the configuration names, the target has ended. That a
// target is no longer registered does not show that, since it may go on serving what it has.
func (s *Snapshot) ReplacedBy(target *fleet.Target) *fleet.Target {
	current := s.Addresses[target.Address]
	if current == nil || target.StartUnixMillis == 0 || current.StartUnixMillis <= target.StartUnixMillis {
		return nil
	}
	return current
}
