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
	// loanTime is how long a lender keeps room for lent tokens. It exceeds
	// AnswerTimeout by 25 %, which covers clocks that run at different speeds.
	loanTime = BorrowTimeout + BorrowTimeout/4
	// MaxTokenWait bounds the wait for tokens; two round trips between regions take 82 ms.
	MaxTokenWait = 90 * clock.Millis(1)
	// askGap is the shortest time between two requests for a bucket to a peer
	// that had less than was asked.
	askGap = 20 * clock.Millis(1)
	// prefetch is the time ahead for which tokens are asked before the bucket
	// is empty. It covers a round trip between regions.
	prefetch = 100 * clock.Millis(1)
	// askPeers is the largest number of peers asked at once for a bucket.
	askPeers = 7
	// askPart is the part of what is missing that is asked of one peer, and
	// askLeast the fewest tokens asked for. When a bucket is nearly empty, its
	// tokens are fragments of less than one at each host.
	askPart  = 0.2
	askLeast = 0.25
)

// loan is what was lent to a host by its last request for a bucket.
type loan struct {
	incarnation uint64
	sequence    uint64
	tokens      float64
	until       clock.Millis
}

// peer is what a borrower knows of a lender for one bucket.
type peer struct {
	sequence uint64
	asked    float64
	sent     clock.Millis
	pending  bool
	known    bool
	tokens   float64
	knownAt  clock.Millis
}

// Waiter waits for tokens that were asked for.
type Waiter struct {
	l    *Limiter
	b    *bucket
	done chan struct{}
	ok   bool
}

// Done is closed when a token was taken for the waiter.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Cancel ends the wait and reports whether a token was taken.
func (w *Waiter) Cancel(now clock.Millis) bool {
	w.l.mu.Lock()
	defer w.l.mu.Unlock()
	if w.l.valid(now) {
		w.l.fill(w.b, now)
		w.l.serve(w.b)
	}
	w.b.waiters = slices.DeleteFunc(w.b.waiters, func(x *Waiter) bool { return x == w })
	return w.ok
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

// room returns the most tokens that the bucket may hold. Lent tokens count
// until they have surely arrived or been dropped: with tokens on their way and
// a refilled bucket the fleet would hold more than its burst.
func (l *Limiter) room(b *bucket) float64 {
	room := l.capacity(b)
	if l.omits(RuleReserveLoan) {
		return room
	}
	return max(0, room-b.lent)
}

// serve gives tokens to waiters in order.
func (l *Limiter) serve(b *bucket) {
	for len(b.waiters) > 0 && b.tokens >= 1 {
		w := b.waiters[0]
		b.waiters = b.waiters[1:]
		b.tokens--
		w.ok = true
		close(w.done)
	}
}

// Lend debits tokens for a peer and returns how many. A repeated or reordered
// request gets none. A newer request shows that the answer to the one before
// has been used or dropped, which ends its reservation.
func (l *Limiter) Lend(r LendRequest, now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[r.Bucket]
	if b == nil || !l.valid(now) && !l.omits(RuleLenderNeedsLease) || !(r.Tokens > 0) {
		return 0
	}
	l.fill(b, now)
	last := b.loans[r.Host]
	if last != nil && !l.omits(RuleRejectOldSequence) && (r.Incarnation < last.incarnation ||
		r.Incarnation == last.incarnation && r.Sequence <= last.sequence) {
		return 0
	}
	tokens := max(0, min(r.Tokens, l.spare(b)))
	b.loans[r.Host] = &loan{r.Incarnation, r.Sequence, tokens, now + loanTime}
	b.sumLoans()
	if !l.omits(RuleDebitLoan) {
		b.tokens -= tokens
	}
	return tokens
}

// spare returns the tokens that the host can lend: all, unless own requests
// wait for some. A part kept for the host's own demand would be out of reach of
// requests that wait elsewhere.
func (l *Limiter) spare(b *bucket) float64 {
	if len(b.waiters) > 0 {
		return 0
	}
	return b.tokens
}

// Credit adds the tokens of an answer. Tokens above the bucket's room are lost.
// An answer that is late, repeated or to another request is dropped. It returns
// further requests to send when there are still waiters.
func (l *Limiter) Credit(a BorrowRequest, tokens float64, now clock.Millis) []BorrowRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.Bucket]
	if b == nil || !(tokens >= 0) {
		return nil
	}
	tokens = min(tokens, a.Tokens)
	p := b.peers[a.Peer]
	if p == nil || (p.sequence != a.Sequence || !p.pending) && !l.omits(RuleCreditOnce) {
		return nil
	}
	p.pending = false
	if now-p.sent >= BorrowTimeout && !l.omits(RuleDropLateResponse) {
		return nil
	}
	p.known, p.knownAt, p.tokens = true, now, 0
	if tokens == a.Tokens {
		p.tokens = tokens
	}
	l.fill(b, now)
	if !l.valid(now) {
		return nil
	}
	l.credit(b, tokens)
	if len(b.waiters) == 0 {
		return nil
	}
	return l.asks(a.Bucket, b, now, false)
}

