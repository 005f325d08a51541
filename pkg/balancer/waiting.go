package balancer

import (
	"math"

	"catkindyke/pkg/admitter"
	"catkindyke/pkg/clock"
)

const (
	// targetLatencyFactor and timeLeftFactor limit the estimated latency of requests that
	// are sent, as multiples of their target latency and of the time left. The larger
	// limit applies.
	targetLatencyFactor, timeLeftFactor = 1.5, 0.6
	// retryWaitFactor is the factor by which a retry may wait longer than other requests.
	retryWaitFactor = 1.4
	// retryJitter is the fraction by which RetryAfter varies.
	retryJitter = 0.3
	// urgencyStep is the fraction of the longest wait that a request loses for each
	// priority level, down to minUrgency.
	urgencyStep, minUrgency = 0.15, 0.5
	// standingQueueTime is the time after which delays that are too long count as a
	// standing queue. A queue of one target latency empties in about that time, so that a
	// short burst loses nothing; with a longer time, more responses would be late in
	// sustained overload. standingQueueReset is the time without such delays after which it
	// no longer counts.
	standingQueueTime, standingQueueReset clock.Millis = 600, 400
	// maxTimeLeftFactor is the fraction of the time left in which a response must be
	// expected.
	maxTimeLeftFactor = 0.95
	// minRetryAfter and maxRetryAfter bound RetryAfter.
	minRetryAfter clock.Millis = 100
	maxRetryAfter clock.Millis = 2000
)

// excessDelay returns the time by which a request would wait too long at its best
// server. The request is sent if that is 0.
func (b *Balancer) excessDelay(req Request, c *class, best *candidate, now clock.Millis) float64 {
	limit := maxQueueDelay(req, best)
	if c.isRetry(req) {
		limit *= retryWaitFactor
	}
	if best.estimatedLatency-best.queueDelay > maxTimeLeftFactor*float64(req.TimeLeft) {
		// It can't be answered in time at any load, so that its refusal says nothing of capacity.
		return excessOver(limit, req, best)
	}
	p := b.pools[req.Service]
	timelyDelay := maxTimelyQueueDelay(req, c, best)
	p.standingQueue.observe(best.queueDelay > timelyDelay, now)
	if p.standingQueue.isStanding(now) {
		limit = math.Min(limit, timelyDelay)
	}
	ask := admitter.Request{Priority: req.Priority, Workspace: req.Workspace, Limit: math.Max(0, limit)}
	excess := excessOver(p.admitter.Limit(ask, now), req, best)
	p.admitter.Record(ask, excess == 0, now)
	if excess > 0 && excessOver(ask.Limit, req, best) == 0 {
		b.deprioritized++
	}
	return excess
}

// excessOver returns the time by which a request would wait longer than the limit.
func excessOver(limit float64, req Request, best *candidate) float64 {
	if best.estimatedLatency > maxTimeLeftFactor*float64(req.TimeLeft) {
		return math.Max(1, best.queueDelay-limit)
	}
	return math.Max(0, best.queueDelay-limit)
}

// maxQueueDelay returns the longest wait for a slot with which a request is still sent.
//
// With demand above capacity and no limit, the queues would grow until every response
// comes at the end of its caller's time. The limit allows responses that are late but
// still useful; requests that would wait longer are refused at once. Less urgent
// requests have a lower limit.
func maxQueueDelay(req Request, best *candidate) float64 {
	limit := math.Max(targetLatencyFactor*float64(req.TargetLatency), timeLeftFactor*float64(req.TimeLeft))
	return (limit - (best.estimatedLatency - best.queueDelay)) * urgency(req)
}

// urgency returns the fraction of the longest wait that a request may use by its
// priority.
func urgency(req Request) float64 { return math.Max(minUrgency, 1-urgencyStep*req.Priority) }

// maxTimelyQueueDelay returns the longest wait for a slot after which a server that is
// warm for the object still answers within the target latency.
func maxTimelyQueueDelay(req Request, c *class, best *candidate) float64 {
	serviceTime := c.warmServiceTime * best.server.slowdown
	return math.Max(0, float64(req.TargetLatency)-(best.estimatedLatency-best.queueDelay-best.serviceTime)-serviceTime) * urgency(req)
}

// standingQueue detects whether requests of a service constantly wait too long.
//
// While demand stays above capacity, a queue never empties. If each request waited for as
// long as a response is of any use, every response would be late. The queue of a burst
// goes away by itself. So waits that are too long for a response in time are allowed until
// they have lasted for standingQueueTime.
type standingQueue struct {
	// firstLongDelay and lastLongDelay are the times of the first and the last wait that
	// was too long, with no pause longer than standingQueueReset between them.
	firstLongDelay, lastLongDelay clock.Millis
}

func (q *standingQueue) observe(tooLong bool, now clock.Millis) {
	if !tooLong {
		return
	}
	if now-q.lastLongDelay > standingQueueReset {
		q.firstLongDelay = now
	}
	q.lastLongDelay = now
}

// isStanding reports whether waits have been too long for standingQueueTime.
func (q *standingQueue) isStanding(now clock.Millis) bool {
	return q.lastLongDelay > 0 && now-q.lastLongDelay <= standingQueueReset && q.lastLongDelay-q.firstLongDelay >= standingQueueTime
}

// HasStandingQueue reports whether requests for a service constantly wait too long.
func (b *Balancer) HasStandingQueue(service string, now clock.Millis) bool {
	p := b.pools[service]
	return p != nil && p.standingQueue.isStanding(now)
}

func clampRetryAfter(ms float64) clock.Millis {
	return min(max(clock.Millis(math.Ceil(ms)), minRetryAfter), maxRetryAfter)
}

// retryJitterFactor returns a factor around 1 that differs from refusal to refusal, so
// that callers who are refused together do not retry together.
func (b *Balancer) retryJitterFactor() float64 {
	b.hashCounter++
	return 1 + retryJitter*(2*unitFloat(mixBits(b.hashCounter))-1)
}
