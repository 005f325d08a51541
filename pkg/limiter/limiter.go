// Package limiter implements token buckets whose rate and burst are shared by
// the whole fleet. Each host refills its share, and hosts lend tokens to each
// other.
package limiter

import (
	"math"
	"sync"

	"catkindyke/pkg/clock"
)

// TotalSlots is the number of share slots of the fleet. It is divisible by 8,
// 10 and 12, the current fleet sizes.
const TotalSlots = 120

// Limit is the fleet-wide rate and burst of a bucket.
type Limit struct {
	// RatePerSecond is the number of tokens that the whole fleet gains each second.
	RatePerSecond float64
	// Burst is the number of tokens that the whole fleet can hold.
	Burst float64
}

// bucket is a host's share of one limit.
type bucket struct {
	limit      Limit
	tokens     float64
	refilledAt clock.Millis
	// demand is the smoothed request rate on this host, per second.
	demand          float64
	demandUpdatedAt clock.Millis
	waiters         []*Waiter
	loans           map[string]*loan
	// lentTokens is the sum of the lent tokens that have capacity reserved.
	lentTokens float64
	lenders    map[string]*lenderState
}

// Limiter holds a host's share of every bucket.
type Limiter struct {
	mu       sync.Mutex
	cfg      Config
	slots    int
	deadline clock.Millis
	buckets  map[string]*bucket
	peers    []string
	sequence uint64
}

// Rule is a bit set of lending rules. Tests switch rules off to show that their
// checks detect the violations that follow.
type Rule uint32

// The rules that Config.Omit can switch off.
const (
	// RuleDebitLoan debits lent tokens from the lender.
	RuleDebitLoan Rule = 1 << iota
	// RuleReserveLoan reserves the lender's capacity for lent tokens until the
	// borrower has used or dropped them.
	RuleReserveLoan
	// RuleRejectOldSequence lends nothing for duplicate and reordered requests.
	RuleRejectOldSequence
	// RuleDropLateResponse drops responses after BorrowTimeout.
	RuleDropLateResponse
	// RuleCreditOnce credits the response to a request only once.
	RuleCreditOnce
	// RuleCapCredit limits credited tokens to the borrower's capacity.
	RuleCapCredit
	// RuleClearAfterLapse clears the buckets when a new lease starts after the
	// last one ended.
	RuleClearAfterLapse
	// RuleLenderNeedsLease lends only under a valid lease.
	RuleLenderNeedsLease
	// RuleCheckDeadline admits nothing after the lease has ended.
	RuleCheckDeadline
)

// Config configures a limiter.
type Config struct {
	// Omit switches rules off, for tests only.
	Omit Rule
}

// New returns a limiter that holds no share slots.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, buckets: make(map[string]*bucket)}
}

func (l *Limiter) omits(r Rule) bool { return l.cfg.Omit&r != 0 }

// SetLimits replaces the limits, by bucket name. New buckets start empty.
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

// SetShare sets the number of share slots and the end of their lease. If the
// previous lease has ended, the buckets are emptied, because another host may
// have gained tokens from the same slots since.
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

// Verdict is the result of a rate limit check.
type Verdict uint8

// The verdicts.
const (
	// OverRate means that no token is available.
	OverRate Verdict = iota
	// Admitted means that a token was taken.
	Admitted
	// NoShare means that the host has no valid lease or no share slots, so that
	// another host may be able to admit the request now.
	NoShare
)

// Decision is the result of Admit.
type Decision struct {
	// OK is set when a token was taken.
	OK bool
	// NoShare is set when the host cannot admit any request.
	NoShare bool
	// RetryAfter is the time after which to retry when OK is false.
	RetryAfter clock.Millis
	// Waiter is set when enough tokens are expected within MaxTokenWait.
	Waiter *Waiter
	// BorrowRequests are the requests for tokens to send to peers now.
	BorrowRequests []BorrowRequest
}

// NoShareRetryAfter is the retry time that a host without a share returns. It
// is short, because another host may be able to admit the request now.
const NoShareRetryAfter = 100 * clock.Millis(1)

// Admit takes one token. If there is none, it returns a retry time, and a
// Waiter when enough tokens are expected within MaxTokenWait. It admits nothing
// after the lease has ended.
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

// HasShare reports whether the host has share slots under a valid lease.
func (l *Limiter) HasShare(now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasShare(now)
}

// Tokens returns the number of tokens in the host's bucket.
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

// hasShare is HasShare for callers that hold the lock.
func (l *Limiter) hasShare(now clock.Millis) bool {
	return (now < l.deadline || l.omits(RuleCheckDeadline)) && l.slots > 0
}

// share returns the host's fraction of the fleet's rate and burst.
func (l *Limiter) share() float64 { return float64(l.slots) / TotalSlots }

// clockErrorSeconds is the time by which a refill may be early, because clocks
// count whole milliseconds. It leaves a margin for clocks that run fast.
const clockErrorSeconds = 0.002

// capacity returns the host's share of the burst. It is reduced by the refill
// of clockErrorSeconds, so that the fleet never exceeds rate × time + burst.
func (l *Limiter) capacity(b *bucket) float64 {
	return max(0, b.limit.Burst-b.limit.RatePerSecond*clockErrorSeconds) * l.share()
}

// MinBurst returns the smallest burst, rounded up to a thousandth, with which a
// host with the given number of slots can hold a whole token. With a smaller
// burst, the host admits nothing.
func MinBurst(ratePerSecond float64, slots int) float64 {
	// 1e-6 covers rounding errors in capacity.
	return math.Ceil((TotalSlots/float64(slots)+ratePerSecond*clockErrorSeconds+1e-6)*1000) / 1000
}

// refill adds the tokens gained since the last call, then releases the
// reservations of expired loans.
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

// demandTimeConstant is the time over which the demand is smoothed, in
// milliseconds.
const demandTimeConstant = float64(clock.Second)

// countRequest adds one request to the demand.
func (b *bucket) countRequest(now clock.Millis) {
	b.demand = b.currentDemand(now) + 1000/demandTimeConstant
	b.demandUpdatedAt = now
}

// currentDemand returns the demand, decayed to the current time.
func (b *bucket) currentDemand(now clock.Millis) float64 {
	age := min(1, max(0, float64(now-b.demandUpdatedAt))/demandTimeConstant)
	return b.demand * (1 - age)
}