func (l *Limiter) credit(b *bucket, tokens float64) {
	// Waiters take tokens at once, so that a small capacity does not bound the
	// tokens moved in each round trip.
	for tokens > 0 {
		add := min(tokens, max(0, l.room(b)-b.tokens))
		if l.omits(RuleCapCredit) {
			add = tokens
		}
		waiting := len(b.waiters)
		b.tokens, tokens = b.tokens+add, tokens-add
		l.serve(b)
		if add == 0 || len(b.waiters) == waiting {
			return
		}
	}
}

// BorrowFailed ends a request that got no answer.
func (l *Limiter) BorrowFailed(a BorrowRequest, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.Bucket]
	if b == nil {
		return
	}
	if p := b.peers[a.Peer]; p != nil && p.pending && p.sequence == a.Sequence {
		p.pending, p.known, p.tokens, p.knownAt = false, true, 0, now+clock.Second
	}
}

// pending returns the tokens on their way. Sums go in the order of names,
// because the rounding of a sum in map order differs from run to run.
func (b *bucket) pending() float64 {
	sum := 0.0
	for _, host := range slices.Sorted(maps.Keys(b.peers)) {
		if p := b.peers[host]; p.pending {
			sum += p.asked
		}
	}
	return sum
}

// sumLoans updates the sum of the lent tokens that take up room.
func (b *bucket) sumLoans() {
	b.lent = 0
	for _, host := range slices.Sorted(maps.Keys(b.loans)) {
		b.lent += b.loans[host].tokens
	}
}

// asks decides whether to borrow, how much and from whom.
func (l *Limiter) asks(name string, b *bucket, now clock.Millis, admitted bool) []BorrowRequest {
	rate := b.limit.RatePerSecond * l.part()
	demand := b.demandNow(now)
	ahead := demand * float64(prefetch) / 1000
	if len(l.peers) == 0 || admitted && (demand <= rate || b.tokens > max(ahead, l.capacity(b)/2)) {
		return nil
	}
	for _, p := range b.peers {
		if p.pending && now-p.sent >= BorrowTimeout {
			p.pending, p.known, p.tokens, p.knownAt = false, true, 0, now+clock.Second
		}
	}
	waiting := float64(len(b.waiters))
	if !admitted && b.tokens < waiting+1 {
		waiting++
	}
	// More than the bucket and its waiters can take would be lost on arrival,
	// and tokens moved without need are missing elsewhere.
	want := waiting + min(l.room(b), ahead) - b.tokens - b.pending()
	if want <= 0 || waiting == 0 && want < min(1, l.room(b)/2) {
		return nil
	}
	var out []BorrowRequest
	for _, host := range l.lenders(b, now) {
		if len(out) == askPeers || want <= 0 {
			break
		}
		out = append(out, l.ask(name, b, host, &want, now))
	}
	return out
}

func (l *Limiter) ask(name string, b *bucket, host string, want *float64, now clock.Millis) BorrowRequest {
	p := b.peers[host]
	if p == nil {
		p = &peer{}
		b.peers[host] = p
	}
	l.sequence++
	// A part of what is missing goes to one peer, so that one slow or empty peer
	// does not hold up everything.
	tokens := min(*want, max(askLeast, *want*askPart, p.tokens))
	*want -= tokens
	p.pending, p.sent, p.asked, p.sequence = true, now, tokens, l.sequence
	return BorrowRequest{Peer: host, Bucket: name, Tokens: tokens, Sequence: l.sequence}
}

// lenders returns the peers to ask, those with most tokens first as far as
// their last answers tell.
func (l *Limiter) lenders(b *bucket, now clock.Millis) []string {
	score := make(map[string]float64)
	var out []string
	fleet := float64(len(l.peers) + 1)
	for _, host := range l.peers {
		p := b.peers[host]
		if p != nil && (p.pending || p.known && p.tokens == 0 && now-p.knownAt < askGap) {
			continue
		}
		out = append(out, host)
		score[host] = b.limit.Burst / fleet
		if p != nil && p.known {
			refill := b.limit.RatePerSecond / fleet * float64(now-p.knownAt) / 1000
			score[host] = min(score[host], p.tokens+refill)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return score[out[i]] > score[out[j]] })
	return out
}
