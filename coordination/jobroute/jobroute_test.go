package jobroute_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/jobroute"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestOlderConfigurationDecidesNothing covers a process that knows a job but not yet the
// version by which it was accepted. Whether that older version lacks the route or has a
// wider one at its path, it must not decide about the job.
func TestOlderConfigurationDecidesNothing(t *testing.T) {
	batch := func(name, prefix string) *fleet.Route {
		return &fleet.Route{Name: name, Host: "h", Prefix: prefix, Kind: fleet.KindBatch}
	}
	version := func(v int64, routes ...*fleet.Route) *fleet.Configuration {
		return fleet.NewConfiguration(v, routes, nil, fleet.Limits{})
	}
	for name, c := range map[string]struct {
		config   *fleet.Configuration
		accepted int64
		route    string
		standing jobroute.Standing
	}{
		"no configuration":          {nil, 2, "", jobroute.Undecided},
		"older without the route":   {version(1), 2, "", jobroute.Undecided},
		"older with a wider route":  {version(1, batch("wide", "/")), 2, "", jobroute.Undecided},
		"the same":                  {version(2, batch("wide", "/"), batch("jobs", "/j/")), 2, "jobs", jobroute.InForce},
		"newer":                     {version(3, batch("jobs", "/j/")), 2, "jobs", jobroute.InForce},
		"newer without the route":   {version(3), 2, "", jobroute.Removed},
		"newer without batch route": {version(3, &fleet.Route{Host: "h", Prefix: "/j/", Kind: fleet.KindSafe}), 2, "", jobroute.Removed},
		"version not recorded":      {version(1, batch("jobs", "/j/")), 0, "jobs", jobroute.InForce},
	} {
		a := &worklog.Accept{Job: fleet.Job{ID: "j", Host: "h"}, Path: "/j/1", ConfigVersion: c.accepted}
		route, standing := jobroute.Find(c.config, a)
		assert.Equal(t, standing, c.standing, name)
		assert.Equal(t, route != nil, standing == jobroute.InForce, name)
		if route != nil {
			assert.Equal(t, route.Name, c.route, name)
		}
	}
}

// TestJobKeepsTheRouteThatAcceptedIt guards against items that are given up, or run by another
// service, because a later version has another route at the path of their submission: a longer
// one for jobs or for online requests, while their own is in force, moved to another prefix, or
// renamed.
func TestJobKeepsTheRouteThatAcceptedIt(t *testing.T) {
	route := func(name, prefix string, kind fleet.Kind) *fleet.Route {
		return &fleet.Route{Name: name, Host: "h", Prefix: prefix, Kind: kind}
	}
	own := route("jobs", "/j/", fleet.KindBatch)
	for name, c := range map[string]struct {
		routes   []*fleet.Route
		route    string
		standing jobroute.Standing
	}{
		"a longer online route":              {[]*fleet.Route{own, route("desk", "/j/night/", fleet.KindStream)}, "jobs", jobroute.InForce},
		"a longer route for jobs":            {[]*fleet.Route{own, route("night", "/j/night/", fleet.KindBatch)}, "jobs", jobroute.InForce},
		"a shorter prefix":                   {[]*fleet.Route{route("jobs", "/", fleet.KindBatch), route("night", "/j/", fleet.KindBatch)}, "jobs", jobroute.InForce},
		"another prefix":                     {[]*fleet.Route{route("jobs", "/moved/", fleet.KindBatch), route("desk", "/j/", fleet.KindStream)}, "jobs", jobroute.InForce},
		"another name":                       {[]*fleet.Route{route("renamed", "/j/", fleet.KindBatch), route("desk", "/j/night/", fleet.KindStream)}, "renamed", jobroute.InForce},
		"another kind":                       {[]*fleet.Route{route("jobs", "/j/", fleet.KindStream)}, "", jobroute.Removed},
		"another kind beside a wider route":  {[]*fleet.Route{route("jobs", "/j/", fleet.KindStream), route("wide", "/", fleet.KindBatch)}, "wide", jobroute.InForce},
		"removed beside a longer one":        {[]*fleet.Route{route("desk", "/j/night/", fleet.KindStream)}, "", jobroute.Removed},
		"its name at a host of other routes": {[]*fleet.Route{{Name: "jobs", Host: "elsewhere", Prefix: "/j/", Kind: fleet.KindBatch}}, "", jobroute.Removed},
	} {
		a := &worklog.Accept{Job: fleet.Job{ID: "j", Host: "h"}, Route: "jobs", Path: "/j/night/1", ConfigVersion: 1}
		found, standing := jobroute.Find(fleet.NewConfiguration(2, c.routes, nil, fleet.Limits{}), a)
		assert.Equal(t, standing, c.standing, name)
		if found != nil {
			assert.Equal(t, found.Name, c.route, name)
		}
	}
}
