package balancer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

const (
	// ejectionFailureRatio is the failure ratio above which a server is ejected.
	ejectionFailureRatio = 0.5
	// ejectionDuration is the time for which an ejected server gets no requests.
	ejectionDuration clock.Millis = 2000
	// failureWeight is the weight of one result in the failure ratio.
	failureWeight = 0.15
	// minSlowdown and maxSlowdown bound the slowdown of a server.
	minSlowdown, maxSlowdown = 0.5, 20.0
	// slowdownWeight is the weight of one response in a server's slowdown.
	slowdownWeight = 0.3
	// slowdownRecovery is the time constant with which the slowdown of a server without
	// requests returns to 1.
	slowdownRecovery = 12 * clock.Second
	// coldBurst is the number of requests that one host may send to a cold server at once.
	coldBurst = 1.0
	// coldRateMargin keeps the fleet's requests to a cold server below its rate.
	coldRateMargin = 0.8
	// silenceFactor is the multiple of the estimated latency after which a server that has
	// not answered gets a health check.
	silenceFactor = 2
	// meanServiceTimeWeight is the weight of one response in the mean service time of a pool.
	meanServiceTimeWeight = 0.02
)

// server holds the state that a host keeps of a backend server.
type server struct {
	Server
	// localInFlight and remoteInFlight count the requests in flight from this host and
	// from all others.
	localInFlight, remoteInFlight int
	// ejectedUntil is the time until which the server gets no requests.
	ejectedUntil clock.Millis
	// unreachable servers get no requests until a health check has succeeded.
	unreachable  bool
	failureRatio float64
	slowdown     float64
	coldTokens   float64
	coldTokensAt clock.Millis
	// recentObjects maps the hash of each object that the server is warm for to its use.
	recentObjects map[uint64]objectUse
	cachedHash    uint64
	score         float64
	notices       *notices
	silence       silence
	pool          *pool
	// stated is what the server last said of its load.
	stated observer.Statement
	// received is the load that the server last stated to this host itself, at receivedAt.
	received   observer.Load
	receivedAt clock.Millis
	// changes are the recent changes of localInFlight, in order of time.
	changes []inFlightChange
	// loadList is the last call of LoadsSince that returned the server's load.
	loadList uint64
}

func newServer() *server {
	return &server{slowdown: 1, coldTokens: coldBurst, recentObjects: make(map[uint64]objectUse)}
}

func (s *server) hash() uint64 {
	if s.cachedHash == 0 {
		s.cachedHash = xxhash.Sum64String(s.ID)
	}
	return s.cachedHash
}

func (s *server) isUnavailable(now clock.Millis) bool {
	return s.unreachable || s.silence.suspected || s.notices.draining || now < s.ejectedUntil
}

func (s *server) isCold(now clock.Millis) bool { return now < s.ColdUntil }

// recover moves the slowdown towards 1, so that a slow server is tried again.
func (s *server) recover(elapsed clock.Millis) {
	fraction := math.Min(1, float64(elapsed)/float64(slowdownRecovery))
	s.slowdown += (1 - s.slowdown) * fraction
	s.stated.RecoverPace(fraction)
}

// hasColdToken reports whether this host may send a request to a cold server now. Some
// hosts of the server's region may, or of the fleet if the region has none. Each gets an
// equal part of the rate, so that the fleet stays within it without coordination.
func (s *server) hasColdToken(b *Balancer, now clock.Millis) bool {
	hosts, index := b.liveHosts.ByRegion[s.Region], b.liveHosts.RegionIndex
	switch {
	case hosts == 0:
		hosts, index = b.liveHosts.total(), b.liveHosts.FleetIndex
	case s.Region != b.cfg.Region:
		return false
	}
	senders := max(1, hosts)
	if b.cfg.ColdSenders > 0 && senders > b.cfg.ColdSenders {
		offset := (uint64(index) + s.hash()) % uint64(senders)
		if offset >= uint64(b.cfg.ColdSenders) {
			return false
		}
		senders = b.cfg.ColdSenders
	}
	rate := coldRateMargin * s.ColdRate / float64(senders)
	s.coldTokens = math.Min(coldBurst, s.coldTokens+rate*float64(now-s.coldTokensAt)/1000)
	s.coldTokensAt = now
	return s.coldTokens >= 1
}

// Result is the way in which an attempt ended.
type Result int

// Results of an attempt.
const (
	// Answered means that the server answered and did its work.
	Answered Result = iota
	// Failed means that the server answered with a failure of its own.
	Failed
	// Shed means that the server was overloaded and did not run the request.
	Shed
	// Unreachable means that the connection failed.
	Unreachable
	// Abandoned means that the caller ended the attempt.
	Abandoned
	// TimedOut means that the time limit ended the attempt.
	TimedOut
	// Superseded means that another attempt of the request has answered first.
	Superseded
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "unreachable", "abandoned", "timed_out", "superseded"}[r]
}

