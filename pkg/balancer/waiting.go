package balancer

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// lateObjectives and latePart bound the estimate of requests that are sent: in
	// terms of their objective, and of the time left.
	lateObjectives, latePart = 1.5, 0.6
	// returnPatience is how much longer a caller that comes back may wait than others.
	returnPatience = 1.4
	// retrySpread is the part by which advice to refused callers varies.
	retrySpread = 0.3
	// rankStep is the part of its patience that each rank of urgency costs, down to minUrgency.
	rankStep, minUrgency = 0.15, 0.5
	// standingTime is the time after which waits that are too long count as a queue
	// that stays, and calmTime the time without any after which it has gone: the first
	// is about the time in which a queue of one objective empties. Replays serve most
	// with these in sustained overload, and the same as without in a short burst.
	standingTime, calmTime clock.Millis = 600, 400
	// maxUse is the part of the time left in which an answer must be expected.
	maxUse = 0.95
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter clock.Millis = 100
	maxRetryAfter clock.Millis = 2000
)

// excess is the time by which a request would wait too long at its best server;
// it is sent when that is 0.
func (b *Balancer) excess(req Request, c *class, best *candidate, now clock.Millis) float64 {
	useful := usefulWait(req, c, best)
	queue := &b.pools[req.Service].queue
	queue.note(best.wait > useful, now)
	limit := patience(req, best)
	if c.comesBack(req) {
		limit *= returnPatience
	}
	if queue.stands(now) {
		limit = math.Min(limit, useful)
	}
	limit = math.Max(0, limit)
	if best.estimate > maxUse*float64(req.TimeLeft) {
		return math.Max(1, best.wait-limit)
	}
	return math.Max(0, best.wait-limit)
}

// patience is the longest wait for a slot with which a request is still sent.
//
// It answers demand beyond the slots. Without a limit the queues would grow
// until every answer comes at the end of its caller's time. The limit leaves
// room for answers that are late and still of use; what would come later is
// refused at once. Less urgent requests give way first.
func patience(req Request, best *candidate) float64 {
	limit := math.Max(lateObjectives*float64(req.TargetLatency), latePart*float64(req.TimeLeft))
	return (limit - (best.estimate - best.wait)) * urgency(req)
}

// urgency is the part of its patience that a request has by its rank.
func urgency(req Request) float64 { return math.Max(minUrgency, 1-rankStep*req.Priority) }

// usefulWait is the longest wait for a slot after which the answer for an object
// that the server holds is still in time.
func usefulWait(req Request, c *class, best *candidate) float64 {
	work := c.warm * best.s.slowness
	return math.Max(0, float64(req.TargetLatency)-(best.estimate-best.wait-best.work)-work) * urgency(req)
}

// queue follows whether requests of a service wait too long all the time.
//
// It answers demand that stays above the slots. A queue then never empties, and
// while each request waits as long as it is of some use, every answer is late.
// A burst is different: its queue goes away. So waits that are too long for an
// answer in time are allowed until they have lasted for standingTime.
type queue struct {
	// since and last are the first and last time of waits that were too long, with
	// no pause of calmTime between them.
	since, last clock.Millis
}

func (q *queue) note(tooLong bool, now clock.Millis) {
	if !tooLong {
		return
	}
	if now-q.last > calmTime {
		q.since = now
	}
	q.last = now
}

// stands reports whether the queue does not go away.
func (q *queue) stands(now clock.Millis) bool {
	return q.last > 0 && now-q.last <= calmTime && q.last-q.since >= standingTime
}

func retryAfter(ms float64) clock.Millis {
	return min(max(clock.Millis(math.Ceil(ms)), minRetryAfter), maxRetryAfter)
}

// spread is a factor around 1 that differs from refusal to refusal, so that
// callers who are refused together do not come back together.
func (b *Balancer) spread() float64 {
	b.turn++
	return 1 + retrySpread*(2*unit(mix(b.turn))-1)
}
