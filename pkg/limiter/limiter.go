// Package limiter holds token buckets whose rate and burst are shared by the
// whole fleet.
package limiter

import (
	"sync"

	"catkindyke/pkg/clock"
)

// Slots is the number of share slots of the fleet. It is divisible by 8, 10
// and 12, the fleet sizes of today.
const Slots = 120

// Limit is a bucket's fleet-wide rate and burst.
type Limit struct {
	// RatePerSecond is the number of tokens that the whole fleet gains each second.
	RatePerSecond float64
	// Burst is the number of tokens that the whole fleet can hold.
	Burst float64
}

type bucket struct {
	limit  Limit
	tokens float64
	at     clock.Millis
}

// Limiter holds a host's part of every bucket.
type Limiter struct {
	mu       sync.Mutex
	slots    int
	deadline clock.Millis
	buckets  map[string]*bucket
}

// New returns a limiter that holds no share slots.
func New() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket)}
}

// SetLimits replaces the limits by bucket name. New buckets start empty.
func (l *Limiter) SetLimits(limits map[string]Limit, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, limit := range limits {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{at: now}
			l.buckets[name] = b
		}
		l.fill(b, now)
		b.limit = limit
		b.tokens = min(b.tokens, l.capacity(b))
	}
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
}

// SetShare sets the number of share slots held and the time until which they may be used.
func (l *Limiter) SetShare(slots int, deadline, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.fill(b, now)
	}
	l.slots, l.deadline = slots, deadline
	for _, b := range l.buckets {
		b.tokens = min(b.tokens, l.capacity(b))
	}
}

// Admit takes one token. It returns false and the time after which to try
// again when there is none, and false when the share lease has ended.
func (l *Limiter) Admit(name string, now clock.Millis) (bool, clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil || now >= l.deadline || l.slots == 0 {
		return false, clock.Second
	}
	l.fill(b, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	wait := (1 - b.tokens) / (b.limit.RatePerSecond * l.part()) * 1000
	return false, clock.Millis(wait) + 1
}

func (l *Limiter) part() float64 { return float64(l.slots) / Slots }

func (l *Limiter) capacity(b *bucket) float64 { return b.limit.Burst * l.part() }

func (l *Limiter) fill(b *bucket, now clock.Millis) {
	if now <= b.at {
		return
	}
	gained := b.limit.RatePerSecond * l.part() * float64(now-b.at) / 1000
	b.tokens = min(b.tokens+gained, l.capacity(b))
	b.at = now
}
