package gateway

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/coordination/starting"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// surveyPause is the pause between two questions to the batchers of a survey, and
	// surveyTimeout the wait for their answers. maxSurveyQueries bounds the batchers asked at
	// a time.
	surveyPause      = 50 * time.Millisecond
	surveyTimeout    = 15 * time.Millisecond
	maxSurveyQueries = 96
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

// adoptAnnounced replaces the candidates whose batcher names a later incarnation by that one.
// addresses holds the address that was asked for each candidate. It returns the candidates
// that were replaced.
func (g *Gateway) adoptAnnounced(candidates []*fleet.Target, addresses []string, answers []fleet.PeerLoad) (replaced []*fleet.Target) {
	for _, a := range answers {
		i := slices.Index(addresses, a.Address)
		if i < 0 || a.Address == "" {
			continue
		}
		announced := g.targets.Announce(candidates[i], registry.Announcement{ID: a.Target, StartUnixMillis: a.StartUnixMillis, Service: a.Service})
		if announced != nil {
			replaced = append(replaced, candidates[i])
			candidates[i] = announced
			g.metrics.announced.Inc()
		}
	}
	return replaced
}

// askBeside asks the batcher beside a target which incarnation runs there, because another one
// answered at its address. It starts a survey of the other targets.
func (g *Gateway) askBeside(ctx context.Context, target *fleet.Target) {
	if g.params.LoadQuerier == nil {
		return
	}
	g.questionTargets(target)
	addresses := []string{g.batcherAddress(target)}
	answers := g.params.LoadQuerier.QueryLoads(ctx, addresses, loadQueryTimeout)
	if len(answers) == 0 {
		return
	}
	g.survey.Answered(target)
	g.adoptAnnounced([]*fleet.Target{target}, addresses, answers)
}

// questionTargets starts a survey of the targets, because another incarnation answered at
// the address of one.
func (g *Gateway) questionTargets(target *fleet.Target) {
	if g.params.LoadQuerier == nil {
		return
	}
	g.survey.Question(time.Now(), target, g.targets.Current().Addresses)
	select {
	case g.surveyWake <- struct{}{}:
	default: // it is awake
	}
}

// runSurveys asks the batchers beside questioned targets which incarnations run there.
// Batchers that do not answer are asked again for a while: they may be starting as well.
func (g *Gateway) runSurveys() error {
	for {
		select {
		case <-g.surveyWake:
		case <-g.ctx.Done():
			return nil
		}
		for g.ctx.Err() == nil && g.surveyOnce() {
			pause.For(g.ctx, surveyPause)
		}
	}
}

// surveyOnce asks about a few targets. It returns false if there is none to ask about.
func (g *Gateway) surveyOnce() bool {
	targets := g.survey.Next(time.Now(), maxSurveyQueries)
	if len(targets) == 0 {
		return false
	}
	asked := map[string]*fleet.Target{}
	var addresses []string
	for _, target := range targets {
		address := g.batcherAddress(target)
		asked[address] = target
		addresses = append(addresses, address)
	}
	answers := g.params.LoadQuerier.QueryLoads(g.ctx, addresses, surveyTimeout)
	for _, a := range answers {
		if target := asked[a.Address]; target != nil {
			g.survey.Answered(target)
			g.unresponsive.record(time.Now(), target.Service, true)
		}
	}
	g.adoptAnnounced(targets, addresses, answers)
	return true
}
