// Package balancer decides which backend server gets a request, and which
// requests are refused because none can serve them in time. It is pure: the
// caller gives the time and serializes the calls.
package balancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

// Reasons of a refusal.
const (
	ReasonNoServer = "no_server"
	ReasonBusy     = "busy"
	ReasonCold     = "cold"
)

const (
	// reportLife is the age after which the load that another host reported is
	// dropped: a host reports several times a second while it lives.
	reportLife = 2 * clock.Second
	// defaultRegionTrip is the round trip between regions before one was measured, in ms.
	defaultRegionTrip = 40.0
	// warmShare is the share of a region's servers that hold one object. More
	// servers spread a popular object; fewer keep it in the servers' memory.
	warmShare = 0.25
	// coldFactor is how much longer an object takes at a server that has not
	// handled it lately, before both times were measured.
	coldFactor = 3.0
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter clock.Millis = 100
	maxRetryAfter clock.Millis = 2000
)

// Server is a backend server that may get requests.
type Server struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Region    string
	Slots     int
	ColdUntil clock.Millis
	// ColdRate is the number of requests a second that the fleet may send while the server is cold.
	ColdRate float64
}

// Request is what placement needs to know of a request.
type Request struct {
	Service string
	// Class names requests that take a similar time, such as a route.
	Class string
	// Object is the object that the request concerns; empty when there is none.
	Object string
	// Homes are the regions that may serve the request; nil means all.
	Homes []string
	// Tried are the servers that the request was already sent to.
	Tried []string
	// Objective is the time left in which the answer has its full value.
	Objective clock.Millis
	// Left is the time left in which an answer is of any use.
	Left clock.Millis
}

// Choice is a decision.
type Choice struct {
	Server Server
	// Refused says that no server can serve the request; Reason tells why and
	// RetryAfter when to ask again.
	Refused    bool
	Reason     string
	RetryAfter clock.Millis
	// Warm says that the server is expected to hold the object.
	Warm bool
	// Load is the number of requests that the server was thought to have, and
	// Estimate the time in which an answer was expected.
	Load     int
	Estimate clock.Millis
}

// Config configures a balancer.
type Config struct {
	// Region and Zone are those of the host.
	Region, Zone string
}

// Balancer holds what one host knows of the load of backend servers.
type Balancer struct {
	cfg     Config
	servers map[string]*server
	pools   map[string]*pool
	classes map[string]*class
	reports map[string]*report
	trips   map[string]float64
	// regionHosts is the number of live hosts by region.
	regionHosts map[string]int
}

// report is the load that another host reported.
type report struct {
	at    clock.Millis
	loads map[string]int
}

// New returns a balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, servers: make(map[string]*server), pools: make(map[string]*pool),
		classes: make(map[string]*class), reports: make(map[string]*report), trips: make(map[string]float64),
		regionHosts: map[string]int{cfg.Region: 1},
	}
}

// SetServers replaces the servers that may get requests. What was learned of a
// server that stays is kept.
func (b *Balancer) SetServers(list []Server) {
	servers := make(map[string]*server, len(list))
	pools := make(map[string]*pool)
	for _, info := range list {
		s := b.servers[info.ID]
		if s == nil || s.Address != info.Address || s.Service != info.Service {
			s = newServer()
		}
		s.Server = info
		servers[info.ID] = s
		p := pools[info.Service]
		if p == nil {
			p = newPool(b.pools[info.Service])
			pools[info.Service] = p
		}
		p.add(s)
	}
	for _, p := range pools {
		p.sort()
	}
	b.servers, b.pools = servers, pools
	for _, r := range b.reports {
		b.apply(r.loads)
	}
}

// apply adds reported loads to servers that have none of this report yet.
func (b *Balancer) apply(map[string]int) { b.sumReports() }

func (b *Balancer) sumReports() {
	for _, s := range b.servers {
		s.others = 0
	}
	for _, r := range b.reports {
		for id, n := range r.loads {
			if s := b.servers[id]; s != nil {
				s.others += n
			}
		}
	}
}

// SetReport takes the load that another host reports.
func (b *Balancer) SetReport(host string, loads map[string]int, now clock.Millis) {
	if old := b.reports[host]; old != nil {
		b.add(old.loads, -1)
	}
	b.reports[host] = &report{at: now, loads: loads}
	b.add(loads, 1)
}

func (b *Balancer) add(loads map[string]int, sign int) {
	for id, n := range loads {
		if s := b.servers[id]; s != nil {
			s.others = max(0, s.others+sign*n)
		}
	}
}

// Expire drops the reports of hosts that fell silent.
func (b *Balancer) Expire(now clock.Millis) {
	for host, r := range b.reports {
		if now-r.at > reportLife {
			b.add(r.loads, -1)
			delete(b.reports, host)
		}
	}
}

// SetHosts sets the number of live hosts by region, this host included.
func (b *Balancer) SetHosts(byRegion map[string]int) { b.regionHosts = byRegion }

// SetTrip notes a measured round trip to a region in milliseconds.
func (b *Balancer) SetTrip(region string, ms float64) {
	old, ok := b.trips[region]
	if !ok {
		old = ms
	}
	b.trips[region] = old + 0.2*(ms-old)
}

