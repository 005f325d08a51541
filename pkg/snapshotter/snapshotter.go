// Package snapshotter builds the immutable view of control state that traffic
// goroutines read.
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

// Host is an entry host that callers may be sent to.
type Host struct {
	Name             string
	Incarnation      uint64
	Region           string
	AvailabilityZone string
	Address          string
	PeerAddress      string
	Leaving          bool
	Pools            []*schema.PoolLoad
	// Versions are the versions of the documents in force on the host, by kind.
	Versions map[string]uint64
	// OperatorAddress is the host's address for operators.
	OperatorAddress string
	// LastReportAt is when the newest news of the host arrived, on the own clock.
	LastReportAt clock.Millis
}

// Input is what a snapshot is built from.
type Input struct {
	Self     Host
	Versions map[string]uint64
	Config   *schema.Config
	Keys     *schema.Keys
	Drains   *schema.Drains
	Plan     *schema.Plan
	// Blocks is the table of client blocks in force, nil for none.
	Blocks *locator.Table
	// SiteBlocks is the table of the blocks that the configuration lists.
	SiteBlocks *locator.Table
	// Hosts are the live hosts, the host itself included.
	Hosts []Host
	// RegionHealth is the part of its traffic that each region takes, in per mille.
	RegionHealth map[string]int
	// Ready says that the host has a configuration in force.
	Ready bool
	// KeyDeadline is the time until which requests that need a key may be
	// admitted without news of withdrawals.
	KeyDeadline clock.Millis
}

// Snapshot is an immutable view; all its parts are read only.
type Snapshot struct {
	in             Input
	auth           *authenticator.Authenticator
	services       map[string]*Service
	sites          map[string]*schema.Site
	trustedProxies []netip.Prefix
}

// Service is a service with its backend servers by region.
type Service struct {
	cfg             *schema.Service
	serversByRegion map[string][]*schema.BackendServer
}

// Build makes a snapshot. The input must not be changed afterwards.
func Build(in Input) *Snapshot {
	s := &Snapshot{in: in, auth: authenticator.New(in.Keys)}
	s.buildIndex()
	return s
}

// Next makes the snapshot that follows s. The tables of documents that have not
// changed are used again, because a snapshot is made at each heartbeat and the
// tables grow with keys and backend servers.
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

// buildIndex makes the tables that follow from the configuration and the drains.
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

// Self returns the host itself.
func (s *Snapshot) Self() Host { return s.in.Self }

// Config returns the configuration in force.
func (s *Snapshot) Config() *schema.Config { return s.in.Config }

// Keys returns the keys in force.
func (s *Snapshot) Keys() *schema.Keys { return s.in.Keys }

// Drains returns the drains in force.
func (s *Snapshot) Drains() *schema.Drains { return s.in.Drains }

// Plan returns the plan in force.
func (s *Snapshot) Plan() *schema.Plan { return s.in.Plan }

// Blocks returns the table of client blocks in force.
func (s *Snapshot) Blocks() *locator.Table { return s.in.Blocks }

// Site returns the site of a client address. The table of blocks comes first;
// blocks in the configuration serve addresses that the table lacks. There is
// no site when no block matches or the configuration does not have the site.
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

// Versions returns the document versions in force, by kind.
func (s *Snapshot) Versions() map[string]uint64 { return s.in.Versions }

// Hosts returns the live hosts.
func (s *Snapshot) Hosts() []Host { return s.in.Hosts }

// RegionHealth returns the part of its traffic that a region takes, in per
// mille; zero when it counts as failed.
func (s *Snapshot) RegionHealth(region string) int { return s.in.RegionHealth[region] }

// Ready reports whether a configuration is in force.
func (s *Snapshot) Ready() bool { return s.in.Ready }

// KeyDeadline returns the time until which requests that need a key may be admitted.
func (s *Snapshot) KeyDeadline() clock.Millis { return s.in.KeyDeadline }

// Authenticator returns the table of keys in force.
func (s *Snapshot) Authenticator() *authenticator.Authenticator { return s.auth }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// IsTrustedProxy reports whether the X-Forwarded-For header of an address is used.
func (s *Snapshot) IsTrustedProxy(addr netip.Addr) bool {
	return slices.ContainsFunc(s.trustedProxies, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Config returns the service's configuration.
func (s *Service) Config() *schema.Service { return s.cfg }

// Servers returns the backend servers of a region that are not drained.
func (s *Service) Servers(region string) []*schema.BackendServer { return s.serversByRegion[region] }

// IsOpenRoute reports whether a path needs no key. The path includes the service's segment.
func (s *Service) IsOpenRoute(path string) bool {
	return matchesAnyRoute(s.cfg.GetOpenRoutes(), path)
}

// defaultIdempotentMethods may be repeated according to RFC 9110.
var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

// IsIdempotent reports whether a request may be repeated.
func (s *Service) IsIdempotent(method, path string) bool {
	methods := s.cfg.GetIdempotentMethods()
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, method) || matchesAnyRoute(s.cfg.GetIdempotentRoutes(), path)
}

// ServerSlots returns the slots of a backend server.
func (s *Service) ServerSlots(b *schema.BackendServer) int {
	if b.GetSlots() > 0 {
		return int(b.GetSlots())
	}
	return int(s.cfg.GetSlots())
}

// matchesAnyRoute matches whole path segments, so that /open does not open /opening.
func matchesAnyRoute(routes []string, path string) bool {
	for _, r := range routes {
		if path == r || strings.HasPrefix(path, strings.TrimSuffix(r, "/")+"/") {
			return true
		}
	}
	return false
}
