package configcheck_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/configcheck"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// route returns a route without findings and applies the change to it.
func route(change func(*fleet.Route)) *fleet.Route {
	r := &fleet.Route{
		Name: "r", Host: "h", Prefix: "/r/", Kind: fleet.KindStream, Timeout: 5 * time.Second, LatencyObjective: 300 * time.Millisecond,
		MaxAttempts: 2, Services: []fleet.ServiceWeight{{Service: "s", Weight: 1}},
	}
	if change != nil {
		change(r)
	}
	return r
}

// jobs returns a route for jobs without findings and applies the change to it.
func jobs(change func(*fleet.Route)) *fleet.Route {
	return route(func(r *fleet.Route) {
		r.Name, r.Prefix, r.Kind, r.TokenQuota = "j", "/j/", fleet.KindBatch, 1000
		r.ResultDeadline, r.Retention = 18*time.Second, time.Minute
		change(r)
	})
}

func configuration(version int64, routes ...*fleet.Route) *configcheck.File {
	return file(fleet.NewConfiguration(version, routes, []*fleet.Service{{Name: "s", Slots: 8}}, fleet.Limits{BodyBytes: 4096}))
}

// file returns the configuration with the workspaces.
func file(c *fleet.Configuration, workspaces ...configcheck.Workspace) *configcheck.File {
	return &configcheck.File{Configuration: c, Workspaces: workspaces}
}

// withWorkspace returns a configuration without findings, with the workspace.
func withWorkspace(w configcheck.Workspace) *configcheck.File {
	return file(configuration(2, route(nil)).Configuration, w)
}

// TestFindings checks that each fault which an operator can make is found, alone, at the entry
// at which it stands, and whether something cannot work at all. Without that it shows only as
// refused requests once the configuration is in force.
func TestFindings(t *testing.T) {
	for kind, test := range map[configcheck.Kind]struct {
		in      configcheck.Input
		where   string
		isError bool
	}{
		configcheck.HiddenRoute: {configcheck.Input{Next: configuration(2, route(nil), route(func(r *fleet.Route) { r.Name = "second" }))}, "route second", true},
		configcheck.NoService: {configcheck.Input{Next: configuration(2, route(nil), route(func(r *fleet.Route) {
			r.Name, r.Prefix, r.Services = "none", "/n/", []fleet.ServiceWeight{{Service: "s"}}
		}))}, "route none", true},
		configcheck.UnknownService: {configcheck.Input{Next: configuration(2, route(func(r *fleet.Route) {
			r.Services = append(r.Services, fleet.ServiceWeight{Service: "other", Weight: 1})
		}))}, "route r", true},
		configcheck.ZeroWeight: {configcheck.Input{Next: configuration(2, route(func(r *fleet.Route) {
			r.Services = append(r.Services, fleet.ServiceWeight{Service: "s"})
		}))}, "route r", false},
		configcheck.UnusedService:         {configcheck.Input{Next: file(fleet.NewConfiguration(2, []*fleet.Route{route(nil)}, []*fleet.Service{{Name: "s"}, {Name: "spare"}}, fleet.Limits{}))}, "service spare", false},
		configcheck.TimeoutBelowObjective: {configcheck.Input{Next: configuration(2, route(func(r *fleet.Route) { r.Timeout = 200 * time.Millisecond }))}, "route r", false},
		configcheck.DueTooEarly:           {configcheck.Input{Next: configuration(2, jobs(func(r *fleet.Route) { r.ResultDeadline = 100 * time.Millisecond }))}, "route j", true},
		configcheck.RetentionBelowDue:     {configcheck.Input{Next: configuration(2, jobs(func(r *fleet.Route) { r.Retention = 10 * time.Second }))}, "route j", true},
		configcheck.QuotaBelowJob:         {configcheck.Input{Next: configuration(2, jobs(func(*fleet.Route) {})), JobTokens: 1001}, "route j", true},
		configcheck.TooManyAttempts:       {configcheck.Input{Next: configuration(2, route(nil)), Targets: map[string]int{"s": 1}}, "route r", false},
		configcheck.UnusableWorkspace: {configcheck.Input{Next: &configcheck.File{
			Configuration: configuration(2, route(nil)).Configuration, Faults: []configcheck.Fault{{Where: "workspace at position 3", Message: "another has its key"}},
		}}, "workspace at position 3", true},
		configcheck.WorkspaceWithoutKey: {configcheck.Input{Next: withWorkspace(configcheck.Workspace{Name: "w"})}, "workspace w", false},
		configcheck.BurstBelowRequest: {configcheck.Input{Next: withWorkspace(configcheck.Workspace{
			Name: "w", Keys: []fleet.Key{"k"}, Rate: fleet.Rate{PerSecond: 5, Burst: 0.5},
		})}, "workspace w", false},
		configcheck.VersionNotNewer: {configcheck.Input{Next: configuration(2, route(nil)), Current: configuration(2, route(nil))}, "version", true},
	} {
		t.Run(string(kind), func(t *testing.T) {
			found := configcheck.Check(test.in)
			assert.Equal(t, len(found), 1, "%+v", found)
			assert.Equal(t, found[0].Kind, kind)
			assert.Equal(t, found[0].Where, test.where)
			assert.Equal(t, found[0].Error, test.isError)
			assert.Equal(t, configcheck.HasError(found), test.isError)
			assert.Assert(t, found[0].Message != "")
		})
	}
}

