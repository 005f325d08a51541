// Package cataloger holds the catalog of one configuration version, that is, its routes,
// services and workspaces, and finds those that apply to a request.
package cataloger

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"catkindyke/pkg/clock"
)

// ErrInvalidConfig means that a configuration cannot be used.
var ErrInvalidConfig = errors.New("invalid configuration")

// RouteKind says how often a request may run.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// WeightedService is one service of a weighted split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Services are the services that the route is split over; a plain route has one.
	Services []WeightedService
	// Timeout is the longest time that a request may take.
	Timeout clock.Millis
	// TargetLatency is the time within which a response has its full value.
	TargetLatency clock.Millis
	// MaxAttempts is the largest number of backend servers that a request is sent to.
	MaxAttempts int
	// Priority orders requests when capacity is short; 0 is the most urgent.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// Sticky means that a backend server is faster for objects that it has handled
	// recently.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; all when empty.
	HomeRegions []string
}

// IsIdempotent reports whether a request may run more than once.
func (r *Route) IsIdempotent() bool { return r.Kind == Idempotent }

// Service describes a group of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the largest number of open connections from all hosts to one
	// backend server.
	MaxConnections int
	// ColdTime is the time for which a backend server is cold after its start.
	ColdTime clock.Millis
	// ColdRate is the number of requests per second that a cold backend server can handle.
	ColdRate float64
}

// Workspace is a customer's tenant.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	// Rate, in requests per second, and Burst limit the requests of the whole fleet; 0
	// means no limit.
	Rate, Burst float64
	HomeRegions []string
}

// Limits bounds the size and the duration of what a caller sends.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Config is the content of one configuration version.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog answers look-ups in one configuration version. It is immutable.
type Catalog struct {
	cfg        Config
	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
}

// New validates a configuration and builds its catalog.
func New(cfg Config) (*Catalog, error) {
	c := &Catalog{
		cfg: cfg, byHost: make(map[string][]*Route), services: make(map[string]*Service),
		workspaces: make(map[string]*Workspace), byKey: make(map[string]*Workspace),
	}
	for i := range cfg.Services {
		c.services[cfg.Services[i].Name] = &c.cfg.Services[i]
	}
	for i := range cfg.Routes {
		if err := c.addRoute(&c.cfg.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range cfg.Workspaces {
		if err := c.addWorkspace(&c.cfg.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Catalog) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q must begin and end with a slash", ErrInvalidConfig, r.Name, r.Prefix)
	}
	if r.MaxAttempts < 1 || r.Timeout <= 0 {
		return fmt.Errorf("%w: route %q: attempts %d and timeout %d ms must be above 0", ErrInvalidConfig, r.Name, r.MaxAttempts, r.Timeout)
	}
	if len(r.Services) == 0 {
		return fmt.Errorf("%w: route %q names no service", ErrInvalidConfig, r.Name)
	}
	for _, p := range r.Services {
		if c.services[p.Service] == nil {
			return fmt.Errorf("%w: route %q: unknown service %q", ErrInvalidConfig, r.Name, p.Service)
		}
	}
	host := strings.ToLower(r.Host)
	c.byHost[host] = append(c.byHost[host], r)
	return nil
}

func (c *Catalog) addWorkspace(w *Workspace) error {
	c.workspaces[w.Name] = w
	for _, key := range w.Keys {
		if other := c.byKey[key]; other != nil && other != w {
			return fmt.Errorf("%w: workspaces %q and %q share a key", ErrInvalidConfig, other.Name, w.Name)
		}
		c.byKey[key] = w
	}
	return nil
}

// Version returns the version of the configuration.
func (c *Catalog) Version() uint64 { return c.cfg.Version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.cfg.Limits }

// NeedsKeys reports whether requests on routes that are not anonymous need a key.
func (c *Catalog) NeedsKeys() bool { return len(c.cfg.Workspaces) > 0 }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []Workspace { return c.cfg.Workspaces }

// Services returns all services.
func (c *Catalog) Services() []Service { return c.cfg.Services }

// Service returns the service with a name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.byKey[key] }

// HasHost reports whether a host has any route.
func (c *Catalog) HasHost(host string) bool { return len(c.byHost[strings.ToLower(host)]) > 0 }

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AllowedRegions returns the regions in which a request may be served; nil means all. If
// the route and the workspace both have home regions, the result is their intersection,
// which may be empty.
func AllowedRegions(r *Route, w *Workspace) []string {
	switch {
	case len(r.HomeRegions) == 0 && (w == nil || len(w.HomeRegions) == 0):
		return nil
	case w == nil || len(w.HomeRegions) == 0:
		return r.HomeRegions
	case len(r.HomeRegions) == 0:
		return w.HomeRegions
	}
	common := []string{}
	for _, region := range r.HomeRegions {
		if slices.Contains(w.HomeRegions, region) {
			common = append(common, region)
		}
	}
	return common
}
