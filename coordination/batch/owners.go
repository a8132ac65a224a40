package batch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// MaxPollEntries is the number of entries at which a target waits for items. Where there
// are more, these tell it which others have jobs that it can run.
const MaxPollEntries = 4

// PollEntries returns the entries at which a target waits for items, by rendezvous
// hashing: all of live where they are few.
func PollEntries(target string, live []string) []string {
	if len(live) <= MaxPollEntries {
		return live
	}
	score := func(entry string) uint64 { return xxhash.Sum64String(entry + "\x00" + target) }
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ranked[:MaxPollEntries]
}

// OwnerCache remembers which member owns each running job. Its methods may be called
// at the same time.
type OwnerCache struct {
	mu      sync.Mutex
	members []string
	byJob   map[string]string
}

// OtherOwners returns the members beside self that own a running job accepted at since
// or later whose service the target runs.
func (o *OwnerCache) OtherOwners(self string, members []string, running []state.RunningJob, since protocol.Position, serves func(service string) bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Equal(members, o.members) || len(o.byJob) > 2*len(running)+MaxPollEntries {
		o.members, o.byJob = members, map[string]string{}
	}
	others := map[string]bool{}
	served := map[string]bool{}
	for i := range running {
		job := &running[i]
		if job.AcceptedAt < since {
			continue
		}
		if _, asked := served[job.Service]; !asked {
			served[job.Service] = serves(job.Service)
		}
		if owner := o.owner(job.Job); served[job.Service] && owner != self {
			others[owner] = true
		}
	}
	var names []string
	for _, m := range members {
		if others[m] {
			names = append(names, m)
		}
	}
	return names
}

func (o *OwnerCache) owner(job string) string {
	owner, known := o.byJob[job]
	if !known {
		owner = routing.Owner(job, o.members)
		o.byJob[job] = owner
	}
	return owner
}
