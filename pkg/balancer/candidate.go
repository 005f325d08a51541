package balancer

import (
	"math"
	"slices"

	"catkindyke/pkg/clock"
)

// candidate is a server with its latency estimate for one request.
type candidate struct {
	server *server
	warm   bool
	// estimatedLatency is the time until the response. It includes queueDelay, the wait
	// for a slot, and serviceTime, the time to process the request. All are in ms.
	estimatedLatency, queueDelay, serviceTime float64
	inFlight                                  int
}

// isIdle reports whether the server has most of its slots free.
func (c *candidate) isIdle() bool { return 2*c.inFlight < c.server.Slots }

// bestServer returns the server for a request, or nil and the reason for a refusal. home
// is the server to which the object should go if it has no known placement.
func (b *Balancer) bestServer(p *pool, ranked []*server, req Request, seed uint64, c *class, now clock.Millis) (best *candidate, home *server, reason string) {
	idleBias := idleFactor
	preferred := ranked[:min(preferredServers, len(ranked))]
	if req.Object != "" {
		preferred, home = p.preferredFor(ranked, seed, now)
		if s := p.underused(ranked, preferred, now); home == nil && s != nil {
			best, _ = b.bestCandidate([]*server{s}, nil, req, seed, c, idleBias, now)
			if best != nil && best.estimatedLatency <= timeLeftFactor*float64(req.TimeLeft) {
				return best, nil, ""
			}
		}
	}
	best, reason = b.bestCandidate(preferred, home, req, seed, c, idleBias, now)
	if best != nil && best.warm && best.estimatedLatency/b.observer.Pace(&best.server.stated, now) <= float64(req.TargetLatency) {
		// The server will be as fast as usual before another one has warmed up.
		idleBias = 1
	}
	late := best != nil && best.estimatedLatency > float64(req.TargetLatency) && !p.standingQueue.isStanding(now)
	if best == nil || late || (!req.Repeatable && best.server.silence.isSilent(now)) {
		best, reason = b.bestCandidate(p.comparedServers(ranked), home, req, seed, c, idleBias, now)
		if best == nil {
			best, reason = b.bestCandidate(ranked, home, req, seed, c, idleBias, now)
		}
	}
	return best, home, reason
}

// bestCandidate returns the server with the lowest estimated latency, or nil and the
// reason for a refusal.
//
// Two kinds of servers count as faster than they are: home, so that few servers warm up
// for an object, and idle ones by idleBias, so that an object whose server is overloaded gets a
// second one. Its request is late in either case; later ones find two warm servers.
func (b *Balancer) bestCandidate(ranked []*server, home *server, req Request, seed uint64, c *class, idleBias float64, now clock.Millis) (*candidate, string) {
	var best *candidate
	var bestCost float64
	reason := ReasonNoServer
	for _, s := range ranked {
		if slices.Contains(req.AttemptedServers, s.ID) || s.isUnavailable(now) {
			continue
		}
		if s.isBackingOff(now) {
			reason = ReasonBackoff
			continue
		}
		if !s.isWithinRateLimit(b, now) {
			reason = ReasonLimited
			continue
		}
		if s.isCold(now) && !s.hasColdToken(b, now) {
			reason = ReasonCold
			continue
		}
		warm := req.Object == "" || s.hasRecentObject(seed, now)
		serviceTime := c.coldServiceTime
		switch {
		case warm:
			serviceTime = c.warmServiceTime
		case s == home:
			serviceTime = c.newObjectServiceTime()
		}
		cand := b.estimateLatency(s, serviceTime, c, now)
		cand.warm = warm
		cost := cand.estimatedLatency
		if !req.Repeatable && s.silence.isSilent(now) {
			// It counts as one that answers at the end of the time left.
			cost += float64(req.TimeLeft)
		}
		if s == home {
			cost *= affinityFactor
		}
		if !warm && cand.isIdle() && cand.estimatedLatency < maxIdleTimeFraction*float64(req.TimeLeft) {
			cost *= idleBias
		}
		if best == nil || cost < bestCost {
			best, bestCost = &cand, cost
		}
	}
	return best, reason
}

// estimateLatency predicts the time until a server's response: the round trip, the wait
// for a slot, the service time and the penalty for load that is not yet reported.
func (b *Balancer) estimateLatency(s *server, serviceTime float64, c *class, now clock.Millis) candidate {
	inFlight, slowdown := b.inFlight(s, now), b.currentSlowdown(s, now)
	serviceTime *= slowdown
	queueDelay := c.queueDelay(s, inFlight, slowdown)
	penalty := staleLoadPenalty * serviceTime * math.Min(1, float64(inFlight)/float64(s.Slots))
	return candidate{server: s, inFlight: inFlight, queueDelay: queueDelay, serviceTime: serviceTime, estimatedLatency: b.rtt(s.Region) + queueDelay + serviceTime + penalty}
}

// queueDelay estimates the time in ms until a server has a free slot for one more
// request.
func (c *class) queueDelay(s *server, inFlight int, slowdown float64) float64 {
	queued := inFlight + 1 - s.Slots
	if queued <= 0 {
		return 0
	}
	return float64(queued) / float64(s.Slots) * c.warmServiceTime * slowdown
}
