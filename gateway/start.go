package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/starting"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// awaitConfiguration returns once the gateway has read its configuration and its targets for
// the first time. Right after the start a request waits for that for a short time; it fails
// with ErrRefused if it must not wait, or has waited in vain.
func (g *Gateway) awaitConfiguration(ctx context.Context) error {
	if g.isStarted() {
		return nil
	}
	arrived := time.Now()
	deadline, _ := ctx.Deadline()
	wait := g.gate.Enter(starting.Arrival{
		Now: arrived, Deadline: deadline, StoreFails: g.configTail.IsFailing() || g.targetTail.IsFailing(),
	})
	if wait <= 0 {
		return g.refuseAtStart("refused")
	}
	defer g.gate.Leave()
	leave, err := g.trackRequest(wait)
	if err != nil {
		return err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ctx, ended := g.untilStop(ctx)
	defer ended()
	started := g.awaitFirstReads(ctx)
	g.metrics.startWaitSeconds.Observe(time.Since(arrived).Seconds())
	if !started {
		return g.refuseAtStart("expired")
	}
	g.metrics.startWaits.WithLabelValues("served").Inc()
	return nil
}

// refuseAtStart counts and returns the refusal of a request before the first reads.
func (g *Gateway) refuseAtStart(result string) error {
	g.metrics.startWaits.WithLabelValues(result).Inc()
	return fleet.WithRetryAfter(fleet.ErrRefused.New("no configuration and targets have been read yet"), g.gate.RetryAfter())
}

// awaitFirstReads waits for the first reads of configuration and targets. It returns false
// if ctx ends before.
func (g *Gateway) awaitFirstReads(ctx context.Context) bool {
	for _, read := range []<-chan struct{}{g.configTail.FirstRead(), g.targetTail.FirstRead()} {
		select {
		case <-read:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// isStarted reports whether configuration and targets have been read.
func (g *Gateway) isStarted() bool {
	for _, read := range []<-chan struct{}{g.configTail.FirstRead(), g.targetTail.FirstRead()} {
		select {
		case <-read:
		default:
			return false
		}
	}
	return true
}

// logFirstReads logs when the gateway can serve.
func (g *Gateway) logFirstReads() error {
	begun := time.Now()
	if !g.awaitFirstReads(g.ctx) {
		return nil
	}
	took := time.Since(begun)
	g.metrics.startSeconds.Set(took.Seconds())
	targets := 0
	for _, list := range g.targets.Current().Services {
		targets += len(list)
	}
	klog.InfoS("gateway can serve", "version", g.configVersion(), "targets", targets, "took", took, "requests_waiting", g.gate.Waiting())
	return nil
}

// ejectReplaced ejects the targets whose batcher names another incarnation.
func (g *Gateway) ejectReplaced(candidates []*fleet.Target, addresses []string, answers []fleet.PeerLoad) {
	for _, target := range g.table.EjectReplaced(candidates, addresses, answers) {
		g.metrics.replaced.Inc()
		klog.InfoS("target ejected", "target", target.ID, "reason", "its batcher names another lifetime")
	}
}
