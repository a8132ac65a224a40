package fleet

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by a series of events.
	KindStream
	// KindBatch routes take jobs.
	KindBatch
)

// ServiceWeight is a service's part of a route's requests.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Services []ServiceWeight
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between the events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most targets that may run one request.
	MaxAttempts int
	// Resumable streams may go on at another target after their last event.
	Resumable bool
	// TokenQuota bounds the tokens of the route's jobs that wait; 0 is no bound.
	TokenQuota int64
	// ResultDeadline is when a job's results are due, counted from its first submission.
	ResultDeadline time.Duration
	// Retention is when an item may be given up, counted from the job's first
	// submission.
	Retention time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service is a group of targets.
type Service struct {
	Name       string
	HealthPath string
	// ConnectionLimit is the most connections that a target takes from all callers.
	ConnectionLimit int
	// Slots is the number of requests that a target runs at once, 0 if not known.
	Slots int
}

// Limits bound what a caller may send.
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
	hosts    map[string][]*Route
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

// Match returns the route with the longest prefix of the path, nil without one.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// HasBatchRoute reports whether the host has a route that takes jobs.
func (c *Configuration) HasBatchRoute(host string) bool {
	for _, r := range c.hosts[host] {
		if r.Kind == KindBatch {
			return true
		}
	}
	return false
}

// PickService returns the service of the route for a draw in [0, 1), empty where the
// route has none.
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := draw * total
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
