// Package catalog holds what operators declare for plain HTTP callers: routes
// by host and path prefix, the services behind them, organisations with their
// keys, and limits on what a caller may send. A Catalog never changes; a newer
// version replaces it whole.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by events; they are idempotent only where
	// the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"unsafe", "safe", "stream"}[k] }

// Backend is one of the services that share a route.
type Backend struct {
	Service string
	// Weight is the share of the route's requests relative to the others.
	Weight int
}

// Route sends requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another instance after a given
	// event, so they may run more than once.
	Resumable bool
	Backends  []Backend
	// Timeout is the longest time a caller is kept waiting, to the end of the
	// answer.
	Timeout time.Duration
	// Objective is the time within which an answer is on time: to its end, or
	// to the first event of a stream.
	Objective time.Duration
	// MaxGap is the longest pause between events of an answer on time.
	MaxGap time.Duration
	// MaxAttempts bounds the instances on which one request runs.
	MaxAttempts int
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Models are the models that may answer, smallest first; empty where the
	// caller names the model.
	Models []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service picks a backend by its weight. point is uniform in [0, 1).
func (r *Route) Service(point float64) string {
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

// Model is a model that engines of a service hold.
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
	// Engine is true for a service of model engines.
	Engine bool
	WarmUp WarmUp
}

// WarmUp is what an instance bears after its start.
type WarmUp struct {
	// Time is how long it takes; 0 for instances that bear all at once.
	Time time.Duration
	// Rate is the number of requests a second, of all daemons, that it bears meanwhile.
	Rate float64
}

// RelativeCost is a model's cost as a part of that of the most expensive one; 1
// where nothing is known.
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
	// Priority takes the place of the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send the headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may lie unused.
	IdleTimeout time.Duration
}

// Catalog is one version of everything declared.
type Catalog struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	routes   int
}

// Declared is what a Catalog is built from.
type Declared struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps an API key to its organisation.
	Keys map[string]Organisation
}

// New builds a catalog.
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

// Match returns the route with the longest prefix of path among those of host.
// A port in host is ignored.
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

// Organisation returns the holder of an API key.
func (c *Catalog) Organisation(key string) (*Organisation, bool) {
	o, ok := c.byKey[key]
	return o, ok
}

// Service returns a service by name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WarmUps returns what instances bear while they warm up, by service.
func (c *Catalog) WarmUps() map[string]WarmUp {
	out := make(map[string]WarmUp, len(c.services))
	for name, s := range c.services {
		out[name] = s.WarmUp
	}
	return out
}

// RouteCount is the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Routes returns every route, by host and then longest prefix first.
func (c *Catalog) Routes() []*Route {
	out := make([]*Route, 0, c.routes)
	for _, routes := range c.byHost {
		out = append(out, routes...)
	}
	slices.SortStableFunc(out, func(a, b *Route) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
