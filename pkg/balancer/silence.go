package balancer

import (
	"math"
	"slices"

	"catkindyke/pkg/clock"
)

const (
	// suspicionFactor is the multiple of its estimated latency after which an attempt is
	// overdue.
	suspicionFactor = 2
	// minOverdueTime is the shortest time after which an attempt is overdue. It is two ticks, so
	// that a short pause of the server or of this host says nothing.
	minOverdueTime clock.Millis = 200
	// usualTickInterval is the interval between ticks. A host that has not ticked for longer than
	// lateTickInterval was frozen and has not read the responses that came in between.
	usualTickInterval, lateTickInterval clock.Millis = 100, 300
	// suspectedWaits is the number of overdue attempts from which a server is suspected.
	// One alone is as likely to be long work.
	suspectedWaits = 2
	// maxWaits bounds the attempts that are followed at one server.
	maxWaits = 8
	// waitTTL is the time after which an overdue attempt says nothing more.
	waitTTL = 3 * clock.Second
	// trustedTime is the time after a health check in which a server isn't suspected again:
	// one that answers health checks and no requests is slow or fails.
	trustedTime = 2 * clock.Second
)

// silence detects servers that have vanished without closing their connections.
//
// Requests to such a server would wait until their time is over. An attempt that may be
// repeated and is overdue is a sign of that if nothing was heard of the server since it
// was sent. With one such attempt, requests that run once go elsewhere if they can, because
// they can't be moved later. With two, the server gets none until it answers a health check.
type silence struct {
	waits     []*wait
	suspected bool
	// trustedUntil is the time until which the server isn't suspected again.
	trustedUntil clock.Millis
}

// wait is an attempt that may be repeated.
type wait struct {
	sentAt, overdueAt clock.Millis
	// endedAt is the time at which the attempt was given up, or 0.
	endedAt clock.Millis
}

// isOverdue reports whether the server did not answer within the multiple of the estimate.
func (w *wait) isOverdue(now clock.Millis) bool {
	if w.endedAt > 0 {
		return w.endedAt >= w.overdueAt
	}
	return now >= w.overdueAt
}

// start follows an attempt that may be repeated.
func (s *silence) start(c Choice, req Request, now clock.Millis) {
	if !req.Repeatable || c.wait == nil || len(s.waits) >= maxWaits {
		return
	}
	c.wait.sentAt, c.wait.overdueAt = now, now+max(minOverdueTime, suspicionFactor*c.EstimatedLatency)
	s.waits = append(s.waits, c.wait)
}

// end records that an attempt has ended.
func (s *silence) end(a Attempt, now clock.Millis) {
	switch a.Result {
	case Answered, Failed, Shed:
		s.heard()
		return
	case Unreachable, Abandoned, TimedOut, Superseded:
	}
	w := a.Choice.wait
	if w == nil {
		return
	}
	w.endedAt = max(1, now)
	if !w.isOverdue(now) {
		s.waits = slices.DeleteFunc(s.waits, func(other *wait) bool { return other == w })
	}
}

// heard records a sign of life, after which only later attempts count.
func (s *silence) heard() { s.waits, s.suspected = nil, false }

// overdue returns the number of overdue attempts since the last sign of life.
func (s *silence) overdue(now clock.Millis) int {
	s.waits = slices.DeleteFunc(s.waits, func(w *wait) bool { return w.endedAt > 0 && now-w.endedAt > waitTTL })
	n := 0
	for _, w := range s.waits {
		if w.isOverdue(now) {
			n++
		}
	}
	return n
}

// isSilent reports whether an attempt is overdue and nothing was heard since it was sent.
func (s *silence) isSilent(now clock.Millis) bool { return s.suspected || s.overdue(now) > 0 }

// postpone moves the times at which attempts are overdue by a time in which this host did not run.
// Attempts that had ended before are left.
func (s *silence) postpone(by, lastTick clock.Millis) {
	for _, w := range s.waits {
		if w.endedAt == 0 || w.endedAt > lastTick {
			w.overdueAt += by
		}
	}
}

// suspectSilent takes a server out of use if it is silent, until it answers a health check.
func (b *Balancer) suspectSilent(s *server, now clock.Millis) {
	if s.silence.suspected || now < s.silence.trustedUntil || s.silence.overdue(now) < suspectedWaits || !b.maySuspect(s, now) {
		return
	}
	s.silence.suspected = true
	b.newlySuspected = append(b.newlySuspected, s.ID)
}

// maySuspect reports whether a server may be taken out of use for its silence. At least half of
// the service's servers in its region stay in use as well, because requests may be bound to it
// and what cuts off a region is no fault of its servers.
func (b *Balancer) maySuspect(s *server, now clock.Millis) bool {
	unavailable, all := 1, 0
	for _, other := range s.pool.servers {
		if other.Region != s.Region {
			continue
		}
		all++
		if other != s && other.isUnavailable(now) {
			unavailable++
		}
	}
	return 2*unavailable <= all && b.mayEject(s, now)
}

// IsSuspected reports whether a server is suspected to be silent.
func (b *Balancer) IsSuspected(id string) bool {
	s := b.servers[id]
	return s != nil && s.silence.suspected
}

// TakeSuspected returns the servers that were suspected since the last call.
func (b *Balancer) TakeSuspected() []string {
	out := b.newlySuspected
	b.newlySuspected = nil
	return out
}

// observeSuperseded raises the slowdown of a server that has taken at least a time. How
// long it would have taken is not known, so that the slowdown never falls by it.
func (b *Balancer) observeSuperseded(s *server, a Attempt, now clock.Millis) {
	c := b.classes[a.Class]
	if c == nil || !a.KnownWarm || s.isCold(now) || a.Choice.InFlight >= s.Slots {
		return
	}
	ratio := math.Min((float64(a.Duration)-b.rtt(s.Region))/c.warmServiceTime, maxSlowdown)
	if ratio <= s.slowdown*a.Choice.Pace {
		return
	}
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.stated.ObservePace(a.Choice.Pace, slowdownWeight)
}
