// Package snapshotter builds the immutable snapshots of control state that the
// goroutines serving traffic read.
package snapshotter

import (
	"net/netip"
	"slices"
	"strings"

	"catkindyke/pkg/authenticator"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/locator"
	"catkindyke/pkg/schema"
)

// Host is an entry host to which callers may be directed.
type Host struct {
	Name             string
	Incarnation      uint64
	Region           string
	AvailabilityZone string
	Address          string
	PeerAddress      string
	Leaving          bool
	Pools            []*schema.PoolLoad
	// Versions holds the host's document versions, by document kind.
	Versions map[string]uint64
	// OperatorAddress is the address of the host's operator API.
	OperatorAddress string
	// LastReportAt is when the newest report about the host arrived, by the local clock.
	LastReportAt clock.Millis
}

// Input is the control state from which a snapshot is built.
type Input struct {
	Self     Host
	Versions map[string]uint64
	Config   *schema.Config
	Keys     *schema.Keys
	Drains   *schema.Drains
	Plan     *schema.Plan
	// Blocks is the published table of client address blocks, nil if there is none.
	Blocks *locator.Table
	// SiteBlocks is the table of the address blocks listed in the configuration.
	SiteBlocks *locator.Table
	// Hosts are the live hosts, including this one.
	Hosts []Host
	// RegionHealth is the part of its share of traffic that each region takes, in per mille.
	RegionHealth map[string]int
	// Ready reports whether the host has a configuration.
	Ready bool
	// KeyDeadline is the time until which requests that need a key may be
	// admitted without news about revoked keys.
	KeyDeadline clock.Millis
}

// Snapshot is an immutable view of control state. Values that its methods return
// must not be modified.
type Snapshot struct {
	in             Input
	auth           *authenticator.Authenticator
	services       map[string]*Service
	sites          map[string]*schema.Site
	trustedProxies []netip.Prefix
}

// Service is a service with its backend servers that are not drained, by region.
type Service struct {
	cfg             *schema.Service
	serversByRegion map[string][]*schema.BackendServer
}

// Build returns a snapshot of in, which must not be modified afterwards.
func Build(in Input) *Snapshot {
	s := &Snapshot{in: in, auth: authenticator.New(in.Keys)}
	s.buildIndex()
	return s
}

// Next returns a snapshot of in. It reuses the tables of s for documents that have
// not changed, because a snapshot is built at each heartbeat and the tables grow
// with the number of keys and backend servers.
func (s *Snapshot) Next(in Input) *Snapshot {
	next := &Snapshot{in: in, auth: s.auth, services: s.services, sites: s.sites, trustedProxies: s.trustedProxies}
	if in.Keys != s.in.Keys {
		next.auth = authenticator.New(in.Keys)
	}
	if in.Config != s.in.Config || in.Drains != s.in.Drains {
		next.buildIndex()
	}
	return next
}

// buildIndex builds the tables derived from the configuration and the drains.
func (s *Snapshot) buildIndex() {
	in := s.in
	s.services, s.sites, s.trustedProxies = make(map[string]*Service), make(map[string]*schema.Site), nil
	for _, site := range in.Config.GetSites() {
		s.sites[site.GetName()] = site
	}
	for _, cfg := range in.Config.GetServices() {
		svc := &Service{cfg: cfg, serversByRegion: make(map[string][]*schema.BackendServer)}
		for _, b := range cfg.GetBackendServers() {
			if !s.isDrained(b) {
				svc.serversByRegion[b.GetRegion()] = append(svc.serversByRegion[b.GetRegion()], b)
			}
		}
		s.services[cfg.GetName()] = svc
	}
	for _, t := range in.Config.GetSettings().GetTrustedProxies() {
		if p, err := netip.ParsePrefix(t); err == nil {
			s.trustedProxies = append(s.trustedProxies, p)
		}
	}
}

