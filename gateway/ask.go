package gateway

import (
	"context"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// askedTargets is how many targets a stream's gateway asks before it chooses.
	askedTargets = 3
	// askPatience bounds the wait for the answers: a few times the way there and
	// back between data centres, a small part of a stream's objective.
	askPatience = 12 * time.Millisecond
	// askAgain is how long a service is not asked whose targets do not answer.
	askAgain = time.Second
)

// LoadAsker asks the batchers beside targets for their loads.
type LoadAsker interface {
	// Ask returns the answers that come within the time.
	Ask(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad
	// Note tells that a request is about to be sent to the target there.
	Note(address string)
}

// silentServices are the services whose targets have not answered lately. Each stream
// looks there, and few are ever added.
type silentServices struct {
	// until holds when a service may be asked again. The map is replaced, never changed.
	until atomic.Pointer[map[string]time.Time]
}

func (s *silentServices) has(service string) bool {
	until := s.until.Load()
	return until != nil && time.Now().Before((*until)[service])
}

func (s *silentServices) add(service string) {
	for {
		old := s.until.Load()
		until := map[string]time.Time{}
		if old != nil {
			maps.Copy(until, *old)
		}
		until[service] = time.Now().Add(askAgain)
		if s.until.CompareAndSwap(old, &until) {
			return
		}
	}
}

// choose chooses the target of the next attempt. A stream's is the least loaded of
// a few that were asked; where nobody answers, what this gateway knows decides.
func (o *online) choose(ctx context.Context, targets []*fleet.Target) (balancing.Choice, bool) {
	if choice, found := o.ask(ctx, targets); found {
		o.g.params.Asker.Note(o.g.peerOf(choice.Target))
		return choice, true
	}
	return o.g.table.Begin(targets, o.tried)
}

// ask chooses by the answers of a few targets. It returns false where there are none.
func (o *online) ask(ctx context.Context, targets []*fleet.Target) (balancing.Choice, bool) {
	if o.g.params.Asker == nil || o.route.Kind != fleet.KindStream || o.g.silent.has(o.service) {
		return balancing.Choice{}, false
	}
	candidates := o.g.table.Candidates(targets, o.tried, askedTargets)
	if len(candidates) < 2 {
		return balancing.Choice{}, false
	}
	var addresses []string
	for _, target := range candidates {
		addresses = append(addresses, o.g.peerOf(target))
	}
	answers := o.g.params.Asker.Ask(ctx, addresses, askPatience)
	o.g.metrics.asked.WithLabelValues("answered").Add(float64(len(answers)))
	o.g.metrics.asked.WithLabelValues("silent").Add(float64(len(addresses) - len(answers)))
	if len(answers) == 0 {
		o.g.silent.add(o.service)
	}
	return o.g.table.BeginProbed(candidates, answers)
}

// peerOf returns the address of the batcher beside the target.
func (g *Gateway) peerOf(target *fleet.Target) string {
	host, _, err := net.SplitHostPort(target.Address)
	if err != nil {
		host = target.Address
	}
	return net.JoinHostPort(host, g.params.Node.PeerPort)
}