// StartAttempt records that a request is sent to the chosen server. It reports whether
// this host knows the server to be warm for the object, and true if there is no object.
func (b *Balancer) StartAttempt(c Choice, req Request, now clock.Millis) (knownWarm bool) {
	s := b.servers[c.Server.ID]
	if s == nil {
		return false
	}
	s.changeLocalInFlight(1, now)
	s.silence.start(c, req, now)
	if s.isCold(now) {
		s.coldTokens--
	}
	if s.notices.latest.Limited {
		s.notices.tokens--
	}
	if req.Object == "" {
		return true
	}
	object := objectHash(req)
	knownWarm = s.hasRecentObject(object, now)
	b.useObject(s, object, now)
	return knownWarm
}

// Attempt is a finished attempt to get a response from a server.
type Attempt struct {
	Choice Choice
	Class  string
	// KnownWarm is the value that StartAttempt returned.
	KnownWarm bool
	Result    Result
	// Duration is the time from sending the request to the end of the attempt.
	Duration clock.Millis
	// Notice is what the server said about itself, nil if it is not known.
	Notice *Notice
	// Load is what the server said of its load.
	Load observer.Load
}

// FinishAttempt records how an attempt ended. It reports whether the server's notice has
// changed.
func (b *Balancer) FinishAttempt(a Attempt, now clock.Millis) (noticeChanged bool) {
	s := b.servers[a.Choice.Server.ID]
	if s == nil {
		return false
	}
	if a.Result == Answered || a.Result == Failed {
		// The server still counted the request that it answered.
		a.Load.Running = max(0, a.Load.Running-1)
	}
	s.changeLocalInFlight(-1, now)
	s.silence.end(a, now)
	if a.Notice != nil {
		noticeChanged = s.notices.record(*a.Notice, now)
	}
	b.recordLoad(s, a.Load, now)
	switch a.Result {
	case Answered:
		s.failureRatio *= 1 - failureWeight
		s.notices.recordAnswer(now)
		b.updateServiceTimes(s, a, now)
	case Failed:
		s.failureRatio += failureWeight * (1 - s.failureRatio)
	case Unreachable:
		s.unreachable = true
	case TimedOut:
		// An unresponsive server keeps its connections open. A health check distinguishes it
		// from one that is only slow.
		if a.Duration > silenceFactor*a.Choice.EstimatedLatency && b.mayEject(s, now) {
			s.unreachable = true
		}
	case Superseded:
		b.observeSuperseded(s, a, now)
	case Shed, Abandoned:
	}
	if s.failureRatio > ejectionFailureRatio && b.mayEject(s, now) {
		s.ejectedUntil, s.failureRatio = now+ejectionDuration, ejectionFailureRatio/2
	}
	return noticeChanged
}

// mayEject reports whether a server may be taken out of use. At least half of a
// service's servers stay in use: failures of all servers are no reason to stop serving.
func (b *Balancer) mayEject(s *server, now clock.Millis) bool {
	p := b.pools[s.Service]
	if p == nil {
		return false
	}
	unavailable := 1
	for _, other := range p.servers {
		if other != s && other.isUnavailable(now) {
			unavailable++
		}
	}
	return 2*unavailable <= len(p.servers)
}

// updateServiceTimes updates the service times of the class and the pool and the
// slowdown of the server.
func (b *Balancer) updateServiceTimes(s *server, a Attempt, now clock.Millis) {
	c := b.classes[a.Class]
	if c == nil || s.isCold(now) {
		return
	}
	slowdown := b.currentSlowdown(s, now)
	serviceTime := math.Max(1, float64(a.Duration)-b.rtt(s.Region)-c.queueDelay(s, a.Choice.InFlight, slowdown))
	slotFree := a.Choice.InFlight < s.Slots
	if a.KnownWarm && slotFree {
		// With requests queued, the wait can't be told from a long service time.
		ratio := math.Min(serviceTime/c.warmServiceTime, maxSlowdown)
		s.slowdown += slowdownWeight * (ratio - s.slowdown)
		s.slowdown = math.Min(math.Max(s.slowdown, minSlowdown), maxSlowdown)
		s.stated.ObservePace(a.Choice.Pace, slowdownWeight)
	}
	if slotFree && a.Choice.newObject {
		c.observeNewObject(serviceTime / math.Max(1, b.currentSlowdown(s, now)))
	}
	if slotFree {
		c.observe(serviceTime / math.Max(1, b.currentSlowdown(s, now)))
	}
	if p := b.pools[s.Service]; p != nil {
		if p.meanServiceTime == 0 {
			p.meanServiceTime = serviceTime
		}
		p.meanServiceTime += meanServiceTimeWeight * (serviceTime - p.meanServiceTime)
	}
}

// MarkReachable records a successful health check of a server.
func (b *Balancer) MarkReachable(id string, now clock.Millis) {
	if s := b.servers[id]; s != nil {
		s.unreachable = false
		s.silence.heard()
		s.silence.trustedUntil = now + trustedTime
	}
}

// UnreachableServers returns the servers that need a health check before they get
// requests again.
func (b *Balancer) UnreachableServers(now clock.Millis) []Server {
	var out []Server
	for _, s := range b.servers {
		if (s.unreachable || s.silence.suspected) && !s.notices.draining && now >= s.notices.backoffUntil {
			out = append(out, s.Server)
		}
	}
	return out
}