func (s *Snapshot) isDrained(b *schema.BackendServer) bool {
	d := s.in.Drains
	return slices.Contains(d.GetBackendServers(), b.GetName()) ||
		slices.Contains(d.GetAvailabilityZones(), b.GetAvailabilityZone()) ||
		slices.Contains(d.GetRegions(), b.GetRegion())
}

// Self returns this host.
func (s *Snapshot) Self() Host { return s.in.Self }

// Config returns the current configuration.
func (s *Snapshot) Config() *schema.Config { return s.in.Config }

// Keys returns the current keys document.
func (s *Snapshot) Keys() *schema.Keys { return s.in.Keys }

// Drains returns the current drains document.
func (s *Snapshot) Drains() *schema.Drains { return s.in.Drains }

// Plan returns the current plan.
func (s *Snapshot) Plan() *schema.Plan { return s.in.Plan }

// Blocks returns the published table of client address blocks.
func (s *Snapshot) Blocks() *locator.Table { return s.in.Blocks }

// Site returns the site of a client address. The published table takes precedence
// over the blocks in the configuration. Site returns false if no block matches
// or the configuration does not have the site.
func (s *Snapshot) Site(addr netip.Addr) (*schema.Site, bool) {
	name, ok := s.in.Blocks.Lookup(addr)
	if !ok {
		name, ok = s.in.SiteBlocks.Lookup(addr)
	}
	if !ok {
		return nil, false
	}
	site, ok := s.sites[name]
	return site, ok
}

// Versions returns the current document versions, by document kind.
func (s *Snapshot) Versions() map[string]uint64 { return s.in.Versions }

// Hosts returns the live hosts.
func (s *Snapshot) Hosts() []Host { return s.in.Hosts }

// RegionHealth returns the part of its share of traffic that a region takes, in per
// mille; zero if the region has failed.
func (s *Snapshot) RegionHealth(region string) int { return s.in.RegionHealth[region] }

// Ready reports whether the host has a configuration.
func (s *Snapshot) Ready() bool { return s.in.Ready }

// KeyDeadline returns the time until which requests that need a key may be admitted;
// see Input.KeyDeadline.
func (s *Snapshot) KeyDeadline() clock.Millis { return s.in.KeyDeadline }

// Authenticator returns the authenticator for the current keys.
func (s *Snapshot) Authenticator() *authenticator.Authenticator { return s.auth }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// IsTrustedProxy reports whether X-Forwarded-For is accepted from an address.
func (s *Snapshot) IsTrustedProxy(addr netip.Addr) bool {
	return slices.ContainsFunc(s.trustedProxies, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Config returns the service's configuration.
func (s *Service) Config() *schema.Service { return s.cfg }

// Servers returns the backend servers of a region that are not drained.
func (s *Service) Servers(region string) []*schema.BackendServer { return s.serversByRegion[region] }

// IsOpenRoute reports whether requests to a path need no key. The path includes
// the segment with the service's name.
func (s *Service) IsOpenRoute(path string) bool {
	return matchesAnyRoute(s.cfg.GetOpenRoutes(), path)
}

// defaultIdempotentMethods are the idempotent methods of RFC 9110 that a service
// can declare.
var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

// IsIdempotent reports whether a request may be retried.
func (s *Service) IsIdempotent(method, path string) bool {
	methods := s.cfg.GetIdempotentMethods()
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, method) || matchesAnyRoute(s.cfg.GetIdempotentRoutes(), path)
}

// ServerSlots returns the number of slots of a backend server; the service's is
// the default.
func (s *Service) ServerSlots(b *schema.BackendServer) int {
	if b.GetSlots() > 0 {
		return int(b.GetSlots())
	}
	return int(s.cfg.GetSlots())
}

// matchesAnyRoute reports whether a path is one of the routes or below one. It
// compares whole segments, so that the route /open does not match /opening.
func matchesAnyRoute(routes []string, path string) bool {
	for _, r := range routes {
		if path == r || strings.HasPrefix(path, strings.TrimSuffix(r, "/")+"/") {
			return true
		}
	}
	return false
}
