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

// Fanout chooses among the processes that follow a stream: a few in each data
// centre tail the log, and the others read from them. The choice only spreads
// load; any process may read from any other. It implements Peers.
type Fanout struct {
	Self       string
	DataCentre string
	Stream     string
	// TailsPerDataCentre is the number of tails in one data centre.
	TailsPerDataCentre int
	// Instances returns the processes that the platform lists.
	Instances func() []backend.Instance
	// Follows reports whether a process follows the stream.
	Follows func(backend.Instance) bool
	// Call asks the process at a peer address for entries.
	Call func(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error)
}

// TailsLog implements Peers. A process that is not listed yet tails the log.
func (g *Fanout) TailsLog() bool {
	ranked := g.rankedFollowers(g.DataCentre)
	place := slices.IndexFunc(ranked, func(i backend.Instance) bool { return i.Name == g.Self })
	return place < g.tailsPerDataCentre()
}

func (g *Fanout) tailsPerDataCentre() int {
	return cmp.Or(g.TailsPerDataCentre, DefaultTailsPerDataCentre)
}

// Addresses implements Peers: the tails of the own data centre, each process
// beginning with another of them, and then the entries.
func (g *Fanout) Addresses() []string {
	ranked := g.rankedFollowers(g.DataCentre)
	tails := slices.Clone(ranked[:min(g.tailsPerDataCentre(), len(ranked))])
	sortByScore(tails, g.Self+g.Stream)
	var addresses []string
	for _, i := range tails {
		if i.Name != g.Self {
			addresses = append(addresses, i.Peer)
		}
	}
	for _, addr := range g.Authorities() {
		if !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	return addresses
}

// Authorities implements Peers: the entries, which alone acknowledge changes,
// leaving ones included.
func (g *Fanout) Authorities() []string {
	var addresses []string
	for _, i := range g.Instances() {
		if i.Role == backend.RoleEntry && i.Name != g.Self {
			addresses = append(addresses, i.Peer)
		}
	}
	return addresses
}

// Listed implements Peers.
func (g *Fanout) Listed() bool { return len(g.Instances()) > 0 }

// ReadLog implements Peers.
func (g *Fanout) ReadLog(ctx context.Context, addr string, args protocol.ReadLogArgs) (protocol.ReadLogReply, error) {
	return g.Call(ctx, addr, args)
}

// rankedFollowers returns the followers of the stream in a data centre in the order of
// rendezvous hashing.
func (g *Fanout) rankedFollowers(dataCentre string) []backend.Instance {
	var found []backend.Instance
	for _, i := range g.Instances() {
		if i.DataCentre == dataCentre && !i.Leaving && g.Follows(i) {
			found = append(found, i)
		}
	}
	sortByScore(found, g.Stream)
	return found
}

func sortByScore(all []backend.Instance, key string) {
	score := func(i backend.Instance) uint64 { return xxhash.Sum64String(i.Name + "\x00" + key) }
	slices.SortFunc(all, func(a, b backend.Instance) int { return cmp.Compare(score(b), score(a)) })
}
