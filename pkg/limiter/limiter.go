// Package limiter holds token buckets whose rate and burst are shared by the
// whole fleet. Tokens move between hosts by lending.
package limiter

import (
	"math"
	"sync"

	"catkindyke/pkg/clock"
)

// TotalSlots is the number of share slots of the fleet. It is divisible by 8, 10
// and 12, the fleet sizes of today.
const TotalSlots = 120

// Limit is a bucket's fleet-wide rate and burst.
type Limit struct {
	// RatePerSecond is the number of tokens that the whole fleet gains each second.
	RatePerSecond float64
	// Burst is the number of tokens that the whole fleet can hold.
	Burst float64
}

// bucket is a host's part of one limit.
type bucket struct {
	limit      Limit
	tokens     float64
	refilledAt clock.Millis
	// demand is the smoothed number of requests per second on this host.
	demand          float64
	demandUpdatedAt clock.Millis
	waiters         []*Waiter
	loans           map[string]*loan
	// lentTokens is the sum of the lentTokens tokens that take up room.
	lentTokens float64
	lenders    map[string]*lenderState
}

// Limiter holds a host's part of every bucket.
type Limiter struct {
	mu       sync.Mutex
	cfg      Config
	slots    int
	deadline clock.Millis
	buckets  map[string]*bucket
	peers    []string
	sequence uint64
}

// Rule names a rule of lending that tests can omit to show that their checkers notice.
type Rule uint32

// The rules that Config.Omit can switch off.
const (
	RuleDebitLoan Rule = 1 << iota
	RuleReserveLoan
	RuleRejectOldSequence
	RuleDropLateResponse
	RuleCreditOnce
	RuleCapCredit
	RuleClearAfterLapse
	RuleLenderNeedsLease
	RuleCheckDeadline
)

// Config configures a limiter.
type Config struct {
	// Omit switches rules off; only tests set it.
	Omit Rule
}

// New returns a limiter that holds no share slots.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: make(map[string]*bucket)}
}

func (l *Limiter) omits(r Rule) bool { return l.cfg.Omit&r != 0 }

// SetLimits replaces the limits by bucket name. New buckets start empty.
func (l *Limiter) SetLimits(limits map[string]Limit, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, limit := range limits {
		b := l.buckets[name]
		if b == nil {
			b = &bucket{refilledAt: now, demandUpdatedAt: now, loans: make(map[string]*loan), lenders: make(map[string]*lenderState)}
			l.buckets[name] = b
		}
		l.refill(b, now)
		b.limit = limit
		b.tokens = min(b.tokens, l.maxTokens(b))
	}
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
		}
	}
}

// SetShare sets the number of share slots held and the time until which they
// may be used. Tokens are lost when the lease had ended, because another host
// may have gained tokens from the same slots since.
func (l *Limiter) SetShare(slots int, deadline, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaseExpired := now >= l.deadline && !l.omits(RuleClearAfterLapse)
	for _, b := range l.buckets {
		l.refill(b, now)
		if leaseExpired {
			b.tokens = 0
		}
	}
	l.slots, l.deadline = slots, deadline
	for _, b := range l.buckets {
		b.tokens = min(b.tokens, l.maxTokens(b))
		l.serveWaiters(b)
	}
}