// TestSoundConfigurationHasNoFindings checks a configuration in which nothing is wrong, with
// all that the check may be told. A check that cries wolf is not read.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	sound := configuration(3, route(nil), jobs(func(*fleet.Route) {}), route(func(r *fleet.Route) { r.Name, r.Prefix = "longer", "/r/longer/" }))
	in := configcheck.Input{Next: sound, Current: configuration(2, route(nil)), Targets: map[string]int{"s": 2}, JobTokens: 1000}
	assert.Equal(t, len(configcheck.Check(in)), 0, "%+v", configcheck.Check(in))
}

// TestChangesInOperatorsWords compares two versions. An operator who sends one must see what
// it moves before it is in force, and nothing that stays.
func TestChangesInOperatorsWords(t *testing.T) {
	current := configuration(1, route(nil), route(func(r *fleet.Route) { r.Name, r.Prefix = "old", "/old/" }))
	next := file(fleet.NewConfiguration(2, []*fleet.Route{
		route(func(r *fleet.Route) {
			r.Timeout, r.MaxAttempts = 3*time.Second, 1
			r.Services = []fleet.ServiceWeight{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}
		}),
		route(func(r *fleet.Route) { r.Name, r.Prefix = "new", "/new/" }),
	}, []*fleet.Service{{Name: "s", Slots: 6}, {Name: "t"}}, fleet.Limits{BodyBytes: 8192}))
	var lines []string
	for _, c := range configcheck.Compare(current, next) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"route old: removed (h/old/)",
		"route new: added (h/new/ to s)",
		"route r: services s -> s 9, t 1",
		"route r: time limit 5s -> 3s",
		"route r: attempts 2 -> 1",
		"service s: slots of a target 8 -> 6",
		"service t: added",
		"limits: bytes of a body 4096 -> 8192",
	})
	assert.Equal(t, len(configcheck.Compare(current, current)), 0)
}

// TestChangesOfWorkspaces compares two versions of workspaces. An operator who withdraws a key
// must see whose it is and how many, and no key may be printed.
func TestChangesOfWorkspaces(t *testing.T) {
	urgent := 0
	c := configuration(1, route(nil)).Configuration
	current := file(c, configcheck.Workspace{Name: "a", Keys: []fleet.Key{"secret-1", "secret-2"}}, configcheck.Workspace{Name: "b", Keys: []fleet.Key{"secret-3"}})
	next := file(c, configcheck.Workspace{Name: "a", Keys: []fleet.Key{"secret-2", "secret-4"}, Priority: &urgent, Rate: fleet.Rate{PerSecond: 5}}, configcheck.Workspace{Name: "c"})
	var lines []string
	for _, change := range configcheck.Compare(current, next) {
		lines = append(lines, change.String())
	}
	assert.DeepEqual(t, lines, []string{
		"workspace a: 1 keys withdrawn", "workspace a: 1 keys added", "workspace a: priority of the route -> 0", "workspace a: requests a second 0 -> 5",
		"workspace b: removed with 1 keys", "workspace c: added with 0 keys",
	})
}
