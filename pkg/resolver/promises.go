package resolver

import (
	"catkindyke/pkg/clock"
)

// ttlSlices is the number of parts into which the age is cut. An answer is
// counted for up to one part longer than its age, never for less.
const ttlSlices = 8

// AnswerKey is the way that an answer sends a caller.
type AnswerKey struct{ Service, HomeRegion, ServingRegion string }

// AnswerCounter counts the answers that callers may still use: callers go where an
// answer sent them until its age has passed, whatever the plan says since. It
// is pure and not safe for concurrent use.
type AnswerCounter struct {
	ttl   clock.Millis
	byKey map[AnswerKey]*answerCounts
}

type answerCounts struct {
	perSlice [ttlSlices + 1]uint64
	// newestSlice is the number of the part of time that was counted last.
	newestSlice int64
}

// NewAnswerCounter returns an account of answers with an age.
func NewAnswerCounter(ttl clock.Millis) *AnswerCounter {
	return &AnswerCounter{ttl: max(ttl, ttlSlices), byKey: make(map[AnswerKey]*answerCounts)}
}

// TTL returns the age of the answers that are counted.
func (c *AnswerCounter) TTL() clock.Millis { return c.ttl }

func (c *AnswerCounter) sliceAt(now clock.Millis) int64 {
	sliceLength := (c.ttl + ttlSlices - 1) / ttlSlices
	return int64(now / sliceLength)
}

// advance drops answers whose age has passed.
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

// Outstanding returns the number of answers on a path whose age has not passed.
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

// TryAdd counts an answer on a path to another region if at most limit
// answers on it are outstanding then. It reports whether the answer may be given.
func (c *AnswerCounter) TryAdd(key AnswerKey, limit uint64, now clock.Millis) bool {
	if c.Outstanding(key, now) >= limit {
		return false
	}
	c.Add(key, now)
	return true
}

// ShiftLimit returns how many answers of a home region may name another region
// at once, so that the callers' requests there stay within a cap: the cap's
// part of the demand, as a part of all answers outstanding.
func ShiftLimit(capPerS, demandPerS float64, outstanding uint64) uint64 {
	if demandPerS <= capPerS {
		return ^uint64(0)
	}
	return uint64(float64(outstanding) * capPerS / demandPerS)
}
