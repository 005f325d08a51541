// Package balancer chooses the backend server for each request and refuses requests
// that no server can answer in time. It does no I/O: the caller passes the time and
// serializes the calls.
package balancer

import (
	"cmp"
	"math"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

// Reasons for refusing a request.
const (
	ReasonNoServer = "no_server"
	ReasonBusy     = "busy"
	ReasonCold     = "cold"
	// ReasonLimited means that the rate limits that the servers advertise are used up.
	ReasonLimited = "limited"
	// ReasonBackoff means that the servers back off.
	ReasonBackoff = "backoff"
)

const (
	// reportTTL is the age at which the load report of another host is dropped. In a
	// fleet of 100, a host of another region reports about every 2 s.
	reportTTL = 3 * clock.Second
	// defaultRegionRTT is the round-trip time in ms between regions before the first
	// measurement.
	defaultRegionRTT = 40.0
	// localRTT is the round-trip time in ms within a region.
	localRTT = 1.0
	// rttWeight is the weight of one measurement in the average round-trip time.
	rttWeight = 0.2
	// preferredServers is the number of an object's top-ranked servers that are compared
	// first. The others are considered if none of these can answer in time.
	preferredServers = 3
	// affinityFactor scales the estimated latency of an object's top-ranked server, so
	// that objects stay on the servers that are warm for them.
	affinityFactor = 0.8
	// idleFactor scales the estimated latency of a server that must warm up for the object
	// and has most of its slots free. maxIdleTimeFraction is the fraction of the time left
	// in which its response must be expected.
	idleFactor, maxIdleTimeFraction = 0.6, 0.8
	// staleLoadPenalty is the fraction of the service time that is added to the estimate
	// for a fully loaded server, because reports of other hosts are still under way.
	staleLoadPenalty = 0.1
)

// Server describes a backend server that may get requests.
type Server struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Region    string
	Slots     int
	ColdUntil clock.Millis
	// ColdRate is the number of requests per second that the fleet may send while the
	// server is cold.
	ColdRate float64
	// StartUnixMs is the time of the server's start in Unix milliseconds, 0 if unknown.
	StartUnixMs int64
}

// Request holds the properties of a request that decide its placement.
type Request struct {
	Service string
	// Class groups requests with similar service times, such as those of one route.
	Class string
	// Object identifies the object that the request concerns; empty if there is none.
	Object string
	// AllowedRegions are the regions that may serve the request; nil allows all.
	AllowedRegions []string
	// AttemptedServers are the IDs of the servers of earlier attempts, including those
	// that did not get the request.
	AttemptedServers []string
	// TargetLatency is the time left in which a response has its full value.
	TargetLatency clock.Millis
	// TimeLeft is the time left in which a response is of any use.
	TimeLeft clock.Millis
	// Priority orders requests when capacity is short; 0 is the most urgent.
	Priority float64
	// Workspace is the caller's workspace, empty if there is none.
	Workspace string
	// CallerTimeout is the time that the caller allowed for the request, 0 if it named
	// none. A caller that retries after a refusal allows less than others.
	CallerTimeout clock.Millis
	// Repeatable requests may be sent again while a server may run them.
	Repeatable bool
	// Second marks a second attempt beside the first one. It is refused unless a server that
	// is warm for the object has a free slot and can answer in time: warming up another one
	// takes the work of several requests, and has cost others more than it brought. A server
	// that has just started gets none either: the few requests that it takes are others'.
	Second bool
	// LeavesSilent marks a second attempt of a request whose server has fallen silent. It may
	// go to a server that must warm up: the first attempt is not expected to be answered.
	LeavesSilent bool
}

// Choice is the result of a placement decision.
type Choice struct {
	Server Server
	// Refused means that no server can serve the request; Reason says why, and
	// RetryAfter when the caller may retry.
	Refused    bool
	Reason     string
	RetryAfter clock.Millis
	// Warm means that the server is expected to be fast for the object.
	Warm bool
	// InFlight is the number of requests that the server was assumed to have, and
	// EstimatedLatency the time in which its response was expected.
	InFlight         int
	EstimatedLatency clock.Millis
	// Stated is the load that the server last stated, StatedAge the time since, and Pace the
	// pace that was expected of it.
	Stated    observer.Load
	StatedAge clock.Millis
	Pace      float64
	// Second is that of the request.
	Second bool
	// newObject means that the object had no known placement, and that the server is the one
	// that it should go to.
	newObject bool
	// wait follows an attempt that may be repeated until the server is heard of.
	wait *wait
}

