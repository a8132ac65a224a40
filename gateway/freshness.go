package gateway

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// maxWorkLogAge is the age of the last read of the work log up to which the gateway
	// waits for the store as long as the call allows. It covers a few reads.
	maxWorkLogAge = 1500 * time.Millisecond
	// maxAbsenceAge is the age of the last read of the work log up to which the gateway
	// answers that there are no more results. It is less than the second after which callers
	// may ask any gateway for a result that another one has shown.
	maxAbsenceAge = 800 * time.Millisecond
	// absenceReadTimeout bounds the wait for a read of the work log by a call that would
	// otherwise be refused. Callers of results wait longer than this.
	absenceReadTimeout = 500 * time.Millisecond
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

// checkAbsence returns nil if what this gateway does not know of a job did not exist
// maxAbsenceAge ago. It reads the work log if that is necessary, and returns ErrRefused if the
// store does not answer in time.
func (g *Gateway) checkAbsence(ctx context.Context) error {
	if err := g.checkStoreReachable(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, absenceReadTimeout)
	defer cancel()
	if err := g.workTail.CatchUpWithin(ctx, maxAbsenceAge); err != nil {
		return fleet.WithRetryAfter(fleet.ErrRefused.Wrap(err, "the work log is too old to tell what is not in it"), otherGatewayRetryAfter)
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
