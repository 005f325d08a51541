// Package observer keeps what backend servers say of their own load, and estimates from it
// how busy and how slow a server is now. It does no I/O: the caller passes the time and
// serializes the calls.
//
// It answers a load in which servers share their machines with others and turn several
// times slower for parts of a second, while hosts see each other's requests a second late.
package observer

import (
	"math"

	"catkindyke/pkg/clock"
)

const (
	// MaxLoadAge is the age up to which the number of requests in a statement is used. It is
	// about the duration of a request, after which others have taken their place.
	MaxLoadAge clock.Millis = 500
	// MaxSharedAge is the age up to which a statement is worth passing on. It is the age of
	// reports in a large fleet.
	MaxSharedAge = clock.Second
	// minPace and maxPace bound a stated pace.
	minPace, maxPace = 0.25, 20.0
	// initialPaceHold is the time constant in ms with which a pace fades before any was seen to
	// change, and minPaceHold and maxPaceHold bound the learned one.
	initialPaceHold, minPaceHold, maxPaceHold = 500.0, 50.0, 5000.0
	// paceHoldWeight is the weight of one pair of statements in the learned time.
	paceHoldWeight = 0.2
	// minPaceChange is the difference of a pace from 1 from which on it counts as unusual.
	minPaceChange = 0.2
)

// Load is what a server says of its load in a response.
type Load struct {
	// Running and Waiting are the numbers of its requests, and Slots is the number that it
	// runs at once. Slots is 0 if the server did not state its load.
	Running, Waiting, Slots int
	// Pace is the ratio of the duration of work now to the usual one, 0 if not stated.
	Pace float64
}

// IsStated reports whether the server stated its load.
func (l Load) IsStated() bool { return l.Slots > 0 }

// Requests returns the number of requests at the server.
func (l Load) Requests() int { return l.Running + l.Waiting }

// Statement is the newest load that one run of a server has stated.
type Statement struct {
	load Load
	at   clock.Millis
	// own is the number of this host's requests at the server when it received the statement.
	own int
	// meanPace is the mean pace with which the server began the requests by which its slowdown
	// was measured, 0 before the first one.
	meanPace float64
}

// Load returns the stated load, and At the time at which it was stated.
func (s *Statement) Load() Load { return s.load }

// At returns the time at which the load was stated.
func (s *Statement) At() clock.Millis { return s.at }

// Age returns the time since the statement, or ok = false if there is none.
func (s *Statement) Age(now clock.Millis) (age clock.Millis, ok bool) {
	return max(0, now-s.at), s.load.IsStated()
}

// Requests returns the number of requests that the server has now if only this host has sent
// it some or received responses since the statement. own is the number of this host's
// requests there. ok is false if the statement is older than maxAge.
func (s *Statement) Requests(own int, maxAge, now clock.Millis) (n int, ok bool) {
	age, ok := s.Age(now)
	if !ok || age > min(maxAge, MaxLoadAge) {
		return 0, false
	}
	return max(own, s.load.Requests()+own-s.own), true
}

// Observer learns for how long the paces of servers hold.
type Observer struct {
	paceHold float64
}

// New returns an observer that has seen no statement.
func New() *Observer { return &Observer{paceHold: initialPaceHold} }

// PaceHold returns the time constant in ms with which unusual paces end.
func (o *Observer) PaceHold() float64 { return o.paceHold }

// Record replaces the statement of a server by one of a later time, and reports whether it
// was one. own is the number of this host's requests at the server.
func (o *Observer) Record(s *Statement, l Load, own int, at clock.Millis) bool {
	if !l.IsStated() || (s.load.IsStated() && at < s.at) {
		return false
	}
	if l.Pace > 0 {
		l.Pace = math.Min(math.Max(l.Pace, minPace), maxPace)
		o.learn(s, l.Pace, at)
	}
	s.load, s.at, s.own = l, at, own
	return true
}

// learn compares an unusual pace with the next one of the same server.
func (o *Observer) learn(s *Statement, pace float64, at clock.Millis) {
	before := s.relative(s.load.Pace) - 1
	if s.load.Pace == 0 || math.Abs(before) < minPaceChange || at == s.at {
		return
	}
	remaining := math.Min(1, math.Max(0, (s.relative(pace)-1)/before))
	expected := math.Exp(-float64(at-s.at) / o.paceHold)
	o.paceHold *= math.Exp(paceHoldWeight * (remaining - expected))
	o.paceHold = math.Min(math.Max(o.paceHold, minPaceHold), maxPaceHold)
}

// Pace returns the expected ratio of a server's pace now to the mean one at which its
// slowdown was measured. It is 1 if the server has stated none, and returns to 1 with time.
func (o *Observer) Pace(s *Statement, now clock.Millis) float64 {
	if s.load.Pace == 0 {
		return 1
	}
	unusual := s.relative(s.load.Pace) - 1
	if unusual == 0 {
		return 1
	}
	return 1 + unusual*math.Exp(-float64(max(0, now-s.at))/o.paceHold)
}

// IsPaceUnexpected reports whether a stated pace differs from the expected one.
func (o *Observer) IsPaceUnexpected(s *Statement, pace float64, now clock.Millis) bool {
	return pace > 0 && math.Abs(s.relative(pace)-o.Pace(s, now)) >= minPaceChange
}

// relative returns the ratio of a pace to the mean one.
func (s *Statement) relative(pace float64) float64 {
	if s.meanPace == 0 {
		return pace
	}
	return pace / s.meanPace
}

// ObservePace adds the pace with which a server began a request, relative to the mean pace
// then, with the weight that its response has in the server's slowdown.
func (s *Statement) ObservePace(relative, weight float64) {
	if s.meanPace == 0 {
		s.meanPace = 1
	}
	s.meanPace *= 1 + weight*(relative-1)
}

// RecoverPace moves the mean pace by a fraction towards 1, as the slowdown recovers.
func (s *Statement) RecoverPace(fraction float64) {
	if s.meanPace != 0 {
		s.meanPace += (1 - s.meanPace) * fraction
	}
}