// Config configures a Balancer.
type Config struct {
	// Region is the region of this host.
	Region string
	// ShiftRate is the largest change per second in the share of a region's requests
	// that another region serves.
	ShiftRate float64
	// ColdSenders limits the hosts that send requests to one cold server, because each of
	// them may start with one at the same time; 0 allows all hosts of its region.
	ColdSenders int
}

// LiveHosts counts the live hosts of the fleet, including this one.
type LiveHosts struct {
	ByRegion map[string]int
	// RegionIndex and FleetIndex are the numbers of hosts of this region and of the
	// fleet that come before this one.
	RegionIndex, FleetIndex int
	// Preceding counts the hosts that come before this one by region.
	Preceding map[string]int
}

func (h LiveHosts) total() int {
	sum := 0
	for _, n := range h.ByRegion {
		sum += n
	}
	return sum
}

// Balancer tracks the load of the backend servers as one host sees it.
type Balancer struct {
	cfg     Config
	servers map[string]*server
	pools   map[string]*pool
	classes map[string]*class
	reports map[string]LoadReport
	rtts    map[string]float64
	demands map[string]*rate
	// notices is kept by server ID.
	notices   map[string]*notices
	liveHosts LiveHosts
	// hostCount is the number of hosts among which rate limits are divided: the largest
	// number of live hosts in a recent period, and hostCountAt the last time at which it was.
	hostCount   int
	hostCountAt clock.Millis
	lastTick    clock.Millis
	// announcements are the placements to announce, in order of time.
	announcements []announcement
	purgedAt      clock.Millis
	observer      *observer.Observer
	// loads are the statements of servers to share with others, in order of time.
	loads []loadStatement
	// loadLists counts the calls of LoadsSince.
	loadLists uint64
	// reportAge is the mean age of the reports of other hosts.
	reportAge clock.Millis
	// hashCounter is the input of the next pseudo-random hash, for the ranking of requests
	// without an object and for the jitter of RetryAfter.
	hashCounter uint64
	// newlySuspected are the servers suspected since the last call of TakeSuspected.
	newlySuspected []string
	// deprioritized counts the requests that were refused only because more urgent ones or other
	// workspaces went first.
	deprioritized int64
}

// LoadReport is the load that another host reports.
type LoadReport struct {
	Region string
	// InFlight is the number of its requests in flight by server ID.
	InFlight map[string]int
	// Demands is its number of requests per second by service.
	Demands    map[string]float64
	receivedAt clock.Millis
}

// New returns a Balancer without servers.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, servers: make(map[string]*server), pools: make(map[string]*pool),
		classes: make(map[string]*class), reports: make(map[string]LoadReport), rtts: make(map[string]float64),
		demands: make(map[string]*rate), notices: make(map[string]*notices), observer: observer.New(), liveHosts: LiveHosts{ByRegion: map[string]int{cfg.Region: 1}},
	}
}

// SetServers replaces the servers that may get requests. The statistics of servers
// that remain are kept.
func (b *Balancer) SetServers(list []Server) {
	servers := make(map[string]*server, len(list))
	pools := make(map[string]*pool)
	for _, info := range list {
		s := b.servers[info.ID]
		if s == nil || s.Address != info.Address || s.Service != info.Service {
			s = newServer()
		} else if s.StartUnixMs != info.StartUnixMs {
			s.stated, s.received = observer.Statement{}, observer.Load{}
		}
		s.Server, s.remoteInFlight, s.notices = info, 0, b.noticesOf(info)
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

// SetLoadReport replaces the load report of another host.
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

// SetLiveHosts replaces the counts of live hosts.
func (b *Balancer) SetLiveHosts(hosts LiveHosts) { b.liveHosts = hosts }

// RecordRTT records a measured round-trip time to a region in milliseconds.
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

// InFlight returns the number of this host's requests in flight by server ID.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for id, s := range b.servers {
		if s.localInFlight > 0 {
			inFlight[id] = s.localInFlight
		}
	}
	return inFlight
}

