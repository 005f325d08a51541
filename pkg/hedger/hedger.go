// Package hedger decides when a request that is slow gets a second attempt at another
// server. It does no I/O: the caller serializes the calls.
//
// It answers two loads: work with a long tail, of which a few requests in a hundred take
// several times as long as the others, and servers on busy machines, which are slow for
// parts of a second. Both are over for the second attempt while the first one still waits.
// A fleet that is slow as a whole is not helped by more work, so that the share of second
// attempts is bounded.
package hedger

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// quantile is the fraction of the requests of a class that are left alone.
	quantile = 0.95
	// minDelayFactor is the least delay as a multiple of the estimated latency. The estimate
	// knows of queues, slow servers and objects for which a server must warm up, and the
	// distribution does not.
	minDelayFactor = 2.0
	// earlyQuantile and earlyFactor take the place of both where the time of the request
	// would be over before a second attempt that starts later is answered.
	earlyQuantile, earlyFactor = 0.85, 1.5
	// minSamples is the number of times from which a quantile is taken. With fewer, as after
	// a start of the host, the delay follows the estimate alone.
	minSamples, unknownFactor = 40.0, 3.0
	// maxShare is the work of second attempts as a fraction of that of all requests, and
	// maxSaved the number that can be saved up, for the requests that wait at one server.
	maxShare, maxSaved = 0.05, 5.0
)

// Hedger holds the recent times of one host's requests.
type Hedger struct {
	classes map[string]*distribution
	// tokens is the number of second attempts that may start now.
	tokens float64
}

// New returns a hedger that has seen no requests.
func New() *Hedger { return &Hedger{classes: make(map[string]*distribution)} }

// CountRequest counts a caller's request, of any kind.
func (h *Hedger) CountRequest() { h.tokens = math.Min(maxSaved, h.tokens+maxShare) }

// Observe records the time that a request of a class took, or after which it was given up,
// at a server that was warm for its object and had a free slot.
func (h *Hedger) Observe(class string, took clock.Millis) {
	d := h.classes[class]
	if d == nil {
		d = &distribution{}
		h.classes[class] = d
	}
	d.add(float64(took))
}

// Delays returns the times after which a second attempt of a request may start whose response
// was expected after the estimated latency: the usual one, which nearly all requests of the
// class stay below, and the earliest one, if later ones would come too late to be answered.
func (h *Hedger) Delays(class string, estimate clock.Millis) (earliest, usual clock.Millis) {
	d := h.classes[class]
	if d == nil || d.count < minSamples {
		return clock.Millis(math.Ceil(minDelayFactor * float64(estimate))), clock.Millis(math.Ceil(unknownFactor * float64(estimate)))
	}
	delay := func(q, factor float64) clock.Millis {
		return clock.Millis(math.Ceil(math.Max(d.quantile(q), factor*float64(estimate))))
	}
	return delay(earlyQuantile, earlyFactor), delay(quantile, minDelayFactor)
}

// Allows reports whether the share of second attempts allows one more.
func (h *Hedger) Allows() bool { return h.tokens >= 1 }

// Spend counts a second attempt that starts. One at a server that must warm up counts as
// several, by the estimated latencies of both attempts.
func (h *Hedger) Spend(first, second clock.Millis) {
	h.tokens -= math.Max(1, float64(second)/math.Max(1, float64(first)))
}

const (
	// bucketGrowth is the ratio of the upper bounds of two adjacent buckets, the first of
	// which ends at 1 ms. The last one has times of over a minute.
	bucketGrowth = 1.1
	bucketCount  = 117
	// maxCount is the number of times after which the weights of all are halved.
	maxCount = 400.0
)

// distribution is a histogram of times in ms in which older ones count less.
type distribution struct {
	buckets [bucketCount]float64
	count   float64
}

func (d *distribution) add(ms float64) {
	i := int(math.Ceil(math.Log(math.Max(1, ms)) / math.Log(bucketGrowth)))
	d.buckets[min(i, bucketCount-1)]++
	d.count++
	if d.count < maxCount {
		return
	}
	for i := range d.buckets {
		d.buckets[i] /= 2
	}
	d.count /= 2
}

// quantile returns the upper bound of the bucket with the q-quantile.
func (d *distribution) quantile(q float64) float64 {
	rest := q * d.count
	for i, n := range d.buckets {
		if rest -= n; rest <= 0 {
			return math.Pow(bucketGrowth, float64(i))
		}
	}
	return math.Pow(bucketGrowth, bucketCount-1)
}
