// Package balancer decides which backend server gets a request, and which
// requests are refused because none can serve them in time. It is pure: the
// caller gives the time and serializes the calls.
package balancer

import (
	"cmp"
	"math"
	"slices"

	"catkindyke/pkg/clock"
)

// Reasons of a refusal.
const (
	ReasonNoServer = "no_server"
	ReasonBusy     = "busy"
	ReasonCold     = "cold"
)

const (
	// reportTTL is the age after which the load that another host reported is
	// dropped: while it lives, a host of another region reports about each 2 s in a
	// fleet of 100.
	reportTTL = 3 * clock.Second
	// defaultRegionRTT is the round trip between regions before one was measured, in ms.
	defaultRegionRTT = 40.0
	// localRTT is the round trip within a region, in ms.
	localRTT = 1.0
	// rttWeight is the weight of one measurement of a round trip.
	rttWeight = 0.2
	// preferredServers is the number of an object's first servers that are compared
	// while one of them can answer in time.
	preferredServers = 3
	// affinityFactor is how much later than another the object's first server may answer
	// and still be chosen, so that objects stay where they are held.
	affinityFactor = 0.8
	// staleLoadPenalty is the part of the work time by which a fully used server is
	// thought to be later, because reports of other hosts are under way.
	staleLoadPenalty = 0.1
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
	// AllowedRegions are the regions that may serve the request; nil means all.
	AllowedRegions []string
	// TriedServers are the servers that the request was already sent to.
	TriedServers []string
	// TargetLatency is the time left in which the answer has its full value.
	TargetLatency clock.Millis
	// TimeLeft is the time left in which an answer is of any use.
	TimeLeft clock.Millis
	// Priority orders requests when there is no room for all; 0 is the most urgent.
	Priority float64
	// CallerTimeout is the time that the caller gave the request, 0 when it named none. A
	// caller that comes back after a refusal has less of it than others.
	CallerTimeout clock.Millis
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
	// InFlight is the number of requests that the server was thought to have, and
	// Estimate the time in which an answer was expected.
	InFlight         int
	EstimatedLatency clock.Millis
}

// Config configures a balancer.
type Config struct {
	// Region is that of the host.
	Region string
	// ShiftRate is the largest change a second of the share of a region's requests
	// that another region serves.
	ShiftRate float64
	// ColdSenders bounds the hosts that send requests to one cold server, because
	// each may begin with one at once; 0 means all of its region.
	ColdSenders int
}

// LiveHosts are the live hosts of the fleet, this one included.
type LiveHosts struct {
	ByRegion map[string]int
	// RegionIndex and FleetIndex are the numbers of hosts of this region and of the
	// fleet that come before this one.
	RegionIndex, FleetIndex int
}

func (h LiveHosts) total() int {
	sum := 0
	for _, n := range h.ByRegion {
		sum += n
	}
	return sum
}

// Balancer holds what one host knows of the load of backend servers.
type Balancer struct {
	cfg       Config
	servers   map[string]*server
	pools     map[string]*pool
	classes   map[string]*class
	reports   map[string]LoadReport
	rtts      map[string]float64
	demands   map[string]*rate
	liveHosts LiveHosts
	lastTick  clock.Millis
	// hashCounter varies the rank of requests without an object.
	hashCounter uint64
}

// LoadReport is what another host tells of its load.
type LoadReport struct {
	Region string
	// InFlight are its requests in flight by server ID.
	InFlight map[string]int
	// Demands are its requests a second by service.
	Demands    map[string]float64
	receivedAt clock.Millis
}

