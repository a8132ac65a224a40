// Package jobroute finds the route by which the items of an accepted job run.
//
// It is designed for processes that read the configuration and the work log apart from
// each other, so that either may be the newer one: during an outage a process may learn of
// a job long before the version that added the job's route. An absent route means that it
// was removed only in a version that is not older than the one by which the job was accepted.
//
// A job belongs to the route that accepted it, which the work log names. What other routes a
// later version has at the path of its submission does not matter as long as that one is in
// force.
package jobroute

import (
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// Standing is what a configuration says about a job's route.
type Standing int

// The standings.
const (
	// Undecided means that the configuration is older than the one by which the job was
	// accepted, or that there is none. It says nothing about the job.
	Undecided Standing = iota
	// InForce means that the job has a route.
	InForce
	// Removed means that the job had a route, and has none any more.
	Removed
)

// Find returns the route of the job in the configuration, and nil if it is not in force: the
// route by which the job was accepted or, if the configuration has no such route for jobs on
// the job's host, the one that accepts jobs at the path of its submission now.
func Find(c *fleet.Configuration, a *worklog.Accept) (*fleet.Route, Standing) {
	if c == nil || c.Version < a.ConfigVersion {
		return nil, Undecided
	}
	route := c.JobRoute(a.Job.Host, a.Route)
	if route == nil {
		route = c.MatchJobs(a.Job.Host, a.Path)
	}
	if route == nil {
		return nil, Removed
	}
	return route, InForce
}