// SetPeers sets the hosts to borrow from, nearest first.
func (l *Limiter) SetPeers(peers []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Verdict says whether a request may go on and, if not, why.
type Verdict uint8

// The verdicts.
const (
	// OverRate says that there is no token.
	OverRate Verdict = iota
	// Admitted says that a token was taken.
	Admitted
	// NoShare says that the host has no valid share lease or no share slots, so
	// that another host may admit the request at once.
	NoShare
)

// Decision is the answer to a request for a token.
type Decision struct {
	// OK says that a token was taken.
	OK bool
	// NoShare is set when the host cannot admit any request.
	NoShare bool
	// RetryAfter is the time after which to try again when OK is false.
	RetryAfter clock.Millis
	// Waiter is set when tokens are on their way.
	Waiter *Waiter
	// BorrowRequests are the requests for tokens to send now.
	BorrowRequests []BorrowRequest
}

// NoShareRetryAfter is the retry time of a host without a share. It is short, because
// another host can admit the request now.
const NoShareRetryAfter = 100 * clock.Millis(1)

// Admit takes one token. When there is none it says when to try again, or
// returns a Waiter while tokens are on their way. Nothing is admitted after
// the share lease has ended.
func (l *Limiter) Admit(name string, now clock.Millis) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if !l.hasShare(now) {
		return Decision{NoShare: true, RetryAfter: NoShareRetryAfter}
	}
	if b == nil {
		return Decision{RetryAfter: clock.Second}
	}
	l.refill(b, now)
	b.countRequest(now)
	l.serveWaiters(b)
	var d Decision
	if len(b.waiters) == 0 && b.tokens >= 1 {
		b.tokens--
		d.OK = true
	} else {
		d.RetryAfter = clock.Millis((1-b.tokens)/max(b.limit.RatePerSecond*l.share(), 0.01)*1000) + 1
	}
	d.BorrowRequests = l.borrowRequests(name, b, now, d.OK)
	gained := b.limit.RatePerSecond * l.share() * float64(MaxTokenWait) / 1000
	if !d.OK && b.tokens+gained+b.inFlightTokens() >= float64(len(b.waiters)+1) {
		d.Waiter = &Waiter{limiter: l, bucket: b, done: make(chan struct{})}
		b.waiters = append(b.waiters, d.Waiter)
	}
	return d
}

// HasShare reports whether the host may use share slots.
func (l *Limiter) HasShare(now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasShare(now)
}

// Tokens returns the tokens that the host holds of a bucket.
func (l *Limiter) Tokens(name string, now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	if b == nil || !l.hasShare(now) {
		return 0
	}
	l.refill(b, now)
	return b.tokens
}

func (l *Limiter) hasShare(now clock.Millis) bool {
	return (now < l.deadline || l.omits(RuleCheckDeadline)) && l.slots > 0
}

func (l *Limiter) share() float64 { return float64(l.slots) / TotalSlots }

// clockErrorSeconds is the part of a second by which a fill may be early, because
// clocks count whole milliseconds; with room for clocks that run fast.
const clockErrorSeconds = 0.002

// capacity leaves room for clockStep, so that rate × time + burst holds exactly.
func (l *Limiter) capacity(b *bucket) float64 {
	return max(0, b.limit.Burst-b.limit.RatePerSecond*clockErrorSeconds) * l.share()
}

// MinBurst returns the least burst with which a host of the given number of
// slots can hold a whole token, rounded up to a thousandth. With less, the host
// admits nothing.
func MinBurst(ratePerSecond float64, slots int) float64 {
	// The small term covers rounding of the capacity.
	return math.Ceil((TotalSlots/float64(slots)+ratePerSecond*clockErrorSeconds+1e-6)*1000) / 1000
}

// refill adds the tokens gained since the last call and then forgets loans that
// have ended. Tokens are gained only while the lease lasts.
func (l *Limiter) refill(b *bucket, now clock.Millis) {
	if now <= b.refilledAt {
		return
	}
	gained := b.limit.RatePerSecond * l.share() * float64(now-b.refilledAt) / 1000
	b.tokens = max(0, min(b.tokens+gained, l.maxTokens(b)))
	b.refilledAt = now
	if b.lentTokens == 0 {
		return
	}
	for _, loan := range b.loans {
		if now >= loan.expiresAt {
			loan.tokens = 0
		}
	}
	b.updateLentTokens()
}

// demandTimeConstant is the time over which demand is smoothed.
const demandTimeConstant = float64(clock.Second)

// countRequest counts one request.
func (b *bucket) countRequest(now clock.Millis) {
	b.demand = b.currentDemand(now) + 1000/demandTimeConstant
	b.demandUpdatedAt = now
}

func (b *bucket) currentDemand(now clock.Millis) float64 {
	age := min(1, max(0, float64(now-b.demandUpdatedAt))/demandTimeConstant)
	return b.demand * (1 - age)
}
