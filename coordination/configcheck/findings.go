// Package configcheck checks a configuration before it is sent to the operators' store, and
// says in which way it differs from the one in force.
//
// The check reads the configuration that gateways would put into force, so that nothing is
// judged by another reading of the file. It has no effect on them: a configuration with
// findings is served as far as it can be.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Kind names a kind of finding.
type Kind string

// The kinds of findings.
const (
	// HiddenRoute is a route whose host and prefix another route before it has.
	HiddenRoute Kind = "hidden_route"
	// NoService is a route that sends requests to no service.
	NoService Kind = "no_service"
	// UnknownService is a service that a route names and that does not exist.
	UnknownService Kind = "unknown_service"
	// ZeroWeight is a share of a route that gets no requests.
	ZeroWeight Kind = "zero_weight"
	// UnusedService is a service that no route names.
	UnusedService Kind = "unused_service"
	// TimeoutBelowObjective is a route whose requests end before their objective.
	TimeoutBelowObjective Kind = "timeout_below_objective"
	// DueTooEarly is a route for jobs whose results are due before an item can be ready.
	DueTooEarly Kind = "due_too_early"
	// RetentionBelowDue is a route for jobs whose items are given up before they are due.
	RetentionBelowDue Kind = "retention_below_due"
	// QuotaBelowJob is a route for jobs whose quota one job already exceeds.
	QuotaBelowJob Kind = "quota_below_job"
	// TooManyAttempts is a route whose requests may run at more targets than there are.
	TooManyAttempts Kind = "too_many_attempts"
	// VersionNotNewer is a configuration that gateways ignore, since they know a newer one.
	VersionNotNewer Kind = "version_not_newer"
)

// Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// Error is set if something cannot work at all; otherwise it works in part, or not as
	// it seems.
	Error bool `json:"error"`
	// Where names the entry.
	Where   string `json:"where"`
	Message string `json:"message"`
}

// Input is what a check reads.
type Input struct {
	Next *File
	// Current is the configuration in force, nil if it is not known.
	Current *File
	// Targets holds the numbers of targets by service, as far as they are known.
	Targets map[string]int
	// JobTokens is the number of tokens of the largest job to be expected, 0 if it is not
	// known.
	JobTokens int64
}

// Check returns the findings, those of one route together.
func Check(in Input) []Finding {
	var found []Finding
	if in.Current != nil && in.Next.Version <= in.Current.Version {
		found = append(found, Finding{
			VersionNotNewer, true, "version",
			fmt.Sprintf("version %d is not newer than version %d in force: gateways ignore it", in.Next.Version, in.Current.Version),
		})
	}
	first := map[string]*fleet.Route{}
	named := map[string]bool{}
	for _, r := range routesOf(in.Next.Configuration) {
		address := r.Host + " " + r.Prefix
		if other := first[address]; other != nil {
			found = append(found, Finding{
				HiddenRoute, true, whereRoute(r),
				fmt.Sprintf("never matches: route %s has the same host %s and prefix %s", other.Name, r.Host, r.Prefix),
			})
		} else {
			first[address] = r
		}
		for _, s := range r.Services {
			named[s.Service] = true
		}
		found = append(found, checkServices(in, r)...)
		found = append(found, checkLimits(r, in.JobTokens)...)
	}
	found = append(found, unusedServices(in.Next.Configuration, named)...)
	return append(found, checkWorkspaces(in.Next)...)
}

func whereRoute(r *fleet.Route) string { return "route " + r.Name }

// checkServices checks where a route sends its requests.
func checkServices(in Input, r *fleet.Route) []Finding {
	var found []Finding
	add := func(kind Kind, isError bool, format string, args ...any) {
		found = append(found, Finding{kind, isError, whereRoute(r), fmt.Sprintf(format, args...)})
	}
	if !slices.ContainsFunc(r.Services, func(s fleet.ServiceWeight) bool { return s.Weight > 0 }) {
		add(NoService, true, "sends requests to no service")
		return found
	}
	for _, s := range r.Services {
		switch targets, known := in.Targets[s.Service]; {
		case s.Weight <= 0:
			add(ZeroWeight, false, "service %s has weight %v and gets no requests", s.Service, s.Weight)
		case in.Next.Services[s.Service] == nil:
			add(UnknownService, true, "service %s does not exist", s.Service)
		case known && r.MaxAttempts > targets:
			add(TooManyAttempts, false, "allows %d attempts, but service %s has %d targets", r.MaxAttempts, s.Service, targets)
		}
	}
	return found
}

// checkLimits checks limits of a route that contradict each other.
func checkLimits(r *fleet.Route, jobTokens int64) []Finding {
	var found []Finding
	add := func(kind Kind, isError bool, format string, args ...any) {
		found = append(found, Finding{kind, isError, whereRoute(r), fmt.Sprintf(format, args...)})
	}
	if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
		add(TimeoutBelowObjective, false, "requests end after %v, before their objective of %v", r.Timeout, r.LatencyObjective)
	}
	if r.Kind != fleet.KindBatch {
		return found
	}
	if r.ResultDeadline > 0 && r.ResultDeadline < r.LatencyObjective {
		add(DueTooEarly, true, "results are due after %v, but an item may take %v to its first event", r.ResultDeadline, r.LatencyObjective)
	}
	if r.Retention > 0 && r.Retention < r.ResultDeadline {
		add(RetentionBelowDue, true, "items may be given up after %v, before they are due after %v", r.Retention, r.ResultDeadline)
	}
	if r.TokenQuota > 0 && r.TokenQuota < jobTokens {
		add(QuotaBelowJob, true, "the quota of %d tokens holds no job of %d", r.TokenQuota, jobTokens)
	}
	return found
}

// unusedServices returns the services that no route names, in the order of their names.
func unusedServices(c *fleet.Configuration, named map[string]bool) []Finding {
	var found []Finding
	for name := range c.Services {
		if !named[name] {
			found = append(found, Finding{UnusedService, false, "service " + name, "no route names it"})
		}
	}
	slices.SortFunc(found, func(a, b Finding) int { return strings.Compare(a.Where, b.Where) })
	return found
}

// HasError reports whether something cannot work at all.
func HasError(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Error })
}
