package gateway

import (
	"context"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// RateLimiter admits online requests of workspaces, at all gateways together. It is safe
// for concurrent use.
type RateLimiter interface {
	// Admit counts a request against the workspace's rate. It fails with
	// fleet.ErrQuotaExceeded, which tells when the caller's turn comes, if the rate is used
	// up, and with fleet.ErrRefused if that cannot be told.
	Admit(ctx context.Context, workspace *fleet.Workspace) (Admission, error)
	// Return gives back what an admitted request has taken that was refused afterwards and
	// has not run.
	Return(a Admission)
}

// Admission identifies what one request has taken of its workspace's rate.
type Admission struct {
	Workspace string
	ID        uint64
}

// authorize returns the workspace that holds the key according to the configuration.
func (g *Gateway) authorize(c *fleet.Configuration, route *fleet.Route, key fleet.Key) (*fleet.Workspace, error) {
	if c.Keyring == nil || route.Anonymous {
		return nil, nil
	}
	if workspace := c.Keyring.Workspace(key); workspace != nil {
		return workspace, nil
	}
	return nil, fleet.ErrNoAccess.New("no workspace of configuration version %d holds the key", c.Version)
}
