package follow_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
)

// fleet returns the processes of all data centres. The first process in each is an
// entry.
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

func fanoutOf(self backend.Instance, all []backend.Instance) *follow.Fanout {
	return &follow.Fanout{
		Self: self.Name, DataCentre: self.DataCentre, Stream: "s", TailsPerDataCentre: 3,
		Instances: func() []backend.Instance { return all },
		Follows:   func(backend.Instance) bool { return true },
	}
}

// TestFanout checks that only the configured number of processes in each data
// centre tail the log, and that every other process reads from one of these in its
// own data centre first.
func TestFanout(t *testing.T) {
	all := fleet(4, 20)
	tails := map[string][]string{}
	for _, i := range all {
		if fanoutOf(i, all).TailsLog() {
			tails[i.DataCentre] = append(tails[i.DataCentre], i.Name)
		}
	}
	readers := map[string]int{}
	for _, i := range all {
		assert.Equal(t, len(tails[i.DataCentre]), 3)
		addresses := fanoutOf(i, all).Addresses()
		assert.Assert(t, !slices.Contains(addresses, i.Peer))
		assert.Assert(t, slices.Contains(tails[i.DataCentre], addresses[0]))
		readers[addresses[0]]++
		for _, entry := range fanoutOf(i, all).Authorities() {
			assert.Assert(t, slices.Contains(addresses, entry))
		}
	}
	assert.Assert(t, len(readers) > 4*2, "%v", readers)
}

// TestFanoutAfterLossOfTail checks that the other processes that tail the log go
// on doing so when one of them is lost.
func TestFanoutAfterLossOfTail(t *testing.T) {
	all := fleet(1, 20)
	lost := slices.IndexFunc(all, func(i backend.Instance) bool { return fanoutOf(i, all).TailsLog() })
	rest := slices.Delete(slices.Clone(all), lost, lost+1)
	for _, i := range rest {
		if fanoutOf(i, all).TailsLog() {
			assert.Assert(t, fanoutOf(i, rest).TailsLog())
		}
	}
	fresh := backend.Instance{Name: "fresh", DataCentre: "0"}
	assert.Assert(t, fanoutOf(fresh, rest).TailsLog())
}
