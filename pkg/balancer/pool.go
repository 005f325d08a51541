package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/admitter"
	"catkindyke/pkg/clock"
)

const (
	// defaultColdFactor is the ratio of cold to warm service time before both were
	// measured.
	defaultColdFactor = 3.0
	// serviceTimeWeight is the weight of one response in the service times of a class.
	serviceTimeWeight = 0.05
	// minColdFactor is the smallest ratio of cold to warm service time. It keeps the two
	// estimates of a class apart.
	minColdFactor = 1.2
	// initialColdness is newObjectColdness before the first response. After a start of the
	// whole fleet the servers may be warm or not.
	initialColdness = 0.5
	// coldnessWeight is the weight of one response in newObjectColdness.
	coldnessWeight = 0.1
)

// class holds the statistics of one class of requests.
type class struct {
	// warmServiceTime and coldServiceTime are the service times in ms at servers that
	// handled the object recently and at all others.
	warmServiceTime, coldServiceTime float64
	// newObjectColdness is the fraction of objects without a known placement for which the
	// server that they went to was not warm.
	newObjectColdness float64
	// usualTimeout is the time in ms that callers allow for their first attempts.
	usualTimeout float64
}

const (
	// usualTimeoutDecay is the number of requests over which a longer timeout decays.
	usualTimeoutDecay = 500.0
	// retryTimeoutFactor is the fraction of the usual timeout below which a request is
	// taken for a retry.
	retryTimeoutFactor = 0.95
)

// isRetry updates the usual timeout and reports whether the request is likely to be a
// retry after a refusal.
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
		warmServiceTime := math.Max(1, float64(req.TargetLatency)/2)
		c = &class{warmServiceTime: warmServiceTime, coldServiceTime: warmServiceTime * defaultColdFactor, newObjectColdness: initialColdness}
		b.classes[req.Class] = c
	}
	return c
}

// isCold reports whether a service time is that of a server that was not warm.
func (c *class) isCold(serviceTime float64) bool {
	return serviceTime >= math.Sqrt(c.warmServiceTime*c.coldServiceTime)
}

// observeNewObject records the service time for an object without a known placement.
func (c *class) observeNewObject(serviceTime float64) {
	coldness := 0.0
	if c.isCold(serviceTime) {
		coldness = 1
	}
	c.newObjectColdness += coldnessWeight * (coldness - c.newObjectColdness)
}

// newObjectServiceTime returns the expected service time for an object without a known
// placement at the server that it should go to. After a restart of all hosts that server
// is warm; at the start of the fleet, and for objects that are rarely used, it is not.
func (c *class) newObjectServiceTime() float64 {
	return c.warmServiceTime + c.newObjectColdness*(c.coldServiceTime-c.warmServiceTime)
}

// observe moves the closer of the two service times towards a measured one.
func (c *class) observe(serviceTime float64) {
	if c.isCold(serviceTime) {
		c.coldServiceTime += serviceTimeWeight * (serviceTime - c.coldServiceTime)
	} else {
		c.warmServiceTime += serviceTimeWeight * (serviceTime - c.warmServiceTime)
	}
	c.coldServiceTime = max(c.coldServiceTime, minColdFactor*c.warmServiceTime)
}

// demandTimeConstant is the time constant of the moving average of demand. It is longer
// than a burst, so that a burst does not shift requests between regions and back.
const demandTimeConstant clock.Millis = 4000

// rate is an exponentially decaying average of events per second.
type rate struct {
	perSecond float64
	updatedAt clock.Millis
}

func (r *rate) value(now clock.Millis) float64 {
	r.perSecond *= math.Exp(-float64(now-r.updatedAt) / float64(demandTimeConstant))
	r.updatedAt = now
	return r.perSecond
}

func (r *rate) add(now clock.Millis) { r.perSecond = r.value(now) + 1000/float64(demandTimeConstant) }

// pool holds the servers of one service.
type pool struct {
	servers       []*server
	slotsByRegion map[string]float64
	// shares are the fractions of this region's requests by serving region.
	shares map[string]float64
	// shifting is set while the shares move towards their targets.
	shifting bool
	// baselineSlots is the recent number of slots by region, by which a loss is detected.
	// slotLossAt is the time of the last large loss by region.
	baselineSlots map[string]float64
	slotLossAt    map[string]clock.Millis
	// meanServiceTime is the mean time in ms for which a request occupies a slot.
	meanServiceTime float64
	standingQueue   standingQueue
	// statesLoad is set once a server has stated its load. meanLoad is the number of other
	// hosts' requests per slot, and reportWeight the weight of what they report of one server
	// for the request that is being placed.
	statesLoad             bool
	meanLoad, reportWeight float64
	admitter               *admitter.Admitter
}

func newPool(old *pool) *pool {
	p := &pool{reportWeight: 1, slotsByRegion: make(map[string]float64), slotLossAt: make(map[string]clock.Millis), admitter: admitter.New()}
	if old != nil {
		p.statesLoad, p.meanLoad = old.statesLoad, old.meanLoad
		p.shares, p.meanServiceTime, p.shifting, p.standingQueue = old.shares, old.meanServiceTime, old.shifting, old.standingQueue
		p.baselineSlots, p.slotLossAt, p.admitter = old.baselineSlots, old.slotLossAt, old.admitter
	}
	return p
}

// remoteLoad returns the number of other hosts' requests per slot.
func (p *pool) remoteLoad() float64 {
	var n, slots float64
	for _, s := range p.servers {
		n += float64(s.remoteInFlight)
		slots += float64(s.Slots)
	}
	return n / math.Max(1, slots)
}

func (p *pool) add(s *server) {
	s.pool = p
	p.servers = append(p.servers, s)
	p.slotsByRegion[s.Region] += float64(s.Slots)
}

// rankServers orders the servers that may serve a request by weighted rendezvous
// hashing, so that all hosts of a region agree and a change of the shares or the
// servers moves few objects.
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

// unitFloat maps a hash to a number above 0 and below 1.
func unitFloat(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// mixBits is the finalizer of splitmix64, which spreads the bits of a combined hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
