package follow_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
)

// fleet returns data centres of a number of processes, the first of each an entry.
func fleet(dataCentres, processes int) []backend.Instance {
	var all []backend.Instance
	for d := range dataCentres {
		for i := range processes {
			name := fmt.Sprintf("p-%d-%d", d, i)
			role := backend.RoleSidecar
			if i == 0 {
				role = backend.RoleEntry
			}
			all = append(all, backend.Instance{Name: name, Role: role, DataCentre: fmt.Sprint(d), Peer: name})
		}
	}
	return all
}

func groupOf(self backend.Instance, all []backend.Instance) *follow.Fanout {
	return &follow.Fanout{
		Self: self.Name, DataCentre: self.DataCentre, Stream: "s", TailsPerDataCentre: 3,
		Instances: func() []backend.Instance { return all },
		Follows:   func(backend.Instance) bool { return true },
	}
}

// TestGroup checks that few processes of each data centre tail the log, and that
// every other begins with one of these in its own data centre.
func TestGroup(t *testing.T) {
	all := fleet(4, 20)
	tails := map[string][]string{}
	for _, i := range all {
		if groupOf(i, all).TailsLog() {
			tails[i.DataCentre] = append(tails[i.DataCentre], i.Name)
		}
	}
	readers := map[string]int{}
	for _, i := range all {
		assert.Equal(t, len(tails[i.DataCentre]), 3)
		addresses := groupOf(i, all).Addresses()
		assert.Assert(t, !slices.Contains(addresses, i.Peer))
		assert.Assert(t, slices.Contains(tails[i.DataCentre], addresses[0]))
		readers[addresses[0]]++
		for _, entry := range groupOf(i, all).Authorities() {
			assert.Assert(t, slices.Contains(addresses, entry))
		}
	}
	assert.Assert(t, len(readers) > 4*2, "%v", readers)
}

// TestGroupWithoutOneTail checks that the loss of a tail moves no other.
func TestGroupWithoutOneTail(t *testing.T) {
	all := fleet(1, 20)
	lost := slices.IndexFunc(all, func(i backend.Instance) bool { return groupOf(i, all).TailsLog() })
	rest := slices.Delete(slices.Clone(all), lost, lost+1)
	for _, i := range rest {
		if groupOf(i, all).TailsLog() {
			assert.Assert(t, groupOf(i, rest).TailsLog())
		}
	}
	fresh := backend.Instance{Name: "fresh", DataCentre: "0"}
	assert.Assert(t, groupOf(fresh, rest).TailsLog())
}