// Choose picks the server for a request or refuses it. The caller calls StartAttempt
// when it sends the request and FinishAttempt when the attempt has ended.
//
// It is designed for many objects, each of which is faster at servers that handled it
// recently, for regions with more demand than capacity, and for hosts that see only a
// part of the load. All hosts of a region rank the servers for an object alike, so
// that few servers must warm up for it. A request goes to a lower-ranked server if the
// top-ranked one can't answer in time or would answer much later.
func (b *Balancer) Choose(req Request, now clock.Millis) Choice {
	p := b.pools[req.Service]
	if p == nil {
		return Choice{Refused: true, Reason: ReasonNoServer, RetryAfter: clock.Second}
	}
	c := b.classFor(req)
	b.updateReportWeight(p, c)
	seed := b.rankingSeed(req)
	ranked := p.rankServers(seed, req.AllowedRegions)
	best, home, reason := b.bestServer(p, ranked, req, seed, c, now)
	if best == nil && (reason == ReasonLimited || reason == ReasonBackoff) {
		delay := b.noticeDelay(ranked, req, now) + float64(minRetryAfter)*b.retryJitterFactor()
		return Choice{Refused: true, Reason: reason, RetryAfter: clock.Millis(math.Ceil(delay))}
	}
	if best == nil {
		return Choice{Refused: true, Reason: reason, RetryAfter: clampRetryAfter(c.warmServiceTime)}
	}
	choice := Choice{Server: best.server.Server, Warm: best.warm, InFlight: best.inFlight, EstimatedLatency: clock.Millis(best.estimatedLatency), newObject: best.server == home}
	choice.Stated, choice.Pace = best.server.stated.Load(), b.observer.Pace(&best.server.stated, now)
	choice.StatedAge, _ = best.server.stated.Age(now)
	if req.Second {
		if (!best.warm && !req.LeavesSilent) || best.server.isCold(now) || best.queueDelay > 0 || p.standingQueue.isStanding(now) || best.estimatedLatency > maxTimeLeftFactor*float64(req.TimeLeft) {
			return Choice{Refused: true, Reason: ReasonBusy, RetryAfter: minRetryAfter}
		}
		choice.wait, choice.Second = &wait{}, true
		return choice
	}
	if excess := b.excessDelay(req, c, best, now); excess > 0 {
		choice.Server, choice.Refused, choice.Reason = Server{}, true, ReasonBusy
		choice.RetryAfter = clampRetryAfter((excess + c.warmServiceTime) * b.retryJitterFactor())
	} else if req.Repeatable {
		choice.wait = &wait{}
	}
	return choice
}

// rankingSeed returns the hash by which the servers are ranked for a request. It differs
// for each request without an object, which spreads them over the servers.
func (b *Balancer) rankingSeed(req Request) uint64 {
	if req.Object == "" {
		b.hashCounter++
		return mixBits(b.hashCounter * 0x9e3779b97f4a7c15)
	}
	return objectHash(req)
}

// Tick drops old load reports, moves the shares of the regions and lets servers that
// were slow be tried again. It is called periodically.
func (b *Balancer) Tick(now clock.Millis) {
	for host, r := range b.reports {
		if now-r.receivedAt > reportTTL {
			b.addRemoteInFlight(r.InFlight, -1)
			delete(b.reports, host)
		}
	}
	b.updateReportAge(now)
	b.holdHostCount(now)
	elapsed, lastTick := now-b.lastTick, b.lastTick
	b.lastTick = now
	frozen := elapsed > lateTickInterval
	if frozen {
		for _, s := range b.servers {
			s.silence.postpone(elapsed-usualTickInterval, lastTick)
		}
	}
	if elapsed <= 0 || elapsed > maxTickInterval {
		return
	}
	for name, p := range b.pools {
		p.updateShares(b.demandByRegion(name, now), b.cfg, elapsed, now)
	}
	for _, s := range b.servers {
		s.recover(elapsed)
		if !frozen {
			b.suspectSilent(s, now)
		}
	}
	b.purgePlacements(now)
	b.purgeNotices(now)
	b.purgeLoads(now)
}

// CountRequest adds a request to the demand for a service.
func (b *Balancer) CountRequest(service string, now clock.Millis) {
	d := b.demands[service]
	if d == nil {
		d = &rate{updatedAt: now}
		b.demands[service] = d
	}
	d.add(now)
}

// Deprioritized returns the number of requests that were refused only because more urgent ones or
// those of other workspaces went first.
func (b *Balancer) Deprioritized() int64 { return b.deprioritized }

// Demands returns this host's number of requests per second by service.
func (b *Balancer) Demands(now clock.Millis) map[string]float64 {
	out := make(map[string]float64, len(b.demands))
	for name, d := range b.demands {
		out[name] = d.value(now)
	}
	return out
}

// demandByRegion returns the number of requests per second for a service by the region
// of the hosts that received them.
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

// byScore orders servers by descending score, and by ID if the scores are equal.
func byScore(a, b *server) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
}
