package balancer

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// ejectionRate is the share of failures at which a server gets no more requests.
	ejectionRate = 0.5
	// ejectionTime is the time for which it gets none.
	ejectionTime clock.Millis = 2000
	// outcomeWeight is the weight of one outcome in the share of failures.
	outcomeWeight = 0.15
	// minSlowness and maxSlowness bound how slow a server is thought to be.
	minSlowness, maxSlowness = 0.5, 20.0
	// slownessWeight is the weight of one answer in a server's slowness.
	slownessWeight = 0.3
	// slownessLife is the time in which a server that gets no requests is thought
	// to have recovered for the most part.
	slownessLife = 12 * clock.Second
	// coldBurst is the number of requests that one host may send to a cold server at once.
	coldBurst = 1.0
	// coldMargin keeps the fleet's requests to a cold server under its rate.
	coldMargin = 0.8
	// heldTime is the time for which a server is thought to hold an object that it
	// handled, and maxHeld the number of objects noted for each server.
	heldTime = 15 * clock.Second
	maxHeld  = 512
	// silentEstimates is the number of estimates after which a server without an
	// answer is checked.
	silentEstimates = 2
	// workWeight is the weight of one answer in the mean work of a service.
	workWeight = 0.02
)

// server is what a host knows of a backend server.
type server struct {
	Server
	// own and others are the requests in flight from this host and from all others.
	own, others int
	// downUntil is the time until which the server gets no requests.
	downUntil clock.Millis
	// unreachable servers get none until a probe has succeeded.
	unreachable bool
	failures    float64
	slowness    float64
	coldTokens  float64
	coldAt      clock.Millis
	// held are the hashes of objects that this host has sent, with the time.
	held   map[uint64]clock.Millis
	idHash uint64
	score  float64
}

func newServer() *server {
	return &server{slowness: 1, coldTokens: coldBurst, held: make(map[uint64]clock.Millis)}
}

func (s *server) hash() uint64 {
	if s.idHash == 0 {
		s.idHash = xxhash.Sum64String(s.ID)
	}
	return s.idHash
}

func (s *server) down(now clock.Millis) bool {
	return s.unreachable || now < s.downUntil
}

func (s *server) isCold(now clock.Millis) bool { return now < s.ColdUntil }

// holds reports whether this host has sent the object to the server lately.
func (s *server) holds(object uint64, now clock.Millis) bool {
	at, ok := s.held[object]
	return ok && now-at <= heldTime
}

func (s *server) hold(object uint64, now clock.Millis) {
	s.held[object] = now
	if len(s.held) <= maxHeld {
		return
	}
	for o, at := range s.held {
		if now-at > heldTime {
			delete(s.held, o)
		}
	}
	if len(s.held) > maxHeld {
		clear(s.held)
	}
}

// recover lets a slow server be tried again.
func (s *server) recover(elapsed clock.Millis) {
	s.slowness += (1 - s.slowness) * math.Min(1, float64(elapsed)/float64(slownessLife))
}

// hasColdToken reports whether this host may send a request to a cold server now.
// Some hosts of its region do, each with an equal part of the rate, so that the
// fleet keeps the bound without exchanging messages.
func (s *server) hasColdToken(b *Balancer, now clock.Millis) bool {
	hosts, position := b.hosts.ByRegion[s.Region], b.hosts.RegionIndex
	switch {
	case hosts == 0:
		hosts, position = b.hosts.total(), b.hosts.FleetIndex
	case s.Region != b.cfg.Region:
		return false
	}
	senders := max(1, hosts)
	if b.cfg.ColdSenders > 0 && senders > b.cfg.ColdSenders {
		turn := (uint64(position) + s.hash()) % uint64(senders)
		if turn >= uint64(b.cfg.ColdSenders) {
			return false
		}
		senders = b.cfg.ColdSenders
	}
	rate := coldMargin * s.ColdRate / float64(senders)
	s.coldTokens = math.Min(coldBurst, s.coldTokens+rate*float64(now-s.coldAt)/1000)
	s.coldAt = now
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
func (b *Balancer) StartAttempt(c Choice, req Request, now clock.Millis) (known bool) {
	s := b.servers[c.Server.ID]
	if s == nil {
		return false
	}
	s.own++
	if s.isCold(now) {
		s.coldTokens--
	}
	if req.Object == "" {
		return true
	}
	object := objectHash(req)
	known = s.holds(object, now)
	s.hold(object, now)
	return known
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
func (b *Balancer) FinishAttempt(x Attempt, now clock.Millis) {
	s := b.servers[x.Choice.Server.ID]
	if s == nil {
		return
	}
	s.own = max(0, s.own-1)
	switch x.Result {
	case Answered:
		s.failures *= 1 - outcomeWeight
		b.learn(s, x, now)
	case Failed:
		s.failures += outcomeWeight * (1 - s.failures)
	case Unreachable:
		s.unreachable = true
	case TimedOut:
		// A server that fell silent keeps its connections open. A health check tells
		// it from one that is only slow.
		if x.Duration > silentEstimates*x.Choice.EstimatedLatency && b.mayEject(s, now) {
			s.unreachable = true
		}
	case Shed, Abandoned:
	}
	if s.failures > ejectionRate && b.mayEject(s, now) {
		s.downUntil, s.failures = now+ejectionTime, ejectionRate/2
	}
}

// mayEject keeps at least half of a service's servers in use: failures of all
// servers are no reason to stop serving.
func (b *Balancer) mayEject(s *server, now clock.Millis) bool {
	p := b.pools[s.Service]
	if p == nil {
		return false
	}
	down := 1
	for _, other := range p.servers {
		if other != s && other.down(now) {
			down++
		}
	}
	return 2*down <= len(p.servers)
}

// learn updates the work times of the class and the service and the slowness
// of the server.
func (b *Balancer) learn(s *server, x Attempt, now clock.Millis) {
	c := b.classes[x.Class]
	if c == nil || s.isCold(now) {
		return
	}
	work := math.Max(1, float64(x.Duration)-b.trip(s.Region)-c.wait(s, x.Choice.InFlight))
	free := x.Choice.InFlight < s.Slots
	if x.KnownWarm && free {
		// Behind a queue the wait can't be told from slow work.
		ratio := math.Min(work/c.warm, maxSlowness)
		s.slowness += slownessWeight * (ratio - s.slowness)
		s.slowness = math.Min(math.Max(s.slowness, minSlowness), maxSlowness)
	}
	if free {
		c.learn(work / math.Max(1, s.slowness))
	}
	if p := b.pools[s.Service]; p != nil {
		if p.work == 0 {
			p.work = work
		}
		p.work += workWeight * (work - p.work)
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
