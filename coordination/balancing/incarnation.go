package balancing

import "github.com/sycamoretally/sycamoretally/protocol/fleet"

// EjectReplaced ejects the candidates whose batcher names another incarnation of the target,
// and returns them. addresses holds the address that was asked for each candidate. Their
// registrations expire seconds after such a target has ended, and without this each gateway
// finds out about each of them by a request of a caller. The batcher of a target that has
// just started may name the one before for a moment, so that the target comes back soon.
func (b *Balancer) EjectReplaced(candidates []*fleet.Target, addresses []string, answers []fleet.PeerLoad) []*fleet.Target {
	named := make(map[string]string, len(answers))
	for _, a := range answers {
		if a.Address != "" {
			named[a.Address] = a.Target
		}
	}
	var replaced []*fleet.Target
	for i, target := range candidates {
		if id, answered := named[addresses[i]]; answered && id != target.ID {
			b.RecordFailure(target)
			replaced = append(replaced, target)
		}
	}
	return replaced
}
