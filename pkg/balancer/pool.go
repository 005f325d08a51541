package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// defaultColdFactor is how much longer an object takes at a server that has not
	// handled it lately, before both times were measured.
	defaultColdFactor = 3.0
	// serviceTimeWeight is the weight of one answer in a class's work times.
	serviceTimeWeight = 0.05
	// minColdFactor keeps the two times of a class apart.
	minColdFactor = 1.2
)

// class is what is known of requests of one kind.
type class struct {
	// warmTime and coldTime are the times of the work at a server that holds the object
	// and at one that does not, in milliseconds.
	warmTime, coldTime float64
	// usualTimeout is the time that callers give their first requests, in milliseconds.
	usualTimeout float64
}

const (
	// usualTimeoutDecay is the number of requests over which a longer time is remembered.
	usualTimeoutDecay = 500.0
	// retryTimeoutFactor is the part of the usual time below which a request is taken for
	// one that comes back.
	retryTimeoutFactor = 0.95
)

// isRetry reports whether a caller seems to come back after a refusal.
func (c *class) isRetry(req Request) bool {
	timeout := float64(req.CallerTimeout)
	if timeout <= 0 {
		return false
	}
	c.usualTimeout = math.Max(timeout, c.usualTimeout*(1-1/usualTimeoutDecay))
	return timeout < retryTimeoutFactor*c.usualTimeout
}

func (b *Balancer) classFor(req Request) *class {
	c := b.classes[req.Class]
	if c == nil {
		warmTime := math.Max(1, float64(req.TargetLatency)/2)
		c = &class{warmTime: warmTime, coldTime: warmTime * defaultColdFactor}
		b.classes[req.Class] = c
	}
	return c
}

// observe moves the nearer of the two times towards a measured one.
func (c *class) observe(serviceTime float64) {
	if serviceTime < math.Sqrt(c.warmTime*c.coldTime) {
		c.warmTime += serviceTimeWeight * (serviceTime - c.warmTime)
	} else {
		c.coldTime += serviceTimeWeight * (serviceTime - c.coldTime)
	}
	c.coldTime = max(c.coldTime, minColdFactor*c.warmTime)
}

// demandPeriod is the time over which demands are averaged. It is longer than a
// burst, so that regions do not shift back and forth with one.
const demandPeriod clock.Millis = 4000

// rate is a discounted number of events a second.
type rate struct {
	perSecond float64
	updatedAt clock.Millis
}

func (r *rate) value(now clock.Millis) float64 {
	r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(demandPeriod))
	r.updatedAt = now
	return r.perSecond
}

func (r *rate) add(now clock.Millis) { r.perSecond = r.value(now) + 1000/float64(demandPeriod) }

// pool is the servers of one service.
type pool struct {
	servers       []*server
	slotsByRegion map[string]float64
	// shares are the shares of this region's requests by serving region.
	shares map[string]float64
	// shifting says that the weights move towards their target.
	shifting bool
	// baselineSlots are the slots by region that were there until lately, and lostAt the
	// times at which regions have lost many of them.
	baselineSlots map[string]float64
	slotLossAt    map[string]clock.Millis
	// meanServiceTime is the mean time that a request takes a slot, in milliseconds.
	meanServiceTime float64
	standingQueue   standingQueue
}

func newPool(old *pool) *pool {
	p := &pool{slotsByRegion: make(map[string]float64), slotLossAt: make(map[string]clock.Millis)}
	if old != nil {
		p.shares, p.meanServiceTime, p.shifting, p.standingQueue = old.shares, old.meanServiceTime, old.shifting, old.standingQueue
		p.baselineSlots, p.slotLossAt = old.baselineSlots, old.slotLossAt
	}
	return p
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slotsByRegion[s.Region] += float64(s.Slots)
}

// rankServers orders the servers that may serve a request by weighted rendezvous
// hashing, so that all hosts of a region agree and a change of a weight or of
// the servers moves few objects.
func (p *pool) rankServers(seed uint64, allowedRegions []string) []*server {
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		if allowedRegions != nil && !slices.Contains(allowedRegions, s.Region) {
			continue
		}
		weight := math.Max(p.shares[s.Region], minShare) * float64(s.Slots) / p.slotsByRegion[s.Region]
		s.score = -weight / math.Log(unitFloat(mixBits(seed^s.hash())))
		out = append(out, s)
	}
	slices.SortFunc(out, byScore)
	return out
}

func objectHash(req Request) uint64 {
	return xxhash.Sum64String(req.Class + "\x00" + req.Object)
}

// unitFloat converts a hash to a number above 0 and below 1.
func unitFloat(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// mixBits is the finalizer of splitmix64, which spreads the bits of a combined hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
