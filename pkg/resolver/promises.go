package resolver

import (
	"catkindyke/pkg/clock"
)

// promiseSlices is the number of parts into which the age is cut. An answer is
// counted for up to one part longer than its age, never for less.
const promiseSlices = 8

// AnswerKey is the way that an answer sends a caller.
type AnswerKey struct{ Service, HomeRegion, ServingRegion string }

// AnswerCounter counts the answers that callers may still use: callers go where an
// answer sent them until its age has passed, whatever the plan says since. It
// is pure and not safe for concurrent use.
type AnswerCounter struct {
	age   clock.Millis
	paths map[AnswerKey]*promised
}

type promised struct {
	counts [promiseSlices + 1]uint64
	// newest is the number of the part of time that was counted last.
	newest int64
}

// NewAnswerCounter returns an account of answers with an age.
func NewAnswerCounter(age clock.Millis) *AnswerCounter {
	return &AnswerCounter{age: max(age, promiseSlices), paths: make(map[AnswerKey]*promised)}
}

// TTL returns the age of the answers that are counted.
func (p *AnswerCounter) TTL() clock.Millis { return p.age }

func (p *AnswerCounter) part(now clock.Millis) int64 {
	length := (p.age + promiseSlices - 1) / promiseSlices
	return int64(now / length)
}

// advance drops answers whose age has passed.
func (e *promised) advance(part int64) {
	for e.newest < part {
		if part-e.newest > int64(len(e.counts)) {
			e.newest = part - int64(len(e.counts))
		}
		e.newest++
		e.counts[e.newest%int64(len(e.counts))] = 0
	}
}

// Add counts an answer given now.
func (p *AnswerCounter) Add(path AnswerKey, now clock.Millis) {
	e := p.paths[path]
	if e == nil {
		e = &promised{newest: p.part(now)}
		p.paths[path] = e
	}
	e.advance(p.part(now))
	e.counts[e.newest%int64(len(e.counts))]++
}

// Outstanding returns the number of answers on a path whose age has not passed.
func (p *AnswerCounter) Outstanding(path AnswerKey, now clock.Millis) uint64 {
	e := p.paths[path]
	if e == nil {
		return 0
	}
	e.advance(p.part(now))
	var n uint64
	for _, c := range e.counts {
		n += c
	}
	return n
}

// TryAdd counts an answer on a path to another region if at most limit
// answers on it are outstanding then. It reports whether the answer may be given.
func (p *AnswerCounter) TryAdd(path AnswerKey, limit uint64, now clock.Millis) bool {
	if p.Outstanding(path, now) >= limit {
		return false
	}
	p.Add(path, now)
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
