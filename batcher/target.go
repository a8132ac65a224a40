package batcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/beside"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// minLookupDelay and maxLookupDelay bound the delay between two reads of the registry for a
	// target that is not registered yet, or while the store does not answer.
	minLookupDelay = 200 * time.Millisecond
	maxLookupDelay = 2 * time.Second
	// minConfirmDelay and maxConfirmDelay bound the delay of the first read if the service is
	// known without it. The delay is random, since all batchers may have started at the same
	// moment, and each read costs the store a page of the registry. It is short, since what is
	// known without the registry may be wrong.
	minConfirmDelay = time.Second
	maxConfirmDelay = 5 * time.Second
)

// serviceLookup is the state of the reads of the registry for the target's service.
type serviceLookup struct {
	// unidentified counts the questions for the target's ID that failed since the last one that
	// did not. pollTarget only uses it.
	unidentified int
	inProgress   bool
	// hasBegun is set once the first target has answered.
	hasBegun bool
	// notBefore is the earliest time of the next read, and confirmAfter that of a read while the
	// service is known without it.
	notBefore    time.Time
	confirmAfter time.Time
	backoff      pause.Backoff
}

// pollTarget polls the target's state periodically and adjusts the items that run there.
func (b *Batcher) pollTarget() error {
	ctx := b.ctx
	for ctx.Err() == nil {
		state, err := b.readTargetState(ctx)
		b.lookUpService(ctx)
		b.adjustItems(ctx, state, err)
		pause.For(ctx, pollInterval)
	}
	return nil
}

// readTargetState returns the target's state. If the target reports no ID, the state has
// the ID known before, or the one that the target tells at a health path.
func (b *Batcher) readTargetState(ctx context.Context) (fleet.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	answer := beside.Answer{AskedAt: b.params.Now()}
	state, err := b.params.Reporter.Report(ctx, b.params.Node.TargetAddress)
	if err != nil {
		b.noteNoAnswer()
		return state, err
	}
	answer.At = b.params.Now()
	b.confirmSettings()
	b.mu.Lock()
	known, born := b.targetID, b.targetBorn
	b.mu.Unlock()
	answer.ID = state.ID
	if state.ID == "" && state.StartUnixMillis == born {
		state.ID = known
		if born != 0 {
			answer.ID = known
		}
	}
	b.noteAnswer(answer)
	paths := b.healthPaths()
	if state.ID != "" || len(paths) == 0 {
		return state, nil
	}
	answer = beside.Answer{AskedAt: b.params.Now()}
	answer.ID, err = b.params.Reporter.Identify(ctx, b.params.Node.TargetAddress, paths[b.lookup.unidentified%len(paths)])
	if err != nil {
		b.lookup.unidentified++
		return state, err
	}
	b.lookup.unidentified = 0
	answer.At = b.params.Now()
	b.noteAnswer(answer)
	state.ID = answer.ID
	return state, nil
}

// healthPaths returns the health paths of all services: that of the target's service first, or of
// the one in the settings, which may be older than the target.
func (b *Batcher) healthPaths() []string {
	config := b.configs.Current()
	if config == nil {
		return nil
	}
	b.mu.Lock()
	own := config.Services[b.identity.Service(b.targetID)]
	b.mu.Unlock()
	if own == nil {
		own = config.Services[b.params.Node.Service]
	}
	var paths []string
	for _, service := range config.Services {
		if own == nil || service.HealthPath != own.HealthPath {
			paths = append(paths, service.HealthPath)
		}
	}
	slices.Sort(paths)
	if own != nil {
		paths = append([]string{own.HealthPath}, paths...)
	}
	return slices.Compact(paths)
}

// noteAnswer notes an answer of the target.
func (b *Batcher) noteAnswer(a beside.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.identity.Answered(a) {
		return
	}
	now := time.Now()
	b.lookup.backoff.Reset()
	b.lookup.notBefore = now
	if !b.lookup.hasBegun { // all batchers may have started at the same moment
		b.lookup.hasBegun = true
		b.lookup.notBefore = now.Add(rand.N(minLookupDelay))
	}
	b.lookup.confirmAfter = now.Add(minConfirmDelay + rand.N(maxConfirmDelay-minConfirmDelay))
}

// noteNoAnswer notes that the target did not answer.
func (b *Batcher) noteNoAnswer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.identity.NotAnswered()
}

// confirmSettings reads the settings again once the target has answered, if its service is to be
// taken from them. They may have changed between the start of this process and the answer.
func (b *Batcher) confirmSettings() {
	b.mu.Lock()
	goesBySettings := b.identity.GoesBySettings()
	b.mu.Unlock()
	if !goesBySettings || b.params.ReadSettings == nil {
		return
	}
	node, err := b.params.ReadSettings()
	if err != nil {
		klog.InfoS("settings not read again", "error", protocol.CauseOf(err))
		node = &fleet.Node{}
	}
	b.Reload(node)
}

// Reload applies changed settings. The service in them says nothing of a target that was there
// before.
func (b *Batcher) Reload(next *fleet.Node) {
	if next.Service == b.params.Node.Service {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.identity.SettingsChanged()
}

// targetService returns the service that the target belongs to, empty if it is not known. mu must
// be held.
func (b *Batcher) targetService() string { return b.identity.Service(b.targetID) }

// service returns the configuration of the target's service, nil if there is none. mu must be
// held.
func (b *Batcher) service() *fleet.Service {
	c := b.configs.Current()
	if c == nil {
		return nil
	}
	return c.Services[b.targetService()]
}

// releaseUnserved releases the items once the target's service has not been known for
// targetLostTimeout: others can run them meanwhile. mu must be held.
func (b *Batcher) releaseUnserved(now time.Time) {
	if now.Sub(b.usableAt) > targetLostTimeout {
		b.releaseAll("the target's service is not known")
	}
}

// lookUpService starts to read the service of the target from the registry, unless that has named
// it or the next read is not due yet.
func (b *Batcher) lookUpService(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.identity.Unregistered()
	now := time.Now()
	if id == "" || b.lookup.inProgress || now.Before(b.lookup.notBefore) {
		return
	}
	if b.identity.Service(id) != "" && now.Before(b.lookup.confirmAfter) {
		return
	}
	b.lookup.inProgress = true
	b.tomb.Go(func() error {
		b.readService(ctx, id)
		return nil
	})
}

// readService reads the entry of the target with the ID from the registry.
func (b *Batcher) readService(ctx context.Context, id string) {
	page, err := b.params.Store.NewestAfter(ctx, fleet.TopicTargets, fleet.KeyBefore(id))
	service := b.registeredService(page.Records, id)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lookup.inProgress = false
	if service == "" {
		b.lookup.notBefore = time.Now().Add(b.lookup.backoff.Next())
		klog.V(1).InfoS("service of the target not known", "target", id, "error", protocol.CauseOf(err))
		return
	}
	klog.InfoS("service of the target known", "target", id, "service", service)
	b.identity.Registered(id, service)
}

// registeredService returns the service of the target's entry among the records, empty if there is
// no such entry.
func (b *Batcher) registeredService(records []fleet.Record, id string) string {
	for _, r := range records {
		if r.Key != id {
			continue
		}
		if target, err := b.params.Decoder.Target(r); err == nil && target != nil {
			return target.Service
		}
	}
	return ""
}
