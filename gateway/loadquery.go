package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// loadQueryTargets is the number of targets whose load is queried before the target
	// of a stream is chosen.
	loadQueryTargets = 3
	// loadQueryTimeout bounds the wait for the answers: a few round trips between data
	// centres, and a small part of a stream's latency objective.
	loadQueryTimeout = 12 * time.Millisecond
	// minLoadQueryBackoff is how long the loads of a service are not queried after none of
	// its batchers answered. The time doubles up to loadQueryBackoff while none does.
	minLoadQueryBackoff = 60 * time.Millisecond
	loadQueryBackoff    = time.Second
)

// LoadQuerier queries the batchers beside targets for the targets' loads.
type LoadQuerier interface {
	// QueryLoads returns the answers that arrive within wait.
	QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad
	// AnnounceRequest tells the batcher at the address that a request is about to be
	// sent to its target.
	AnnounceRequest(address string)
	// ReportOutcome tells the batcher at the address what a stream met at its target: at
	// once if that is urgent, otherwise with the next message there.
	ReportOutcome(address string, outcome fleet.PeerOutcome, urgent bool)
}

// chooseTarget chooses the target of the next attempt. For a stream it is, of a few targets
// whose load was queried, the one that is expected to serve it soonest. If no batcher answers,
// and for other requests, the gateway's own load table decides.
func (o *onlineRequest) chooseTarget(ctx context.Context, targets []*fleet.Target) (balancing.Choice, bool) {
	if choice, found := o.chooseByLoad(ctx, targets, o.tried); found {
		if !o.mustWait(choice) {
			o.g.params.LoadQuerier.AnnounceRequest(o.g.batcherAddress(choice.Target))
		}
		return choice, true
	}
	return o.g.table.Begin(targets, o.tried)
}

// chooseByLoad queries the loads of a few targets that are not in tried and chooses one of them. It returns
// false if there is no answer to choose by.
func (o *onlineRequest) chooseByLoad(ctx context.Context, targets []*fleet.Target, tried map[string]bool) (balancing.Choice, bool) {
	if o.g.params.LoadQuerier == nil || o.route.Kind != fleet.KindStream || o.g.unresponsive.has(time.Now(), o.service) {
		return balancing.Choice{}, false
	}
	candidates := o.g.table.Candidates(targets, tried, loadQueryTargets, o.g.isConnected)
	if len(candidates) < 2 {
		return balancing.Choice{}, false
	}
	var addresses []string
	for _, target := range candidates {
		addresses = append(addresses, o.g.batcherAddress(target))
	}
	answers := o.g.params.LoadQuerier.QueryLoads(ctx, addresses, loadQueryTimeout)
	o.g.metrics.loadQueries.WithLabelValues("answered").Add(float64(len(answers)))
	o.g.metrics.loadQueries.WithLabelValues("silent").Add(float64(len(addresses) - len(answers)))
	for _, target := range o.g.adoptAnnounced(candidates, addresses, answers) {
		o.g.questionTargets(target)
	}
	o.g.unresponsive.record(time.Now(), o.service, len(answers) > 0)
	return o.g.table.BeginProbed(candidates, answers)
}

// isConnected reports whether a connection to the target is idle.
func (g *Gateway) isConnected(target *fleet.Target) bool {
	return g.params.IsConnected != nil && g.params.IsConnected(target.Address)
}

// batcherAddress returns the peer address of the batcher beside the target.
func (g *Gateway) batcherAddress(target *fleet.Target) string {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		host = target.Address
	}
	return net.JoinHostPort(host, g.params.Node.PeerPort)
}
