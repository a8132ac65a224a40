package gateway

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// probeTimeout bounds the check whether a target whose answer broke off has ended, and
	// probeRepeatDelay is the delay before a second check: a process that ends may lose its
	// connections first. maxProbes bounds the checks at the same time.
	probeTimeout     = 500 * time.Millisecond
	probeRepeatDelay = 200 * time.Millisecond
	maxProbes        = 64
)

// startProbes starts to check whether the targets of broken runs have ended. mu must be
// held.
func (g *Gateway) startProbes() {
	c := g.crashes
	for name, target := range c.unprobed {
		if len(c.probing) >= maxProbes {
			return
		}
		delete(c.unprobed, name)
		if g.params.HasEnded == nil || c.breaks.HasEnded(name) {
			continue
		}
		c.probing[name] = true
		g.tomb.Go(func() error {
			g.recordProbe(name, g.probe(target))
			return nil
		})
	}
}

// recordProbe records the result of the check whether an incarnation has ended.
func (g *Gateway) recordProbe(name string, ended bool) {
	c := g.crashes
	c.mu.Lock()
	delete(c.probing, name)
	if ended {
		c.breaks.MarkEnded(time.Now(), name)
	}
	c.mu.Unlock()
	if ended {
		g.detectCrashes()
	}
}

// probe checks twice whether the target has ended.
func (g *Gateway) probe(target *fleet.Target) bool {
	check := func() bool {
		ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		defer cancel()
		return g.params.HasEnded(ctx, target.Address)
	}
	if check() {
		return true
	}
	pause.For(g.ctx, probeRepeatDelay)
	return check()
}
