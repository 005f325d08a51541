package limiter

import (
	"maps"
	"slices"
	"sort"

	"catkindyke/pkg/clock"
)

const (
	// BorrowTimeout is the time after sending a borrow request from which its
	// response is dropped. It covers several round trips between regions.
	BorrowTimeout = 200 * clock.Millis(1)
	// loanTTL is how long a lender reserves capacity for lent tokens. It
	// exceeds BorrowTimeout by 25 % for clocks that run at different speeds.
	loanTTL = BorrowTimeout + BorrowTimeout/4
	// MaxTokenWait is the longest wait for tokens. Two round trips between
	// regions take 82 ms.
	MaxTokenWait = 90 * clock.Millis(1)
	// emptyLenderBackoff is the minimum time before a peer that lent less than
	// requested is asked again for tokens of the same bucket.
	emptyLenderBackoff = 20 * clock.Millis(1)
	// prefetchTime is how much expected demand is borrowed before the bucket is
	// empty. It covers a round trip between regions.
	prefetchTime = 100 * clock.Millis(1)
	// maxLendersAsked is the largest number of peers asked at once per bucket.
	maxLendersAsked = 7
	// borrowFraction is the fraction of the missing tokens requested from one
	// peer, and minBorrowTokens the least amount requested. When a bucket is
	// nearly empty, each host has only a fraction of a token.
	borrowFraction  = 0.2
	minBorrowTokens = 0.25
)

// loan is the last loan of a bucket's tokens to a host.
type loan struct {
	incarnation uint64
	sequence    uint64
	tokens      float64
	expiresAt   clock.Millis
}

// lenderState is what a borrower records about one lender for one bucket. The
// estimate is the size of the last loan if it was as large as requested, else
// zero.
type lenderState struct {
	sequence        uint64
	requestedTokens float64
	sentAt          clock.Millis
	inFlight        bool
	hasEstimate     bool
	estimatedTokens float64
	estimatedAt     clock.Millis
}

// Waiter is a request that waits for borrowed tokens.
type Waiter struct {
	limiter  *Limiter
	bucket   *bucket
	done     chan struct{}
	admitted bool
}

// Done returns a channel that is closed when the waiter has got a token.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Cancel ends the wait and reports whether the waiter got a token.
func (w *Waiter) Cancel(now clock.Millis) bool {
	w.limiter.mu.Lock()
	defer w.limiter.mu.Unlock()
	if w.limiter.hasShare(now) {
		w.limiter.refill(w.bucket, now)
		w.limiter.serveWaiters(w.bucket)
	}
	w.bucket.waiters = slices.DeleteFunc(w.bucket.waiters, func(x *Waiter) bool { return x == w })
	return w.admitted
}

// BorrowRequest is a request for tokens to send to a peer.
type BorrowRequest struct {
	Peer     string
	Bucket   string
	Tokens   float64
	Sequence uint64
}

// LendRequest is a received BorrowRequest with its sender.
type LendRequest struct {
	Host        string
	Incarnation uint64
	BorrowRequest
}

// maxTokens returns the most tokens that the bucket may hold now. Capacity
// stays reserved for lent tokens until they have arrived or been dropped for
// certain. With tokens in flight and a refilled bucket the fleet would otherwise
// hold more than its burst.
func (l *Limiter) maxTokens(b *bucket) float64 {
	capacity := l.capacity(b)
	if l.omits(RuleReserveLoan) {
		return capacity
	}
	return max(0, capacity-b.lentTokens)
}

// serveWaiters gives tokens to waiters in arrival order.
func (l *Limiter) serveWaiters(b *bucket) {
	for len(b.waiters) > 0 && b.tokens >= 1 {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.tokens--
		w.admitted = true
		close(w.done)
	}
}

// Lend debits tokens for a peer and returns their number. Duplicate and
// reordered requests get none. A newer request shows that the response to the
// previous one was used or dropped, so it replaces that reservation.
func (l *Limiter) Lend(req LendRequest, now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[req.Bucket]
	if b == nil || !l.hasShare(now) && !l.omits(RuleLenderNeedsLease) || !(req.Tokens > 0) {
		return 0
	}
	l.refill(b, now)
	last := b.loans[req.Host]
	if last != nil && !l.omits(RuleRejectOldSequence) && (req.Incarnation < last.incarnation ||
		req.Incarnation == last.incarnation && req.Sequence <= last.sequence) {
		return 0
	}
	tokens := max(0, min(req.Tokens, l.lendableTokens(b)))
	b.loans[req.Host] = &loan{req.Incarnation, req.Sequence, tokens, now + loanTTL}
	b.updateLentTokens()
	if !l.omits(RuleDebitLoan) {
		b.tokens -= tokens
	}
	return tokens
}

// lendableTokens returns the tokens that the host can lend: none while its own
// requests wait, else all. Tokens held back for later local demand would be
// unavailable to requests that wait on other hosts.
func (l *Limiter) lendableTokens(b *bucket) float64 {
	if len(b.waiters) > 0 {
		return 0
	}
	return b.tokens
}

// Credit adds the tokens of a borrow response up to the bucket's capacity.
// Excess tokens are lost. Responses that are late, duplicate or belong to
// another request are dropped. It returns further requests to send while there
// are waiters.
func (l *Limiter) Credit(req BorrowRequest, tokens float64, now clock.Millis) []BorrowRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[req.Bucket]
	if b == nil || !(tokens >= 0) {
		return nil
	}
	tokens = min(tokens, req.Tokens)
	lender := b.lenders[req.Peer]
	if lender == nil || (lender.sequence != req.Sequence || !lender.inFlight) && !l.omits(RuleCreditOnce) {
		return nil
	}
	lender.inFlight = false
	if now-lender.sentAt >= BorrowTimeout && !l.omits(RuleDropLateResponse) {
		return nil
	}
	lender.hasEstimate, lender.estimatedAt, lender.estimatedTokens = true, now, 0
	if tokens == req.Tokens {
		lender.estimatedTokens = tokens
	}
	l.refill(b, now)
	if !l.hasShare(now) {
		return nil
	}
	l.addTokens(b, tokens)
	if len(b.waiters) == 0 {
		return nil
	}
	return l.borrowRequests(req.Bucket, b, now, false)
}

