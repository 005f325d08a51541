package balancer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// ejectionFailureRatio is the share of failures at which a server gets no more requests.
	ejectionFailureRatio = 0.5
	// ejectionDuration is the time for which it gets none.
	ejectionDuration clock.Millis = 2000
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.15
	// minSlowdown and maxSlowdown bound how slow a server is thought to be.
	minSlowdown, maxSlowdown = 0.5, 20.0
	// slowdownWeight is the weight of one answer in a server's slowness.
	slowdownWeight = 0.3
	// slowdownRecovery is the time in which a server that gets no requests is thought
	// to have recovered for the most part.
	slowdownRecovery = 12 * clock.Second
	// coldBurst is the number of requests that one host may send to a cold server at once.
	coldBurst = 1.0
	// coldRateMargin keeps the fleet's requests to a cold server under its rate.
	coldRateMargin = 0.8
	// recentObjectTTL is the time for which a server is thought to hold an object that it
	// handled, and maxHeld the number of objects noted for each server.
	recentObjectTTL  = 15 * clock.Second
	maxRecentObjects = 512
	// silenceFactor is the number of estimates after which a server without an
	// answer is checked.
	silenceFactor = 2
	// meanServiceTimeWeight is the weight of one answer in the mean work of a service.
	meanServiceTimeWeight = 0.02
)

// server is what a host knows of a backend server.
type server struct {
	Server
	// localInFlight and remoteInFlight are the requests in flight from this host and from all remoteInFlight.
	localInFlight, remoteInFlight int
	// ejectedUntil is the time until which the server gets no requests.
	ejectedUntil clock.Millis
	// unreachable servers get none until a probe has succeeded.
	unreachable  bool
	failureRatio float64
	slowdown     float64
	coldTokens   float64
	coldTokensAt clock.Millis
	// recentObjects are the hashes of objects that this host has sent, with the time.
	recentObjects map[uint64]clock.Millis
	cachedHash    uint64
	score         float64
}

func newServer() *server {
	return &server{slowdown: 1, coldTokens: coldBurst, recentObjects: make(map[uint64]clock.Millis)}
}

func (s *server) hash() uint64 {
	if s.cachedHash == 0 {
		s.cachedHash = xxhash.Sum64String(s.ID)
	}
	return s.cachedHash
}

func (s *server) isUnavailable(now clock.Millis) bool {
	return s.unreachable || now < s.ejectedUntil
}

func (s *server) isCold(now clock.Millis) bool { return now < s.ColdUntil }

// hasRecentObject reports whether this host has sent the object to the server lately.
func (s *server) hasRecentObject(object uint64, now clock.Millis) bool {
	at, ok := s.recentObjects[object]
	return ok && now-at <= recentObjectTTL
}

func (s *server) addRecentObject(object uint64, now clock.Millis) {
	s.recentObjects[object] = now
	if len(s.recentObjects) <= maxRecentObjects {
		return
	}
	for o, at := range s.recentObjects {
		if now-at > recentObjectTTL {
			delete(s.recentObjects, o)
		}
	}
	if len(s.recentObjects) > maxRecentObjects {
		clear(s.recentObjects)
	}
}

// recover lets a slow server be tried again.
func (s *server) recover(elapsed clock.Millis) {
	s.slowdown += (1 - s.slowdown) * math.Min(1, float64(elapsed)/float64(slowdownRecovery))
}

// hasColdToken reports whether this host may send a request to a cold server now.
// Some hosts of its region do, each with an equal part of the rate, so that the
// fleet keeps the bound without exchanging messages.
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

// Result says how an exchange with a server ended.
type Result int

// The results of an exchange.
const (
	// Answered means that the server answered and did its work.
	Answered Result = iota
	// Failed means that the server answered with a failure of its own.
	Failed
	// Shed means that the server was full and did not run the request.
	Shed
	// Unreachable means that the connection failed.
	Unreachable
	// Abandoned means that the caller ended the exchange.
	Abandoned
	// TimedOut means that the time limit ended the exchange.
	TimedOut
)

