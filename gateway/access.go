package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/access"
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

// elsewhereRetryAfter is the delay after which a caller should retry whose request is
// refused because this gateway has not read the configuration lately: another gateway may
// have.
const elsewhereRetryAfter = 50 * time.Millisecond

// configView returns what this gateway knows of the configuration.
func (g *Gateway) configView() access.View {
	age, known := g.configTail.Age()
	return access.View{Known: known, Age: age, RevocationTimeout: g.params.Node.RevocationTimeout}
}

// mayInviteKeys reports whether callers with a key may connect, as far as the configuration
// has workspaces.
func (g *Gateway) mayInviteKeys() bool {
	c := g.configs.Current()
	return c == nil || c.Keyring == nil || g.configView().MayInviteKeys()
}

// Authorize implements fleet.CallerAPI.
func (g *Gateway) Authorize(ctx context.Context, host string, key fleet.Key) (*fleet.Workspace, error) {
	c := g.configs.Current()
	if c == nil {
		return nil, newRefusal("no configuration has been read yet")
	}
	return g.authorize(ctx, c, c.HasAnonymousBatchRoute(host), key, nil)
}

// authorize returns the workspace that holds the key according to the configuration: nil
// if that has no workspaces, and fleet.Anonymous if no key is needed and the caller has none
// that a workspace holds. before is the workspace for which the request was admitted, nil if
// it is judged for the first time. authorize fails with ErrNoAccess, and with ErrRefused if
// this gateway cannot tell.
func (g *Gateway) authorize(ctx context.Context, c *fleet.Configuration, anonymous bool, key fleet.Key, before *fleet.Workspace) (*fleet.Workspace, error) {
	if c.Keyring == nil {
		return nil, nil
	}
	workspace := c.Keyring.Workspace(key)
	if before == nil && workspace == nil {
		before = g.workspaceBefore(key)
	}
	view := g.configView()
	verdict := access.Decide(view, access.Credentials{Required: !anonymous, Held: workspace != nil, HeldBefore: before != nil})
	switch verdict {
	case access.Serve:
		return workspace, nil
	case access.Anonymous:
		return fleet.Anonymous, nil
	}
	if workspace == nil {
		workspace = before
	}
	g.metrics.accessRefusals.WithLabelValues(verdict.String()).Inc()
	klog.InfoS("access refused", "request", fleet.RequestIDOf(ctx), "reason", verdict.String(), "workspace", fleet.NameOf(workspace), "key_given", key != "",
		"version", c.Version, "age", view.Age, "age_known", view.Known)
	return nil, newAccessError(verdict, c.Version, view.Age)
}

// newAccessError returns the error of a verdict that is a refusal.
func newAccessError(verdict access.Verdict, version int64, age time.Duration) error {
	switch verdict {
	case access.UnknownKey:
		return fleet.ErrKeyUnknown.New("unknown by configuration version %d", version)
	case access.Revoked:
		return fleet.ErrKeyRevoked.New("removed by configuration version %d", version)
	default:
		return fleet.WithRetryAfter(fleet.ErrConfigurationTooOld.New("version %d was read %v ago", version, age), elsewhereRetryAfter)
	}
}

// workspaceBefore returns the workspace that held the key in the configuration before the one
// in force, nil if there is none.
func (g *Gateway) workspaceBefore(key fleet.Key) *fleet.Workspace {
	if c := g.configs.Before(); c != nil {
		return c.Keyring.Workspace(key)
	}
	return nil
}

// checkAccess judges the request's key by the configuration now in force, before each
// attempt: the key may have been removed while the request waited or ran elsewhere. A
// request that may have run is given up with its true outcome.
func (o *onlineRequest) checkAccess(ctx context.Context) error {
	workspace, err := o.currentWorkspace(ctx)
	if err == nil {
		o.request.Workspace = workspace
		return nil
	}
	o.reason = "no access any more"
	if o.possibleRuns > 0 || o.answerBegun {
		return fleet.ErrOutcomeUnknown.Wrap(err, "the request's key is not served any more")
	}
	return err
}

// currentWorkspace returns the workspace that holds the request's key now.
func (o *onlineRequest) currentWorkspace(ctx context.Context) (*fleet.Workspace, error) {
	c, before := o.g.configs.Current(), o.request.Workspace
	if c == nil || c.Keyring == nil {
		return before, nil
	}
	if before != nil && before.IsAnonymous() {
		before = nil
	}
	return o.g.authorize(ctx, c, o.route.Anonymous, o.request.Key, before)
}