// addTokens adds borrowed tokens to a bucket and serves its waiters.
func (l *Limiter) addTokens(b *bucket, tokens float64) {
	// Serving waiters in between frees capacity, so that a small capacity does
	// not limit the tokens borrowed in each round trip.
	for tokens > 0 {
		added := min(tokens, max(0, l.maxTokens(b)-b.tokens))
		if l.omits(RuleCapCredit) {
			added = tokens
		}
		waitersBefore := len(b.waiters)
		b.tokens, tokens = b.tokens+added, tokens-added
		l.serveWaiters(b)
		if added == 0 || len(b.waiters) == waitersBefore {
			return
		}
	}
}

// BorrowFailed ends a borrow request that got no response. The lender is not
// asked again for a second and emptyLenderBackoff.
func (l *Limiter) BorrowFailed(req BorrowRequest, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[req.Bucket]
	if b == nil {
		return
	}
	if lender := b.lenders[req.Peer]; lender != nil && lender.inFlight && lender.sequence == req.Sequence {
		lender.inFlight, lender.hasEstimate, lender.estimatedTokens, lender.estimatedAt = false, true, 0, now+clock.Second
	}
}

// inFlightTokens returns the number of requested tokens whose responses are
// outstanding. It adds in the order of host names, because the rounding of a
// sum in map order would differ from run to run.
func (b *bucket) inFlightTokens() float64 {
	sum := 0.0
	for _, host := range slices.Sorted(maps.Keys(b.lenders)) {
		if lender := b.lenders[host]; lender.inFlight {
			sum += lender.requestedTokens
		}
	}
	return sum
}

// updateLentTokens updates the sum of lent tokens that have capacity reserved.
func (b *bucket) updateLentTokens() {
	b.lentTokens = 0
	for _, host := range slices.Sorted(maps.Keys(b.loans)) {
		b.lentTokens += b.loans[host].tokens
	}
}

// borrowRequests returns the borrow requests to send if the bucket needs
// tokens.
func (l *Limiter) borrowRequests(name string, b *bucket, now clock.Millis, admitted bool) []BorrowRequest {
	rate := b.limit.RatePerSecond * l.share()
	demand := b.currentDemand(now)
	prefetchTokens := demand * float64(prefetchTime) / 1000
	if len(l.peers) == 0 || admitted && (demand <= rate || b.tokens > max(prefetchTokens, l.capacity(b)/2)) {
		return nil
	}
	for _, lender := range b.lenders {
		if lender.inFlight && now-lender.sentAt >= BorrowTimeout {
			lender.inFlight, lender.hasEstimate, lender.estimatedTokens, lender.estimatedAt = false, true, 0, now+clock.Second
		}
	}
	waiting := float64(len(b.waiters))
	if !admitted && b.tokens < waiting+1 {
		waiting++
	}
	// Tokens that exceed the bucket's capacity and its waiters would be lost on
	// arrival, and unneeded ones would be missing on other hosts.
	missing := waiting + min(l.maxTokens(b), prefetchTokens) - b.tokens - b.inFlightTokens()
	if missing <= 0 || waiting == 0 && missing < min(1, l.maxTokens(b)/2) {
		return nil
	}
	var out []BorrowRequest
	for _, host := range l.rankLenders(b, now) {
		if len(out) == maxLendersAsked || missing <= 0 {
			break
		}
		out = append(out, l.newBorrowRequest(name, b, host, &missing, now))
	}
	return out
}

// newBorrowRequest records a request to one lender and subtracts its tokens
// from the missing ones.
func (l *Limiter) newBorrowRequest(name string, b *bucket, host string, missing *float64, now clock.Millis) BorrowRequest {
	lender := b.lenders[host]
	if lender == nil {
		lender = &lenderState{}
		b.lenders[host] = lender
	}
	l.sequence++
	// Each lender is asked only for a fraction, so that a slow or empty one
	// does not delay all tokens.
	tokens := min(*missing, max(minBorrowTokens, *missing*borrowFraction, lender.estimatedTokens))
	*missing -= tokens
	lender.inFlight, lender.sentAt, lender.requestedTokens, lender.sequence = true, now, tokens, l.sequence
	return BorrowRequest{Peer: host, Bucket: name, Tokens: tokens, Sequence: l.sequence}
}

// rankLenders returns the peers to ask, in descending order of the tokens that
// they are estimated to have.
func (l *Limiter) rankLenders(b *bucket, now clock.Millis) []string {
	scores := make(map[string]float64)
	var out []string
	fleetSize := float64(len(l.peers) + 1)
	for _, host := range l.peers {
		lender := b.lenders[host]
		if lender != nil && (lender.inFlight || lender.hasEstimate && lender.estimatedTokens == 0 && now-lender.estimatedAt < emptyLenderBackoff) {
			continue
		}
		out = append(out, host)
		scores[host] = b.limit.Burst / fleetSize
		if lender != nil && lender.hasEstimate {
			gained := b.limit.RatePerSecond / fleetSize * float64(now-lender.estimatedAt) / 1000
			scores[host] = min(scores[host], lender.estimatedTokens+gained)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return scores[out[i]] > scores[out[j]] })
	return out
}
