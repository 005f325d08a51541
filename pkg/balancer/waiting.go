package balancer

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// targetLatencyFactor and timeLeftFactor bound the estimate of requests that are sent: in
	// terms of their objective, and of the time left.
	targetLatencyFactor, timeLeftFactor = 1.5, 0.6
	// retryWaitFactor is how much longer a caller that comes back may wait than others.
	retryWaitFactor = 1.4
	// retryJitter is the part by which advice to refused callers varies.
	retryJitter = 0.3
	// urgencyStep is the part of its patience that each rank of urgency costs, down to minUrgency.
	urgencyStep, minUrgency = 0.15, 0.5
	// standingQueueTime is the time after which waits that are too long count as a queue
	// that stays, and standingQueueReset the time without any after which it has gone: the first
	// is about the time in which a queue of one objective empties. Replays serve most
	// with these in sustained overload, and the same as without in a short burst.
	standingQueueTime, standingQueueReset clock.Millis = 600, 400
	// maxTimeLeftFactor is the part of the time left in which an answer must be expected.
	maxTimeLeftFactor = 0.95
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter clock.Millis = 100
	maxRetryAfter clock.Millis = 2000
)

// excessDelay is the time by which a request would wait too long at its best server;
// it is sent when that is 0.
func (b *Balancer) excessDelay(req Request, c *class, best *candidate, now clock.Millis) float64 {
	timelyDelay := maxTimelyQueueDelay(req, c, best)
	queue := &b.pools[req.Service].standingQueue
	queue.observe(best.queueDelay > timelyDelay, now)
	limit := maxQueueDelay(req, best)
	if c.isRetry(req) {
		limit *= retryWaitFactor
	}
	if queue.isStanding(now) {
		limit = math.Min(limit, timelyDelay)
	}
	limit = math.Max(0, limit)
	if best.estimatedLatency > maxTimeLeftFactor*float64(req.TimeLeft) {
		return math.Max(1, best.queueDelay-limit)
	}
	return math.Max(0, best.queueDelay-limit)
}

// maxQueueDelay is the longest wait for a slot with which a request is still sent.
//
// It answers demand beyond the slots. Without a limit the queues would grow
// until every answer comes at the end of its caller's time. The limit leaves
// room for answers that are late and still of use; what would come later is
// refused at once. Less urgent requests give way first.
func maxQueueDelay(req Request, best *candidate) float64 {
	limit := math.Max(targetLatencyFactor*float64(req.TargetLatency), timeLeftFactor*float64(req.TimeLeft))
	return (limit - (best.estimatedLatency - best.queueDelay)) * urgency(req)
}

// urgency is the part of its patience that a request has by its rank.
func urgency(req Request) float64 { return math.Max(minUrgency, 1-urgencyStep*req.Priority) }

// maxTimelyQueueDelay is the longest wait for a slot after which the answer for an object
// that the server holds is still in time.
func maxTimelyQueueDelay(req Request, c *class, best *candidate) float64 {
	serviceTime := c.warmTime * best.server.slowdown
	return math.Max(0, float64(req.TargetLatency)-(best.estimatedLatency-best.queueDelay-best.serviceTime)-serviceTime) * urgency(req)
}

// standingQueue follows whether requests of a service wait too long all the time.
//
// It answers demand that stays above the slots. A standingQueue then never empties, and
// while each request waits as long as it is of some use, every answer is late.
// A burst is different: its standingQueue goes away. So waits that are too long for an
// answer in time are allowed until they have lasted for standingTime.
type standingQueue struct {
	// firstLongDelay and lastLongDelay are the first and lastLongDelay time of waits that were too long, with
	// no pause of calmTime between them.
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

// isStanding reports whether the queue does not go away.
func (q *standingQueue) isStanding(now clock.Millis) bool {
	return q.lastLongDelay > 0 && now-q.lastLongDelay <= standingQueueReset && q.lastLongDelay-q.firstLongDelay >= standingQueueTime
}

func clampRetryAfter(ms float64) clock.Millis {
	return min(max(clock.Millis(math.Ceil(ms)), minRetryAfter), maxRetryAfter)
}

// retryJitterFactor is a factor around 1 that differs from refusal to refusal, so that
// callers who are refused together do not come back together.
func (b *Balancer) retryJitterFactor() float64 {
	b.hashCounter++
	return 1 + retryJitter*(2*unitFloat(mixBits(b.hashCounter))-1)
}