// New returns a balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, servers: make(map[string]*server), pools: make(map[string]*pool),
		classes: make(map[string]*class), reports: make(map[string]LoadReport), rtts: make(map[string]float64),
		demands: make(map[string]*rate), liveHosts: LiveHosts{ByRegion: map[string]int{cfg.Region: 1}},
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
		s.Server, s.remoteInFlight = info, 0
		servers[info.ID] = s
		p := pools[info.Service]
		if p == nil {
			p = newPool(b.pools[info.Service])
			pools[info.Service] = p
		}
		p.add(s)
	}
	b.servers, b.pools = servers, pools
	for _, p := range pools {
		p.initShares(b.cfg.Region)
	}
	for _, r := range b.reports {
		b.addRemoteInFlight(r.InFlight, 1)
	}
}

// SetLoadReport takes the load that another host reports.
func (b *Balancer) SetLoadReport(host string, r LoadReport, now clock.Millis) {
	b.addRemoteInFlight(b.reports[host].InFlight, -1)
	r.receivedAt = now
	b.reports[host] = r
	b.addRemoteInFlight(r.InFlight, 1)
}

func (b *Balancer) addRemoteInFlight(inFlight map[string]int, sign int) {
	for id, n := range inFlight {
		if s := b.servers[id]; s != nil {
			s.remoteInFlight = max(0, s.remoteInFlight+sign*n)
		}
	}
}

// SetLiveHosts sets the live hosts.
func (b *Balancer) SetLiveHosts(hosts LiveHosts) { b.liveHosts = hosts }

// RecordRTT notes a measured round trip to a region in milliseconds.
func (b *Balancer) RecordRTT(region string, ms float64) {
	old, ok := b.rtts[region]
	if !ok {
		old = ms
	}
	b.rtts[region] = old + rttWeight*(ms-old)
}

func (b *Balancer) rtt(region string) float64 {
	if region == b.cfg.Region {
		return localRTT
	}
	if ms, ok := b.rtts[region]; ok {
		return ms
	}
	return defaultRegionRTT
}

// InFlight returns this host's requests in flight by server ID.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for id, s := range b.servers {
		if s.localInFlight > 0 {
			inFlight[id] = s.localInFlight
		}
	}
	return inFlight
}

// candidate is a server with its estimate for one request.
type candidate struct {
	server *server
	warm   bool
	// estimatedLatency is the time until an answer; queueDelay is the part of it before the serviceTime
	// begins, and serviceTime that of the serviceTime.
	estimatedLatency, queueDelay, serviceTime float64
	inFlight                                  int
}

// Choose decides where a request goes. The caller calls Start when it sends
// the request and Done when the exchange has ended.
//
// It answers the pattern of every day: many objects, each fast at the servers
// that handled it lately, more demand in some regions than they have servers,
// and hosts that see only a part of the load. An object has one first server,
// which all hosts compute alike, so that few servers need to learn it. It goes
// to another when that one can't answer in time or is much later.
func (b *Balancer) Choose(req Request, now clock.Millis) Choice {
	p := b.pools[req.Service]
	if p == nil {
		return Choice{Refused: true, Reason: ReasonNoServer, RetryAfter: clock.Second}
	}
	c := b.classFor(req)
	seed := b.rankingSeed(req)
	ranked := p.rankServers(seed, req.AllowedRegions)
	best, reason := b.bestCandidate(ranked[:min(preferredServers, len(ranked))], req, seed, c, now)
	if best == nil || best.estimatedLatency > float64(req.TargetLatency) {
		best, reason = b.bestCandidate(ranked, req, seed, c, now)
	}
	if best == nil {
		return Choice{Refused: true, Reason: reason, RetryAfter: clampRetryAfter(c.warmTime)}
	}
	choice := Choice{Server: best.server.Server, Warm: best.warm, InFlight: best.inFlight, EstimatedLatency: clock.Millis(best.estimatedLatency)}
	if excess := b.excessDelay(req, c, best, now); excess > 0 {
		choice.Server, choice.Refused, choice.Reason = Server{}, true, ReasonBusy
		choice.RetryAfter = clampRetryAfter((excess + c.warmTime) * b.retryJitterFactor())
	}
	return choice
}

