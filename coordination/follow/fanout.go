package follow

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// DefaultTailsPerDataCentre is the number of processes in one data centre that
// read a stream from the log itself.
const DefaultTailsPerDataCentre = 16

// Fanout implements Peers. In each data centre, a few of the processes that follow
// a stream tail the log, and the others read from these. The choice only spreads
// load; any process may read from any other.
type Fanout struct {
	Self       string
	DataCentre string
	Stream     string
	// TailsPerDataCentre is the number of processes in one data centre that tail
	// the log. Zero means DefaultTailsPerDataCentre.
	TailsPerDataCentre int
	// Instances returns the processes that the platform lists.
	Instances func() []backend.Instance
	// Follows reports whether a process follows the stream.
	Follows func(backend.Instance) bool
	// Call asks the process at the peer address addr for entries.
	Call func(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error)
}

// TailsLog implements Peers. A process that the platform does not list yet tails
// the log.
func (f *Fanout) TailsLog() bool {
	ranked := f.rankedFollowers(f.DataCentre)
	rank := slices.IndexFunc(ranked, func(i backend.Instance) bool { return i.Name == f.Self })
	return rank < f.tailsPerDataCentre()
}

func (f *Fanout) tailsPerDataCentre() int {
	return cmp.Or(f.TailsPerDataCentre, DefaultTailsPerDataCentre)
}

// Addresses implements Peers. It returns the processes of this data centre that
// tail the log, in an order that differs between processes, and then the entries.
func (f *Fanout) Addresses() []string {
	ranked := f.rankedFollowers(f.DataCentre)
	tails := slices.Clone(ranked[:min(f.tailsPerDataCentre(), len(ranked))])
	sortByScore(tails, f.Self+f.Stream)
	var addresses []string
	for _, i := range tails {
		if i.Name != f.Self {
			addresses = append(addresses, i.Peer)
		}
	}
	for _, addr := range f.Authorities() {
		if !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	return addresses
}

// Authorities implements Peers. It returns the entries, including those that are
// leaving, since only entries acknowledge changes.
func (f *Fanout) Authorities() []string {
	var addresses []string
	for _, i := range f.Instances() {
		if i.Role == backend.RoleEntry && i.Name != f.Self {
			addresses = append(addresses, i.Peer)
		}
	}
	return addresses
}

// Listed implements Peers.
func (f *Fanout) Listed() bool { return len(f.Instances()) > 0 }

// ReadLog implements Peers.
func (f *Fanout) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	return f.Call(ctx, addr, args)
}

// rankedFollowers returns the followers of the stream in a data centre, ordered by
// rendezvous hashing.
func (f *Fanout) rankedFollowers(dataCentre string) []backend.Instance {
	var found []backend.Instance
	for _, i := range f.Instances() {
		if i.DataCentre == dataCentre && !i.Leaving && f.Follows(i) {
			found = append(found, i)
		}
	}
	sortByScore(found, f.Stream)
	return found
}

func sortByScore(all []backend.Instance, key string) {
	score := func(i backend.Instance) uint64 { return xxhash.Sum64String(i.Name + "\x00" + key) }
	slices.SortFunc(all, func(a, b backend.Instance) int { return cmp.Compare(score(b), score(a)) })
}
