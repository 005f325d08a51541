package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// coldFactor is how much longer an object takes at a server that has not
	// handled it lately, before both times were measured.
	coldFactor = 3.0
	// classWeight is the weight of one answer in a class's work times.
	classWeight = 0.05
	// minColdFactor keeps the two times of a class apart.
	minColdFactor = 1.2
)

// class is what is known of requests of one kind.
type class struct {
	// warm and cold are the times of the work at a server that holds the object
	// and at one that does not, in milliseconds.
	warm, cold float64
	// usual is the time that callers give their first requests, in milliseconds.
	usual float64
}

const (
	// usualLife is the number of requests over which a longer time is remembered.
	usualLife = 500.0
	// returnPart is the part of the usual time below which a request is taken for
	// one that comes back.
	returnPart = 0.95
)

// comesBack reports whether a caller seems to come back after a refusal.
func (c *class) comesBack(req Request) bool {
	stated := float64(req.CallerTimeout)
	if stated <= 0 {
		return false
	}
	c.usual = math.Max(stated, c.usual*(1-1/usualLife))
	return stated < returnPart*c.usual
}

func (b *Balancer) class(req Request) *class {
	c := b.classes[req.Class]
	if c == nil {
		warm := math.Max(1, float64(req.TargetLatency)/2)
		c = &class{warm: warm, cold: warm * coldFactor}
		b.classes[req.Class] = c
	}
	return c
}

// learn moves the nearer of the two times towards a measured one.
func (c *class) learn(work float64) {
	if work < math.Sqrt(c.warm*c.cold) {
		c.warm += classWeight * (work - c.warm)
	} else {
		c.cold += classWeight * (work - c.cold)
	}
	c.cold = max(c.cold, minColdFactor*c.warm)
}

// demandLife is the time over which demands are averaged. It is longer than a
// burst, so that regions do not shift back and forth with one.
const demandLife clock.Millis = 4000

// rate is a discounted number of events a second.
type rate struct {
	perSecond float64
	at        clock.Millis
}

func (r *rate) value(now clock.Millis) float64 {
	r.perSecond *= math.Exp(-float64(now-r.at) / float64(demandLife))
	r.at = now
	return r.perSecond
}

func (r *rate) add(now clock.Millis) { r.perSecond = r.value(now) + 1000/float64(demandLife) }

// pool is the servers of one service.
type pool struct {
	servers []*server
	slots   map[string]float64
	// weights are the shares of this region's requests by serving region.
	weights map[string]float64
	// moving says that the weights move towards their target.
	moving bool
	// usualSlots are the slots by region that were there until lately, and lostAt the
	// times at which regions have lost many of them.
	usualSlots map[string]float64
	lostAt     map[string]clock.Millis
	// work is the mean time that a request takes a slot, in milliseconds.
	work  float64
	queue queue
}

func newPool(old *pool) *pool {
	p := &pool{slots: make(map[string]float64), lostAt: make(map[string]clock.Millis)}
	if old != nil {
		p.weights, p.work, p.moving, p.queue = old.weights, old.work, old.moving, old.queue
		p.usualSlots, p.lostAt = old.usualSlots, old.lostAt
	}
	return p
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slots[s.Region] += float64(s.Slots)
}

// rank orders the servers that may serve a request by weighted rendezvous
// hashing, so that all hosts of a region agree and a change of a weight or of
// the servers moves few objects.
func (p *pool) rank(seed uint64, homes []string) []*server {
	out := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		if homes != nil && !slices.Contains(homes, s.Region) {
			continue
		}
		weight := math.Max(p.weights[s.Region], minWeight) * float64(s.Slots) / p.slots[s.Region]
		s.score = -weight / math.Log(unit(mix(seed^s.hash())))
		out = append(out, s)
	}
	slices.SortFunc(out, byScore)
	return out
}

func objectHash(req Request) uint64 {
	return xxhash.Sum64String(req.Class + "\x00" + req.Object)
}

// unit converts a hash to a number above 0 and below 1.
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// mix is the finalizer of splitmix64, which spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