// String names the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "unreachable", "abandoned", "timed_out"}[r]
}

// StartAttempt notes that a request is sent to the chosen server. It returns whether
// this host knows that the server holds the object.
func (b *Balancer) StartAttempt(c Choice, req Request, now clock.Millis) (knownWarm bool) {
	s := b.servers[c.Server.ID]
	if s == nil {
		return false
	}
	s.localInFlight++
	if s.isCold(now) {
		s.coldTokens--
	}
	if req.Object == "" {
		return true
	}
	object := objectHash(req)
	knownWarm = s.hasRecentObject(object, now)
	s.addRecentObject(object, now)
	return knownWarm
}

// Attempt is a finished exchange with a server.
type Attempt struct {
	Choice Choice
	Class  string
	// KnownWarm says that the server was known to hold the object.
	KnownWarm bool
	Result    Result
	// Duration is the time from sending the request to the answer.
	Duration clock.Millis
}

// FinishAttempt notes how an exchange ended.
func (b *Balancer) FinishAttempt(a Attempt, now clock.Millis) {
	s := b.servers[a.Choice.Server.ID]
	if s == nil {
		return
	}
	s.localInFlight = max(0, s.localInFlight-1)
	switch a.Result {
	case Answered:
		s.failureRatio *= 1 - failureWeight
		b.updateServiceTimes(s, a, now)
	case Failed:
		s.failureRatio += failureWeight * (1 - s.failureRatio)
	case Unreachable:
		s.unreachable = true
	case TimedOut:
		// A server that fell silent keeps its connections open. A health check tells
		// it from one that is only slow.
		if a.Duration > silenceFactor*a.Choice.EstimatedLatency && b.mayEject(s, now) {
			s.unreachable = true
		}
	case Shed, Abandoned:
	}
	if s.failureRatio > ejectionFailureRatio && b.mayEject(s, now) {
		s.ejectedUntil, s.failureRatio = now+ejectionDuration, ejectionFailureRatio/2
	}
}

// mayEject keeps at least half of a service's servers in use: failures of all
// servers are no reason to stop serving.
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

// updateServiceTimes updates the work times of the class and the service and the slowness
// of the server.
func (b *Balancer) updateServiceTimes(s *server, a Attempt, now clock.Millis) {
	c := b.classes[a.Class]
	if c == nil || s.isCold(now) {
		return
	}
	serviceTime := math.Max(1, float64(a.Duration)-b.rtt(s.Region)-c.queueDelay(s, a.Choice.InFlight))
	slotFree := a.Choice.InFlight < s.Slots
	if a.KnownWarm && slotFree {
		// Behind a queue the wait can't be told from slow work.
		ratio := math.Min(serviceTime/c.warmTime, maxSlowdown)
		s.slowdown += slowdownWeight * (ratio - s.slowdown)
		s.slowdown = math.Min(math.Max(s.slowdown, minSlowdown), maxSlowdown)
	}
	if slotFree {
		c.observe(serviceTime / math.Max(1, s.slowdown))
	}
	if p := b.pools[s.Service]; p != nil {
		if p.meanServiceTime == 0 {
			p.meanServiceTime = serviceTime
		}
		p.meanServiceTime += meanServiceTimeWeight * (serviceTime - p.meanServiceTime)
	}
}

// MarkReachable notes that a health check of a server succeeded.
func (b *Balancer) MarkReachable(id string) {
	if s := b.servers[id]; s != nil {
		s.unreachable = false
	}
}

// UnreachableServers returns the servers that need a health check before they are used again.
func (b *Balancer) UnreachableServers() []Server {
	var out []Server
	for _, s := range b.servers {
		if s.unreachable {
			out = append(out, s.Server)
		}
	}
	return out
}
