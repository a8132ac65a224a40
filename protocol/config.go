package protocol

import "time"

// ObjectKind names a kind of configuration object.
type ObjectKind string

// The kinds of configuration object.
const (
	KindService   ObjectKind = "service"
	KindLabel     ObjectKind = "label"
	KindDrain     ObjectKind = "drain"
	KindQuota     ObjectKind = "quota"
	KindPlacement ObjectKind = "placement"
)

// Labels are key=value pairs attached to a target.
type Labels map[string]string

// Selector matches targets whose labels contain every pair in it. An empty
// selector matches every target.
type Selector map[string]string

// Matches reports whether labels satisfy the selector.
func (s Selector) Matches(labels Labels) bool {
	for k, v := range s {
		if labels[k] != v {
			return false
		}
	}
	return true
}

// Object is one configuration object. Only the member that its kind names is
// set; a deleted object has none.
type Object struct {
	Kind    ObjectKind `json:"kind" toml:"kind" msgpack:"k"`
	Name    string     `json:"name" toml:"name" msgpack:"n"`
	Deleted bool       `json:"deleted,omitempty" toml:"deleted" msgpack:"x,omitempty"`
	// Base is the version that the change is based on, zero for a new object.
	Base Position `json:"base,omitempty" toml:"base" msgpack:"b,omitempty"`
	// Version is the position of the record that set the object. The fold fills it in.
	Version Position `json:"version,omitempty" toml:"-" msgpack:"v,omitempty"`

	Service   *Service   `json:"service,omitempty" toml:"service" msgpack:"s,omitempty"`
	Label     *Label     `json:"label,omitempty" toml:"label" msgpack:"l,omitempty"`
	Drain     *Drain     `json:"drain,omitempty" toml:"drain" msgpack:"d,omitempty"`
	Quota     *Quota     `json:"quota,omitempty" toml:"quota" msgpack:"q,omitempty"`
	Placement *Placement `json:"placement,omitempty" toml:"placement" msgpack:"p,omitempty"`
}

// TargetSelector returns the object's selector. It returns false for kinds that
// select no targets and for deleted objects.
func (o *Object) TargetSelector() (Selector, bool) {
	switch {
	case o.Service != nil:
		return o.Service.Selector, true
	case o.Label != nil:
		return o.Label.Selector, true
	case o.Drain != nil:
		return o.Drain.Selector, true
	case o.Placement != nil:
		return o.Placement.Selector, true
	default:
		return nil, false
	}
}

// ObjectVersion is one version of an object with its author and publication time.
type ObjectVersion struct {
	Object Object `json:"object" msgpack:"o"`
	By     string `json:"by" msgpack:"b"`
	// UnixMillis is the time of publication in milliseconds since the epoch,
	// zero if the record has none.
	UnixMillis int64 `json:"unix_ms" msgpack:"t"`
}

// ServiceType distinguishes model services from plain services.
type ServiceType string

// The types of service.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Service is a service that callers address by name and targets run.
type Service struct {
	Type     ServiceType `json:"type" toml:"type" msgpack:"t"`
	Selector Selector    `json:"selector" toml:"selector" msgpack:"s"`
	// RepeatableMethods lists the HTTP methods of a plain service whose calls
	// are idempotent. Calls with any other method run at most once.
	RepeatableMethods []string `json:"repeatable_methods,omitempty" toml:"repeatable_methods" msgpack:"r,omitempty"`
	// Discard turns off the retention of results of idempotent requests.
	Discard bool `json:"discard,omitempty" toml:"discard" msgpack:"x,omitempty"`
	// TimeoutMillis is the timeout of a request in milliseconds. Zero means DefaultRequestTimeout.
	TimeoutMillis int `json:"timeout_ms,omitempty" toml:"timeout_ms" msgpack:"m,omitempty"`
}

// DefaultRequestTimeout is the request timeout of a service that sets none.
const DefaultRequestTimeout = 60 * time.Second

// Timeout returns the timeout of a request.
func (s *Service) Timeout() time.Duration {
	if s.TimeoutMillis <= 0 {
		return DefaultRequestTimeout
	}
	return time.Duration(s.TimeoutMillis) * time.Millisecond
}

// Repeatable reports whether a call with the method may run more than once.
func (s *Service) Repeatable(method string) bool {
	if s.Type == ServiceModel {
		return true
	}
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}

// Label sets labels on every target that the selector matches.
type Label struct {
	Selector Selector `json:"selector" toml:"selector" msgpack:"s"`
	Set      Labels   `json:"set" toml:"set" msgpack:"l"`
}

// Drain takes every target that the selector matches out of service.
type Drain struct {
	Selector Selector `json:"selector" toml:"selector" msgpack:"s"`
}

// Quota limits the resources of one workspace.
type Quota struct {
	// RequestsPerSecond is the sustained rate of online requests.
	RequestsPerSecond float64 `json:"requests_per_second" toml:"requests_per_second" msgpack:"r"`
	// BatchShare is the weight of the workspace's jobs among batch work.
	BatchShare float64 `json:"batch_share" toml:"batch_share" msgpack:"b"`
}

// Placement requests a model and version on every target that the selector matches.
type Placement struct {
	Selector Selector `json:"selector" toml:"selector" msgpack:"s"`
	Model    string   `json:"model" toml:"model" msgpack:"m"`
	Version  string   `json:"version" toml:"version" msgpack:"v"`
	Adapters []string `json:"adapters,omitempty" toml:"adapters" msgpack:"a,omitempty"`
	// MaxUnavailablePercent bounds the share of the matched targets that load at the same time.
	MaxUnavailablePercent int `json:"max_unavailable_percent,omitempty" toml:"max_unavailable_percent" msgpack:"u,omitempty"`
}

// Validate returns the first error of the object as ErrBadRequest.
func (o *Object) Validate() error {
	if o.Name == "" {
		return ErrBadRequest.New("object of kind %q has no name", o.Kind)
	}
	if o.Deleted {
		return nil
	}
	set := map[ObjectKind]bool{
		KindService:   o.Service != nil,
		KindLabel:     o.Label != nil,
		KindDrain:     o.Drain != nil,
		KindQuota:     o.Quota != nil,
		KindPlacement: o.Placement != nil,
	}
	if _, known := set[o.Kind]; !known {
		return ErrBadRequest.New("object %q has unknown kind %q", o.Name, o.Kind)
	}
	for kind, present := range set {
		if present != (kind == o.Kind) {
			return ErrBadRequest.New("object %q of kind %q must have section %q and no other section", o.Name, o.Kind, o.Kind)
		}
	}
	if o.Service != nil && o.Service.Type != ServiceModel && o.Service.Type != ServicePlain {
		return ErrBadRequest.New("service %q: type must be %q or %q", o.Name, ServiceModel, ServicePlain)
	}
	return nil
}

// Validate returns the first error of the change's objects as ErrBadRequest.
func (c *Change) Validate() error {
	for i := range c.Objects {
		if err := c.Objects[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
