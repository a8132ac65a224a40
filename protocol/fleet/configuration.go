package fleet

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a route; it determines whether requests may be repeated.
type Kind int

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by an event stream.
	KindStream
	// KindBatch routes accept jobs.
	KindBatch
)

// ServiceWeight is a service's share of a route's requests.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Route directs the requests of a host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Services []ServiceWeight
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// LatencyObjective is the target time to the answer, or to a stream's first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between the events of a stream that meets its objective.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of targets that may run a request.
	MaxAttempts int
	// Resumable streams may continue at another target after their last event.
	Resumable bool
	// TokenQuota bounds the tokens of the route's waiting jobs; 0 means no bound.
	TokenQuota int64
	// ResultDeadline is the time from a job's first submission until its results are due.
	ResultDeadline time.Duration
	// Retention is the time from a job's first submission after which its items may
	// be given up.
	Retention time.Duration
	// Anonymous routes take requests without a key.
	Anonymous bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a group of targets.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the maximum number of connections that a target accepts in total.
	ConnectionLimit int
	// Slots is the number of requests that a target runs concurrently, 0 if unknown.
	Slots int
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routes and services. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// Keyring holds the workspaces' keys. It is nil if the configuration has no workspaces;
	// requests then need no key.
	Keyring *Keyring
	hosts   map[string][]*Route
}

// NewConfiguration returns a configuration of the routes.
func NewConfiguration(version int64, routes []*Route, services []*Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Services: map[string]*Service{}, Limits: limits, hosts: map[string][]*Route{}}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Match returns the route with the longest matching prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	return c.match(host, path, func(*Route) bool { return true })
}

// MatchJobs returns the route with the longest matching prefix of the path among those that
// accept jobs, or nil.
func (c *Configuration) MatchJobs(host, path string) *Route {
	return c.match(host, path, func(r *Route) bool { return r.Kind == KindBatch })
}

func (c *Configuration) match(host, path string, allowed func(*Route) bool) *Route {
	var best *Route
	for _, r := range c.hosts[host] {
		if allowed(r) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// JobRoute returns the host's route of that name if it accepts jobs, or nil.
func (c *Configuration) JobRoute(host, name string) *Route {
	for _, r := range c.hosts[host] {
		if r.Kind == KindBatch && r.Name == name && name != "" {
			return r
		}
	}
	return nil
}

// Routes calls each with every route.
func (c *Configuration) Routes(each func(*Route)) {
	for _, routes := range c.hosts {
		for _, r := range routes {
			each(r)
		}
	}
}

// HasBatchRoute reports whether the host has a route that accepts jobs.
func (c *Configuration) HasBatchRoute(host string) bool {
	return slices.ContainsFunc(c.hosts[host], func(r *Route) bool { return r.Kind == KindBatch })
}

// HasAnonymousBatchRoute reports whether the host has a route that accepts jobs without a
// key.
func (c *Configuration) HasAnonymousBatchRoute(host string) bool {
	for _, r := range c.hosts[host] {
		if r.Kind == KindBatch && r.Anonymous {
			return true
		}
	}
	return false
}

// PickService returns the route's service for a random number in [0, 1), weighted by
// the services' weights. It returns an empty name if the route has no service.
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := random * total
	for _, s := range r.Services {
		left -= s.Weight
		if s.Weight > 0 && left < 0 {
			return s.Service
		}
	}
	return ""
}

// Serves reports whether the route sends requests to the service.
func (r *Route) Serves(service string) bool {
	for _, s := range r.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
