package gateway

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// maxWorkLogAge is the age of the last read of the work log up to which the gateway
	// answers that there are no more results, and waits for the store as long as the
	// call allows. It covers a few reads.
	maxWorkLogAge = 1500 * time.Millisecond
	// maxConfigurationAge is the age of the last read of the configuration up to which a
	// gateway tells callers that a route does not exist. It covers a few reads.
	maxConfigurationAge = 1500 * time.Millisecond
	// maxStoreSilence is how long the store may be unresponsive before callers should
	// use other gateways. It covers one lost read and its retry.
	maxStoreSilence = 2 * time.Second
	// unresponsiveStoreTimeout bounds the wait for a store that is unresponsive: a small
	// part of the time within which callers want a job accepted.
	unresponsiveStoreTimeout = 50 * time.Millisecond
	// otherGatewayRetryAfter is the delay after which the caller of a refused job should
	// retry if this gateway cannot reach the store: another gateway may reach it.
	otherGatewayRetryAfter = 100 * time.Millisecond
)

// isWorkLogStale reports whether the work log has been read at least once, and its last
// read is older than limit.
func (g *Gateway) isWorkLogStale(limit time.Duration) bool {
	age, known := g.workTail.Age()
	return known && age > limit
}

// isConfigurationStale reports whether there may be a newer configuration that takes effect
// now and that this gateway cannot read.
func (g *Gateway) isConfigurationStale() bool {
	age, known := g.configTail.Age()
	return !known || age > maxConfigurationAge
}

// checkStoreReachable returns ErrRefused if the work log is stale and the store does not
// answer within unresponsiveStoreTimeout, so that the caller does not wait here: another
// gateway may reach the store.
func (g *Gateway) checkStoreReachable(ctx context.Context) error {
	if !g.isWorkLogStale(maxWorkLogAge) {
		return nil
	}
	return g.catchUp(ctx)
}

// catchUp reads the work log to its end. If the work log is stale it waits no longer than
// unresponsiveStoreTimeout. A failure is returned as ErrRefused.
func (g *Gateway) catchUp(ctx context.Context) error {
	retryAfter := jobRetryAfter
	if g.isWorkLogStale(maxWorkLogAge) {
		retryAfter = otherGatewayRetryAfter
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, unresponsiveStoreTimeout)
		defer cancel()
	}
	if err := g.workTail.CatchUp(ctx); err != nil {
		age, _ := g.workTail.Age()
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "the work log was last read %v ago", age), retryAfter)
	}
	return nil
}