func (b *Balancer) trip(region string) float64 {
	if region == b.cfg.Region {
		return 1
	}
	if ms, ok := b.trips[region]; ok {
		return ms
	}
	return defaultRegionTrip
}

// Loads returns this host's requests in flight by server ID.
func (b *Balancer) Loads() map[string]int {
	loads := make(map[string]int)
	for id, s := range b.servers {
		if s.own > 0 {
			loads[id] = s.own
		}
	}
	return loads
}

// candidate is a server with its estimate for one request.
type candidate struct {
	s        *server
	warm     bool
	estimate float64
	load     int
}

// Choose decides where a request goes. The caller calls Start when it sends
// the request and Done when the exchange has ended.
//
// It answers the pattern of every day: many objects, each fast at the servers
// that handled it lately, more demand in some regions than they have servers,
// and hosts that see only a part of the load.
func (b *Balancer) Choose(req Request, now clock.Millis) Choice {
	p := b.pools[req.Service]
	if p == nil {
		return Choice{Refused: true, Reason: ReasonNoServer, RetryAfter: clock.Second}
	}
	c := b.class(req)
	regions := p.allowed(req.Homes)
	if len(regions) == 0 {
		return Choice{Refused: true, Reason: ReasonNoServer, RetryAfter: clock.Second}
	}
	var best *candidate
	var reason string
	for i, region := range p.order(regions, b.cfg.Region) {
		found, why := b.bestIn(p, region, req, c, now)
		if found == nil {
			reason = cmp.Or(reason, why)
			continue
		}
		if i == 0 && found.estimate <= float64(req.Objective) {
			return b.chosen(p, region, found)
		}
		if best == nil || found.estimate < best.estimate {
			best = found
		}
	}
	if best == nil {
		return Choice{Refused: true, Reason: reason, RetryAfter: b.retryAfter(p, c, 0)}
	}
	if limit := b.patience(req); best.estimate > limit {
		return Choice{
			Refused: true, Reason: ReasonBusy, Load: best.load, Estimate: clock.Millis(best.estimate),
			RetryAfter: b.retryAfter(p, c, best.estimate-limit),
		}
	}
	return b.chosen(p, best.s.Region, best)
}

func (b *Balancer) chosen(p *pool, region string, c *candidate) Choice {
	p.count(region)
	return Choice{Server: c.s.Server, Warm: c.warm, Load: c.load, Estimate: clock.Millis(c.estimate)}
}

// patience is the longest estimate with which a request is still sent.
func (b *Balancer) patience(req Request) float64 {
	return min(float64(req.Left)*0.9, max(float64(req.Objective)*1.5, float64(req.Left)*0.5))
}

func (b *Balancer) retryAfter(p *pool, c *class, over float64) clock.Millis {
	_ = p
	return min(max(clock.Millis(math.Ceil(over+c.warm)), minRetryAfter), maxRetryAfter)
}

// bestIn returns the server of a region with the earliest estimated answer.
func (b *Balancer) bestIn(p *pool, region string, req Request, c *class, now clock.Millis) (*candidate, string) {
	servers := p.regions[region]
	holders := holders(servers, req.Object)
	var best *candidate
	reason := ReasonNoServer
	for i, s := range rank(servers, req.Object) {
		if slices.Contains(req.Tried, s.ID) || s.down(now) {
			continue
		}
		if s.isCold(now) && !s.coldToken(b, now) {
			reason = ReasonCold
			continue
		}
		warm := i < holders
		cand := b.estimate(s, warm, region, c)
		if best == nil || cand.estimate < best.estimate {
			best = &cand
		}
	}
	return best, reason
}

// estimate predicts the time until a server's answer: the trip, the wait for a
// slot, and the work.
func (b *Balancer) estimate(s *server, warm bool, region string, c *class) candidate {
	load := s.own + s.others
	work := c.cold
	if warm {
		work = c.warm
	}
	work *= s.slowness
	// Requests beyond the slots wait for the slots' turns.
	wait := 0.0
	if over := load + 1 - s.Slots; over > 0 {
		wait = float64(over) / float64(s.Slots) * c.warm * s.slowness
	}
	// The last free slots are more likely to be taken by hosts whose reports are under way.
	crowd := 0.1 * work * float64(load) / float64(s.Slots)
	return candidate{s: s, warm: warm, load: load, estimate: b.trip(region) + wait + work + crowd}
}

// holders is the number of servers that hold one object in a region.
func holders(servers []*server, object string) int {
	if object == "" {
		return len(servers)
	}
	return max(1, int(math.Round(warmShare*float64(len(servers)))))
}

// rank orders servers by rendezvous hashing on the object, so that all hosts
// agree and a server that joins or leaves moves few objects.
func rank(servers []*server, object string) []*server {
	if object == "" {
		return servers
	}
	seed := xxhash.Sum64String(object)
	out := slices.Clone(servers)
	for _, s := range out {
		s.score = mix(seed ^ s.hash())
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(b.score, a.score) })
	return out
}

// mix is the finalizer of splitmix64, which spreads the bits of a sum of hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
