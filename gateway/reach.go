package gateway

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// maxWorkAge is how old the knowledge of the work log may be for an answer
	// that there are no more results, and for waiting for the store: a few reads of it.
	maxWorkAge = 1500 * time.Millisecond
	// maxCutOff is how long the store may not answer until callers should go elsewhere:
	// a read that is lost and one that replaces it.
	maxCutOff = 2 * time.Second
	// reachPatience bounds the wait for a store that has not answered for a while:
	// a small part of the time in which callers want a job accepted.
	reachPatience = 50 * time.Millisecond
	// elsewhereRetryAfter is when the caller of a refused job should come back where
	// this gateway is cut from the store: another one may not be.
	elsewhereRetryAfter = 100 * time.Millisecond
)

// unread reports whether the work log was read once, and not for longer than limit.
func (g *Gateway) unread(limit time.Duration) bool {
	age, known := g.workTail.Age()
	return known && age > limit
}

// checkReach fails with ErrRefused where the store has not answered for a while and
// does not at once, so that a caller does not wait for it here: another gateway may
// reach it.
func (g *Gateway) checkReach(ctx context.Context) error {
	if !g.unread(maxWorkAge) {
		return nil
	}
	return g.catchUp(ctx)
}

// catchUp reads the work log to its end, with little patience for a store that has
// not answered for a while. It fails with ErrRefused.
func (g *Gateway) catchUp(ctx context.Context) error {
	retryAfter := jobRetryAfter
	if g.unread(maxWorkAge) {
		retryAfter = elsewhereRetryAfter
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, reachPatience)
		defer cancel()
	}
	if err := g.workTail.CatchUp(ctx); err != nil {
		age, _ := g.workTail.Age()
		return fleet.RetryAfter(fleet.ErrRefused.Wrap(err, "the work log was last read %v ago", age), retryAfter)
	}
	return nil
}
