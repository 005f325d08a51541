package limiter

import (
	"maps"
	"slices"
	"sort"

	"catkindyke/pkg/clock"
)

const (
	// BorrowTimeout is the time after sending from which an answer with tokens
	// is dropped. It covers a round trip between regions several times.
	BorrowTimeout = 200 * clock.Millis(1)
	// loanTTL is how long a lender keeps room for lent tokens. It exceeds
	// AnswerTimeout by 25 %, which covers clocks that run at different speeds.
	loanTTL = BorrowTimeout + BorrowTimeout/4
	// MaxTokenWait bounds the wait for tokens; two round trips between regions take 82 ms.
	MaxTokenWait = 90 * clock.Millis(1)
	// emptyLenderBackoff is the shortest time between two requests for a bucket to a peer
	// that had less than was asked.
	emptyLenderBackoff = 20 * clock.Millis(1)
	// prefetchTime is the time ahead for which tokens are asked before the bucket
	// is empty. It covers a round trip between regions.
	prefetchTime = 100 * clock.Millis(1)
	// maxLendersAsked is the largest number of peers asked at once for a bucket.
	maxLendersAsked = 7
	// borrowFraction is the part of what is missing that is asked of one peer, and
	// askLeast the fewest tokens asked for. When a bucket is nearly empty, its
	// tokens are fragments of less than one at each host.
	borrowFraction  = 0.2
	minBorrowTokens = 0.25
)

// loan is what was lent to a host by its last request for a bucket.
type loan struct {
	incarnation uint64
	sequence    uint64
	tokens      float64
	expiresAt   clock.Millis
}

// lenderState is what a borrower knows of a lender for one bucket.
type lenderState struct {
	sequence        uint64
	requestedTokens float64
	sentAt          clock.Millis
	inFlight        bool
	hasEstimate     bool
	estimatedTokens float64
	estimatedAt     clock.Millis
}

// Waiter waits for tokens that were asked for.
type Waiter struct {
	limiter  *Limiter
	bucket   *bucket
	done     chan struct{}
	admitted bool
}

// Done is closed when a token was taken for the waiter.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Cancel ends the wait and reports whether a token was taken.
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

// LendRequest is a request for tokens as received.
type LendRequest struct {
	Host        string
	Incarnation uint64
	BorrowRequest
}

// maxTokens returns the most tokens that the bucket may hold. Lent tokens count
// until they have surely arrived or been dropped: with tokens on their way and
// a refilled bucket the fleet would hold more than its burst.
func (l *Limiter) maxTokens(b *bucket) float64 {
	capacity := l.capacity(b)
	if l.omits(RuleReserveLoan) {
		return capacity
	}
	return max(0, capacity-b.lentTokens)
}

// serveWaiters gives tokens to waiters in order.
func (l *Limiter) serveWaiters(b *bucket) {
	for len(b.waiters) > 0 && b.tokens >= 1 {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.tokens--
		w.admitted = true
		close(w.done)
	}
}

// Lend debits tokens for a peer and returns how many. A repeated or reordered
// request gets none. A newer request shows that the answer to the one before
// has been used or dropped, which ends its reservation.
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

// lendableTokens returns the tokens that the host can lend: all, unless own requests
// wait for some. A part kept for the host's own demand would be out of reach of
// requests that wait elsewhere.
func (l *Limiter) lendableTokens(b *bucket) float64 {
	if len(b.waiters) > 0 {
		return 0
	}
	return b.tokens
}

// Credit adds the tokens of an answer. Tokens above the bucket's room are lost.
// An answer that is late, repeated or to another request is dropped. It returns
// further requests to send when there are still waiters.
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

func (l *Limiter) addTokens(b *bucket, tokens float64) {
	// Waiters take tokens at once, so that a small capacity does not bound the
	// tokens moved in each round trip.
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

// BorrowFailed ends a request that got no answer.
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

// inFlightTokens returns the tokens on their way. Sums go in the order of names,
// because the rounding of a sum in map order differs from run to run.
func (b *bucket) inFlightTokens() float64 {
	sum := 0.0
	for _, host := range slices.Sorted(maps.Keys(b.lenders)) {
		if lender := b.lenders[host]; lender.inFlight {
			sum += lender.requestedTokens
		}
	}
	return sum
}

// updateLentTokens updates the sum of the lent tokens that take up room.
func (b *bucket) updateLentTokens() {
	b.lentTokens = 0
	for _, host := range slices.Sorted(maps.Keys(b.loans)) {
		b.lentTokens += b.loans[host].tokens
	}
}

// borrowRequests decides whether to borrow, how much and from whom.
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
	// More than the bucket and its waiters can take would be lost on arrival,
	// and tokens moved without need are missing elsewhere.
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

func (l *Limiter) newBorrowRequest(name string, b *bucket, host string, missing *float64, now clock.Millis) BorrowRequest {
	lender := b.lenders[host]
	if lender == nil {
		lender = &lenderState{}
		b.lenders[host] = lender
	}
	l.sequence++
	// A part of what is missing goes to one peer, so that one slow or empty peer
	// does not hold up everything.
	tokens := min(*missing, max(minBorrowTokens, *missing*borrowFraction, lender.estimatedTokens))
	*missing -= tokens
	lender.inFlight, lender.sentAt, lender.requestedTokens, lender.sequence = true, now, tokens, l.sequence
	return BorrowRequest{Peer: host, Bucket: name, Tokens: tokens, Sequence: l.sequence}
}

// rankLenders returns the peers to ask, those with most tokens first as far as
// their last answers tell.
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
