// Package catalog holds what operators declare for plain HTTP callers: routes by host and path
// prefix, the services behind them, organisations with their keys, and limits on what a caller
// may send. A Catalog is immutable; a newer version replaces it as a whole.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may be repeated.
type RouteKind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by a stream of events. They are idempotent only if the
	// route is resumable.
	Stream
)

// String returns the name of the kind.
func (k RouteKind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Backend is one of the services that a route sends requests to.
type Backend struct {
	Service string
	// Weight is the service's share of the requests, relative to the other backends.
	Weight int
}

// Route sends requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable is set if a stream can be continued at another instance after a given event.
	// Its requests may then run more than once.
	Resumable bool
	Backends  []Backend
	// Timeout is the longest time from the request to the end of the answer.
	Timeout time.Duration
	// Objective is the time within which an answer counts as on time: to its end, or to the
	// first event of a stream.
	Objective time.Duration
	// MaxGap is the longest pause between events of an answer that counts as on time.
	MaxGap time.Duration
	// MaxAttempts bounds the number of instances on which one request runs.
	MaxAttempts int
	// Priority is the priority of requests; 0 is the most urgent.
	Priority int
	// Public routes need no API key.
	Public bool
	// Models are the models that may answer, smallest first. It is empty if the caller names
	// the model.
	Models []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService picks a service by the weights of the backends. point is uniformly random in [0,
// 1). It returns "" if the route has no backends.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	rest := point * float64(total)
	for _, b := range r.Backends {
		if rest < float64(b.Weight) {
			return b.Service
		}
		rest -= float64(b.Weight)
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a model that engines of a service can run.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens.
	Cost float64
}

// Service is a set of upstream instances that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all daemons to one instance.
	MaxConnections int
	// Models is empty for a service that is not a model engine.
	Models []Model
	// Engine is set for a service of model engines.
	Engine bool
	// KVCapacity is the number of tokens that the KV cache of an engine holds; 0 means unknown.
	KVCapacity int
	WarmUp     WarmUp
}

// WarmUp limits the load of an instance after its start.
type WarmUp struct {
	// Time is the duration of the limit; 0 for instances that need no warm-up.
	Time time.Duration
	// Rate is the highest number of requests per second, from all daemons together, during that
	// time.
	Rate float64
}

// RelativeCost returns a model's cost divided by that of the most expensive model, or 1 if its
// cost is unknown.
func (s *Service) RelativeCost(model string) float64 {
	most, own := 0.0, 0.0
	for _, m := range s.Models {
		most = max(most, m.Cost)
		if m.Name == model {
			own = m.Cost
		}
	}
	if own == 0 {
		return 1
	}
	return own / most
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Catalog is one version of all declarations.
type Catalog struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	routes   int
}

// Declared holds the declarations that a Catalog is built from.
type Declared struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps an API key to its organisation.
	Keys map[string]Organisation
}

// New builds a Catalog.
func New(d Declared) *Catalog {
	c := &Catalog{
		Version:  d.Version,
		Limits:   d.Limits,
		services: make(map[string]*Service, len(d.Services)),
		byHost:   map[string][]*Route{},
		byKey:    make(map[string]*Organisation, len(d.Keys)),
		routes:   len(d.Routes),
	}
	for _, s := range d.Services {
		c.services[s.Name] = &s
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], &r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for key, o := range d.Keys {
		c.byKey[key] = &o
	}
	return c
}

// Match returns the route of host with the longest prefix of path. A port in host is ignored.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the organisation to which an API key belongs.
func (c *Catalog) Organisation(key string) (*Organisation, bool) {
	o, ok := c.byKey[key]
	return o, ok
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WarmUps returns the warm-up limits of all services by name.
func (c *Catalog) WarmUps() map[string]WarmUp {
	out := make(map[string]WarmUp, len(c.services))
	for name, s := range c.services {
		out[name] = s.WarmUp
	}
	return out
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Routes returns all routes, sorted by host, then longest prefix first.
func (c *Catalog) Routes() []*Route {
	out := make([]*Route, 0, c.routes)
	for _, routes := range c.byHost {
		out = append(out, routes...)
	}
	slices.SortStableFunc(out, func(a, b *Route) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
