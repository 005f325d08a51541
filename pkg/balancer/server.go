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
	// maxSlowness bounds how slow a server is thought to be.
	maxSlowness = 20.0
	// slownessWeight is the weight of one answer in a server's slowness.
	slownessWeight = 0.15
	// coldBurst is the number of requests that one host may send to a cold server at once.
	coldBurst = 1.0
	// coldMargin keeps the fleet's requests to a cold server under its rate.
	coldMargin = 0.8
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
	idHash      uint64
	score       uint64
}

func newServer() *server { return &server{slowness: 1, coldTokens: coldBurst} }

func (s *server) hash() uint64 {
	if s.idHash == 0 {
		s.idHash = xxhash.Sum64String(s.ID)
	}
	return s.idHash
}

func (s *server) down(now clock.Millis) bool { return s.unreachable || now < s.downUntil }

func (s *server) isCold(now clock.Millis) bool { return now < s.ColdUntil }

// coldToken reports whether this host may send a request to a cold server now.
// Only the hosts of its region do, each with an equal part of the rate, so that
// the fleet keeps the bound without exchanging messages.
func (s *server) coldToken(b *Balancer, now clock.Millis) bool {
	hosts := b.regionHosts[s.Region]
	switch {
	case hosts == 0:
		for _, n := range b.regionHosts {
			hosts += n
		}
	case s.Region != b.cfg.Region:
		return false
	}
	rate := coldMargin * s.ColdRate / float64(max(1, hosts))
	s.coldTokens = min(coldBurst, s.coldTokens+rate*float64(now-s.coldAt)/1000)
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
	// Abandoned means that the caller or the deadline ended the exchange.
	Abandoned
)

// Start notes that a request is sent to a server.
func (b *Balancer) Start(id string, now clock.Millis) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.own++
	if s.isCold(now) {
		s.coldTokens--
	}
}

// Done notes how an exchange ended and how long it took.
func (b *Balancer) Done(id, className string, warm bool, load int, res Result, took, now clock.Millis) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.own = max(0, s.own-1)
	switch res {
	case Answered:
		s.failures *= 1 - outcomeWeight
		b.learn(s, className, warm, load, float64(took), now)
	case Failed:
		s.failures += outcomeWeight * (1 - s.failures)
	case Unreachable:
		s.unreachable = true
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
	total, down := 0, 0
	for _, servers := range p.regions {
		for _, other := range servers {
			total++
			if other.down(now) {
				down++
			}
		}
	}
	return 2*(down+1) <= total
}

// learn updates the work time of the class and the slowness of the server.
func (b *Balancer) learn(s *server, className string, warm bool, load int, took float64, now clock.Millis) {
	c := b.classes[className]
	if c == nil {
		return
	}
	work := took - b.trip(s.Region)
	if work <= 0 {
		work = 1
	}
	expected := c.cold
	if warm {
		expected = c.warm
	}
	if over := load + 1 - s.Slots; over > 0 {
		expected += float64(over) / float64(s.Slots) * c.warm
	}
	if !s.isCold(now) {
		ratio := math.Min(work/math.Max(expected, 1), maxSlowness)
		s.slowness += slownessWeight * (ratio - s.slowness)
		s.slowness = math.Min(math.Max(s.slowness, 0.5), maxSlowness)
		if load < s.Slots {
			c.learn(warm, work/math.Max(s.slowness, 0.5))
		}
	}
}

// Probed notes the result of a health check; cold is the time for which the
// server says that it stays cold.
func (b *Balancer) Probed(id string, healthy bool) {
	if s := b.servers[id]; s != nil && healthy {
		s.unreachable = false
	}
}

// Unreachable returns the servers that need a health check before they are used again.
func (b *Balancer) Unreachable() []Server {
	var out []Server
	for _, s := range b.servers {
		if s.unreachable {
			out = append(out, s.Server)
		}
	}
	return out
}
