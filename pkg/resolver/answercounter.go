package resolver

import (
	"catkindyke/pkg/clock"
)

// ttlSlices is the number of time slices in a TTL. An answer is counted for up to
// one slice longer than its TTL, never for less.
const ttlSlices = 8

// AnswerKey identifies the answers that are counted together.
type AnswerKey struct{ Service, HomeRegion, ServingRegion string }

// AnswerCounter counts the outstanding answers, whose TTL has not passed. Callers
// follow such an answer even if the plan has changed since. The counter does no
// I/O, reads no clock and is not safe for concurrent use.
type AnswerCounter struct {
	ttl   clock.Millis
	byKey map[AnswerKey]*answerCounts
}

// answerCounts is a ring buffer of the number of answers in each time slice.
type answerCounts struct {
	perSlice [ttlSlices + 1]uint64
	// newestSlice is the number of the latest slice in the buffer.
	newestSlice int64
}

// NewAnswerCounter returns a counter of answers that have the given TTL.
func NewAnswerCounter(ttl clock.Millis) *AnswerCounter {
	return &AnswerCounter{ttl: max(ttl, ttlSlices), byKey: make(map[AnswerKey]*answerCounts)}
}

// TTL returns the TTL of the counted answers.
func (c *AnswerCounter) TTL() clock.Millis { return c.ttl }

// sliceAt returns the number of the slice that contains a time.
func (c *AnswerCounter) sliceAt(now clock.Millis) int64 {
	sliceLength := (c.ttl + ttlSlices - 1) / ttlSlices
	return int64(now / sliceLength)
}

// advance moves the buffer to a slice and drops answers whose TTL has passed.
func (e *answerCounts) advance(slice int64) {
	for e.newestSlice < slice {
		if slice-e.newestSlice > int64(len(e.perSlice)) {
			e.newestSlice = slice - int64(len(e.perSlice))
		}
		e.newestSlice++
		e.perSlice[e.newestSlice%int64(len(e.perSlice))] = 0
	}
}

// Add counts an answer given now.
func (c *AnswerCounter) Add(key AnswerKey, now clock.Millis) {
	e := c.byKey[key]
	if e == nil {
		e = &answerCounts{newestSlice: c.sliceAt(now)}
		c.byKey[key] = e
	}
	e.advance(c.sliceAt(now))
	e.perSlice[e.newestSlice%int64(len(e.perSlice))]++
}

// Outstanding returns the number of answers with a key whose TTL has not passed.
func (c *AnswerCounter) Outstanding(key AnswerKey, now clock.Millis) uint64 {
	e := c.byKey[key]
	if e == nil {
		return 0
	}
	e.advance(c.sliceAt(now))
	var n uint64
	for _, count := range e.perSlice {
		n += count
	}
	return n
}

// TryAdd counts an answer unless limit answers with the same key are already
// outstanding. It reports whether the answer may be given.
func (c *AnswerCounter) TryAdd(key AnswerKey, limit uint64, now clock.Millis) bool {
	if c.Outstanding(key, now) >= limit {
		return false
	}
	c.Add(key, now)
	return true
}

// ShiftLimit returns how many outstanding answers of a home region may send
// callers to another region, so that the request rate there stays within a cap.
// The limit is the ratio of cap to demand, applied to all outstanding answers.
func ShiftLimit(capPerS, demandPerS float64, outstanding uint64) uint64 {
	if demandPerS <= capPerS {
		return ^uint64(0)
	}
	return uint64(float64(outstanding) * capPerS / demandPerS)
}
