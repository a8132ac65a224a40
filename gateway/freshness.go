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

// checkStoreReachable returns ErrRefused if this gateway cannot judge calls about jobs: it
// has not read the work log yet, which may take seconds when many processes start
// together, or the log is stale and the store does not answer within
// unresponsiveStoreTimeout. The caller does not wait here: another gateway may reach the
// store.
func (g *Gateway) checkStoreReachable(ctx context.Context) error {
	age, known := g.workTail.Age()
	if !known {
		return fleet.WithRetryAfter(fleet.ErrRefused.New("the work log has not been read yet"), jobRetryAfter)
	}
	if age <= maxWorkLogAge {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, unresponsiveStoreTimeout)
	defer cancel()
	if err := g.workTail.CatchUp(ctx); err != nil {
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "the work log was last read %v ago", age), otherGatewayRetryAfter)
	}
	return nil
}

// catchUp reads the work log to its end. A failure is returned as ErrRefused.
func (g *Gateway) catchUp(ctx context.Context) error {
	if err := g.checkStoreReachable(ctx); err != nil {
		return err
	}
	if err := g.workTail.CatchUp(ctx); err != nil {
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "the work log cannot be read"), jobRetryAfter)
	}
	return nil
}