// rankingSeed is the hash by which an object's servers are ranked. Requests without
// an object are spread.
func (b *Balancer) rankingSeed(req Request) uint64 {
	if req.Object == "" {
		b.hashCounter++
		return mixBits(b.hashCounter * 0x9e3779b97f4a7c15)
	}
	return objectHash(req)
}

// bestCandidate returns the server with the earliest estimated answer, with a bias for
// the first of the ranking.
func (b *Balancer) bestCandidate(ranked []*server, req Request, seed uint64, c *class, now clock.Millis) (*candidate, string) {
	var best *candidate
	var bestCost float64
	reason := ReasonNoServer
	for i, s := range ranked {
		if slices.Contains(req.TriedServers, s.ID) || s.isUnavailable(now) {
			continue
		}
		if s.isCold(now) && !s.hasColdToken(b, now) {
			reason = ReasonCold
			continue
		}
		cand := b.estimateLatency(s, i == 0 || req.Object == "" || s.hasRecentObject(seed, now), c)
		cost := cand.estimatedLatency
		if i == 0 {
			cost *= affinityFactor
		}
		if best == nil || cost < bestCost {
			best, bestCost = &cand, cost
		}
	}
	return best, reason
}

// estimateLatency predicts the time until a server's answer: the trip, the wait for a
// slot, and the work.
func (b *Balancer) estimateLatency(s *server, warm bool, c *class) candidate {
	inFlight := s.localInFlight + s.remoteInFlight
	serviceTime := c.coldTime
	if warm {
		serviceTime = c.warmTime
	}
	serviceTime *= s.slowdown
	queueDelay := c.queueDelay(s, inFlight)
	penalty := staleLoadPenalty * serviceTime * math.Min(1, float64(inFlight)/float64(s.Slots))
	return candidate{server: s, warm: warm, inFlight: inFlight, queueDelay: queueDelay, serviceTime: serviceTime, estimatedLatency: b.rtt(s.Region) + queueDelay + serviceTime + penalty}
}

// queueDelay is the time until a server's slot is free for one more request.
func (c *class) queueDelay(s *server, inFlight int) float64 {
	queued := inFlight + 1 - s.Slots
	if queued <= 0 {
		return 0
	}
	return float64(queued) / float64(s.Slots) * c.warmTime * s.slowdown
}

// Tick does what depends on time alone: it drops old reports, moves the shares
// of regions and lets servers that were slow be tried again.
func (b *Balancer) Tick(now clock.Millis) {
	for host, r := range b.reports {
		if now-r.receivedAt > reportTTL {
			b.addRemoteInFlight(r.InFlight, -1)
			delete(b.reports, host)
		}
	}
	elapsed := now - b.lastTick
	b.lastTick = now
	if elapsed <= 0 || elapsed > maxTickInterval {
		return
	}
	for name, p := range b.pools {
		p.updateShares(b.demandByRegion(name, now), b.cfg, elapsed, now)
	}
	for _, s := range b.servers {
		s.recover(elapsed)
	}
}

// CountRequest notes a request for a service.
func (b *Balancer) CountRequest(service string, now clock.Millis) {
	d := b.demands[service]
	if d == nil {
		d = &rate{updatedAt: now}
		b.demands[service] = d
	}
	d.add(now)
}

// Demands returns this host's requests a second by service.
func (b *Balancer) Demands(now clock.Millis) map[string]float64 {
	out := make(map[string]float64, len(b.demands))
	for name, d := range b.demands {
		out[name] = d.value(now)
	}
	return out
}

// demandByRegion sums the requests a second for a service by the region of the hosts.
func (b *Balancer) demandByRegion(service string, now clock.Millis) map[string]float64 {
	out := make(map[string]float64)
	if d := b.demands[service]; d != nil {
		out[b.cfg.Region] = d.value(now)
	}
	for _, r := range b.reports {
		out[r.Region] += r.Demands[service]
	}
	return out
}

// byScore orders servers with the highest score first, by ID where scores are equal.
func byScore(a, b *server) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
}
