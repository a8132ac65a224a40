package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Change is one difference between the configuration in force and the next one. Where names
// the entry and What its property. Before and After are its values, empty for an entry or a
// key that was added or removed.
type Change struct {
	Where  string `json:"where"`
	What   string `json:"what"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Before == "" && c.After == "":
		return c.Where + ": " + c.What
	default:
		return fmt.Sprintf("%s: %s %s -> %s", c.Where, c.What, c.Before, c.After)
	}
}

// Compare returns what differs in the next configuration, entries being the same if they have
// the same name: routes (gone, new, then changed ones), services, workspaces and limits.
func Compare(current, next *File) []Change {
	changes := compareAllRoutes(current.Configuration, next.Configuration)
	changes = append(changes, compareServices(current.Configuration, next.Configuration)...)
	changes = append(changes, compareWorkspaces(current, next)...)
	return append(changes, compareLimits(current.Limits, next.Limits)...)
}

// compareAllRoutes returns what differs between the routes.
func compareAllRoutes(current, next *fleet.Configuration) []Change {
	before, after := routesByName(current), routesByName(next)
	var gone, added, changed []Change
	for _, r := range routesOf(current) {
		if after[r.Name] == nil {
			gone = append(gone, Change{Where: whereRoute(r), What: "removed (" + r.Host + r.Prefix + ")"})
		}
	}
	for _, r := range routesOf(next) {
		if old := before[r.Name]; old != nil {
			changed = append(changed, compareRoutes(old, r)...)
			continue
		}
		added = append(added, Change{Where: whereRoute(r), What: "added (" + r.Host + r.Prefix + " to " + describeServices(r) + ")"})
	}
	return slices.Concat(gone, added, changed)
}

// routesOf returns the routes, ordered by host; those of one host are in the order of the
// configuration.
func routesOf(c *fleet.Configuration) []*fleet.Route {
	var routes []*fleet.Route
	c.Routes(func(r *fleet.Route) { routes = append(routes, r) })
	slices.SortStableFunc(routes, func(a, b *fleet.Route) int { return strings.Compare(a.Host, b.Host) })
	return routes
}

func routesByName(c *fleet.Configuration) map[string]*fleet.Route {
	routes := map[string]*fleet.Route{}
	for _, r := range routesOf(c) {
		routes[r.Name] = r
	}
	return routes
}

// kindNames are the kinds of routes in operators' words.
var kindNames = map[fleet.Kind]string{
	fleet.KindUnsafe: "runs once at most", fleet.KindSafe: "may run again", fleet.KindStream: "stream", fleet.KindBatch: "jobs",
}

// compareRoutes returns what differs between two versions of a route.
func compareRoutes(old, r *fleet.Route) []Change {
	var changes []Change
	note := func(what string, before, after any) {
		if before != after {
			changes = append(changes, Change{whereRoute(r), what, fmt.Sprint(before), fmt.Sprint(after)})
		}
	}
	note("address", old.Host+old.Prefix, r.Host+r.Prefix)
	note("services", describeServices(old), describeServices(r))
	note("kind", kindNames[old.Kind], kindNames[r.Kind])
	note("time limit", old.Timeout, r.Timeout)
	note("objective", old.LatencyObjective, r.LatencyObjective)
	note("longest pause between events", old.MaxEventGap, r.MaxEventGap)
	note("priority", old.Priority, r.Priority)
	note("attempts", old.MaxAttempts, r.MaxAttempts)
	note("streams may be resumed", old.Resumable, r.Resumable)
	note("requests need a key", !old.Anonymous, !r.Anonymous)
	note("quota of waiting tokens", old.TokenQuota, r.TokenQuota)
	note("results due after", old.ResultDeadline, r.ResultDeadline)
	note("items given up after", old.Retention, r.Retention)
	return changes
}

// describeServices returns the route's services with their weights.
func describeServices(r *fleet.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	var parts []string
	for _, s := range r.Services {
		parts = append(parts, fmt.Sprintf("%s %v", s.Service, s.Weight))
	}
	return strings.Join(parts, ", ")
}

func compareServices(current, next *fleet.Configuration) []Change {
	var changes []Change
	for name, old := range current.Services {
		where := "service " + name
		s := next.Services[name]
		if s == nil {
			changes = append(changes, Change{Where: where, What: "removed"})
			continue
		}
		note := func(what string, before, after any) {
			if before != after {
				changes = append(changes, Change{where, what, fmt.Sprint(before), fmt.Sprint(after)})
			}
		}
		note("health path", old.HealthPath, s.HealthPath)
		note("connections of a target", old.ConnectionLimit, s.ConnectionLimit)
		note("slots of a target", old.Slots, s.Slots)
	}
	for name := range next.Services {
		if current.Services[name] == nil {
			changes = append(changes, Change{Where: "service " + name, What: "added"})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Where, b.Where) })
	return changes
}

func compareLimits(old, limits fleet.Limits) []Change {
	var changes []Change
	note := func(what string, before, after any) {
		if before != after {
			changes = append(changes, Change{"limits", what, fmt.Sprint(before), fmt.Sprint(after)})
		}
	}
	note("bytes of a header", old.HeaderBytes, limits.HeaderBytes)
	note("bytes of a body", old.BodyBytes, limits.BodyBytes)
	note("time for a header", old.HeaderTimeout, limits.HeaderTimeout)
	note("idle time of a connection", old.IdleTimeout, limits.IdleTimeout)
	return changes
}
