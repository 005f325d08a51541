package limiter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

// TestMain fixes the seed, so that CI gives the same verdict each time.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// message is a request for tokens or its answer, on its way.
type message struct {
	deliverAt  clock.Millis
	from, to   int
	req        BorrowRequest
	isResponse bool
	tokens     float64
}

// simulation is three hosts with 40 slots each and the messages between them.
type simulation struct {
	t        *rapid.T
	now      clock.Millis
	hosts    [3]*Limiter
	messages []message
	waiters  []*Waiter
	// idealTokens is an ideal bucket that bounds admissions over every interval.
	idealTokens    float64
	idealUpdatedAt clock.Millis
	limit          Limit
	// host0LeaseEnd is when host 0's lease ends, zero while it is renewed.
	host0LeaseEnd clock.Millis
	slotsMoved    bool
	violation     string
}

func newSimulation(t *rapid.T, omit Rule) *simulation {
	w := &simulation{t: t, limit: Limit{RatePerSecond: 50, Burst: float64(rapid.IntRange(20, 100).Draw(t, "burst"))}}
	w.idealTokens = w.limit.Burst
	for i := range w.hosts {
		w.hosts[i] = New(Config{Omit: omit})
		w.hosts[i].SetLimits(map[string]Limit{"w": w.limit}, 0)
		var peers []string
		for p := range w.hosts {
			if p != i {
				peers = append(peers, string(rune('0'+p)))
			}
		}
		w.hosts[i].SetPeers(peers)
	}
	w.renewLeases()
	return w
}

func (w *simulation) draw(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(w.t, name) }

// renewLeases renews the leases. Host 0's slots go to host 1 when its lease ended
// 2 s ago, and come back after Quiesce, as the leaser does it.
func (w *simulation) renewLeases() {
	for i, l := range w.hosts {
		switch {
		case i == 0 && w.host0LeaseEnd > 0:
		case i == 1 && w.slotsMoved:
			l.SetShare(80, w.now+8000, w.now)
		default:
			l.SetShare(40, w.now+8000, w.now)
		}
	}
}

func (w *simulation) advanceHost0Lease() {
	switch {
	case w.host0LeaseEnd == 0:
		w.host0LeaseEnd = w.now + 1
		w.hosts[0].SetShare(40, w.host0LeaseEnd, w.now)
	case !w.slotsMoved:
		w.advance(2000)
		w.slotsMoved = true
	default:
		w.hosts[1].SetShare(40, w.now+8000, w.now)
		w.advance(500)
		w.host0LeaseEnd, w.slotsMoved = 0, false
		w.hosts[0].SetShare(40, w.now+8000, w.now)
	}
	w.renewLeases()
}

func (w *simulation) recordAdmission(source string) {
	w.idealTokens = min(w.limit.Burst, w.idealTokens+w.limit.RatePerSecond*float64(w.now-w.idealUpdatedAt)/1000)
	w.idealUpdatedAt = w.now
	w.idealTokens--
	if w.idealTokens < -1e-6 && w.violation == "" {
		w.violation = fmt.Sprintf("%s at %d: %.2f tokens above rate and burst", source, w.now, -w.idealTokens)
	}
}

func (w *simulation) request(host int) {
	d := w.hosts[host].Admit("w", w.now)
	if d.OK {
		w.recordAdmission("admit")
	}
	if d.Waiter != nil {
		w.waiters = append(w.waiters, d.Waiter)
	}
	w.sendRequests(host, d.BorrowRequests)
}

func (w *simulation) sendRequests(host int, reqs []BorrowRequest) {
	for _, req := range reqs {
		w.send(message{from: host, to: int(req.Peer[0] - '0'), req: req})
	}
}

// send sends a message that may be lost, late or repeated.
func (w *simulation) send(m message) {
	delays := []clock.Millis{1, 20, 20, 0, 120, 195, 260, 700}
	for range w.draw("copies", 1, 2) {
		if d := delays[w.draw("delay", 0, len(delays)-1)]; d > 0 {
			m.deliverAt = w.now + d
			w.messages = append(w.messages, m)
		}
	}
}

func (w *simulation) advance(d clock.Millis) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, w.now+5)
		due := w.messages
		w.messages = nil
		for _, m := range due {
			if m.deliverAt > w.now {
				w.messages = append(w.messages, m)
			} else {
				w.deliver(m)
			}
		}
		w.checkWaiters()
	}
}

func (w *simulation) deliver(m message) {
	if m.isResponse {
		w.sendRequests(m.to, w.hosts[m.to].Credit(m.req, m.tokens, w.now))
		return
	}
	tokens := w.hosts[m.to].Lend(LendRequest{Host: string(rune('0' + m.from)), Incarnation: 1, BorrowRequest: m.req}, w.now)
	w.send(message{from: m.to, to: m.from, req: m.req, isResponse: true, tokens: tokens})
}

func (w *simulation) checkWaiters() {
	pending := w.waiters[:0]
	for _, waiter := range w.waiters {
		select {
		case <-waiter.Done():
			w.recordAdmission("waiter")
		default:
			pending = append(pending, waiter)
		}
	}
	w.waiters = pending
}

func (w *simulation) run() string {
	for range w.draw("steps", 5, 60) {
		switch w.draw("step", 0, 6) {
		case 0, 1:
			host := w.draw("host", 0, 2)
			for range w.draw("requests", 1, 60) {
				w.request(host)
			}
		case 2:
			for i := range w.draw("requests", 30, 200) {
				w.request(i % 3)
			}
		case 3:
			w.advance(clock.Millis(w.draw("pass", 1, 60)))
		case 4:
			w.advance(clock.Millis(w.draw("fill", 100, 2500)))
			w.renewLeases()
		case 5:
			w.advance(20)
		case 6:
			w.advanceHost0Lease()
		}
		w.checkWaiters()
	}
	return w.violation
}

// TestLendingKeepsFleetLimit guards against lost, late and repeated messages
// and ended leases that let the fleet admit more than rate × time + burst.
func TestLendingKeepsFleetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := newSimulation(t, 0).run(); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestCheckerDetectsBrokenRules breaks rules of lending once each and guards against a
// checker that would let it pass. The seeds are the first that show the fault.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	for _, m := range []struct {
		name string
		rule Rule
		seed int
	}{
		{"debit_loan", RuleDebitLoan, 203},
		{"credit_once", RuleCreditOnce, 16952},
		{"lapse", RuleClearAfterLapse, 15},
		{"lender_lease", RuleLenderNeedsLease, 73},
		{"check_deadline", RuleCheckDeadline, 2},
	} {
		t.Run(m.name, func(t *testing.T) {
			run := func(omit Rule) string {
				return rapid.Custom(func(t *rapid.T) string { return newSimulation(t, omit).run() }).Example(m.seed)
			}
			if violation := run(0); violation != "" {
				t.Errorf("fault without a mutation: %s", violation)
			}
			if run(m.rule) == "" {
				t.Errorf("the checker does not notice that rule %s is broken", m.name)
			}
		})
	}
}

// newPair returns a borrower and a lender of 60 slots each, both full.
func newPair(omit Rule) (a, b *Limiter) {
	limits := map[string]Limit{"w": {RatePerSecond: 50, Burst: 100}}
	a, b = New(Config{Omit: omit}), New(Config{Omit: omit})
	for _, l := range []*Limiter{a, b} {
		l.SetLimits(limits, 0)
		l.SetShare(60, 1<<40, 0)
		l.Tokens("w", 5000)
	}
	a.SetPeers([]string{"b"})
	return a, b
}

// takeTokens takes up to n tokens and returns how many, with the requests to send.
func takeTokens(l *Limiter, n int, now clock.Millis) (int, []BorrowRequest) {
	admitted, reqs := 0, []BorrowRequest(nil)
	for range n {
		d := l.Admit("w", now)
		if d.OK {
			admitted++
		}
		reqs = append(reqs, d.BorrowRequests...)
	}
	return admitted, reqs
}

func lend(l *Limiter, req BorrowRequest, now clock.Millis) float64 {
	return l.Lend(LendRequest{Host: "a", Incarnation: 1, BorrowRequest: req}, now)
}

// TestLendingRules guards against tokens that exist twice, with one short
// history for each rule, and shows that the history fails without the rule.
func TestLendingRules(t *testing.T) {
	for _, m := range []struct {
		name string
		rule Rule
		// withinBurst plays the history and reports whether the fleet stayed within its burst.
		withinBurst func(omit Rule) bool
	}{
		{"reserve_loan", RuleReserveLoan, func(omit Rule) bool {
			_, b := newPair(omit)
			lent := lend(b, BorrowRequest{Bucket: "w", Tokens: 20, Sequence: 1}, 5000)
			return lent > 0 && b.Tokens("w", 5000+BorrowTimeout)+lent <= 50
		}},
		{"sequence", RuleRejectOldSequence, func(omit Rule) bool {
			_, b := newPair(omit)
			req := BorrowRequest{Bucket: "w", Tokens: 10, Sequence: 4}
			lend(b, req, 5000)
			req.Sequence = 5
			newer := lend(b, req, 5010)
			req.Sequence = 4
			return newer > 0 && lend(b, req, 5020) == 0
		}},
		{"late_answer", RuleDropLateResponse, func(omit Rule) bool {
			a, b := newPair(omit)
			_, reqs := takeTokens(a, 49, 5000)
			lent := lend(b, reqs[0], 5010)
			// Both buckets are full again; the answer comes within one millisecond
			// of spending everything.
			a.Tokens("w", 9000)
			b.Tokens("w", 6000)
			b.Tokens("w", 9000)
			sum, _ := takeTokens(a, 20, 9000)
			a.Credit(reqs[0], lent, 9000)
			return lent > 0 && float64(sum)+a.Tokens("w", 9000)+b.Tokens("w", 9000) <= 100
		}},
		{"cap_credit", RuleCapCredit, func(omit Rule) bool {
			a, b := newPair(omit)
			_, reqs := takeTokens(a, 49, 5000)
			lent := lend(b, reqs[0], 5010)
			a.Tokens("w", 5000+BorrowTimeout-1)
			a.mu.Lock()
			a.buckets["w"].tokens = 49.9
			a.mu.Unlock()
			a.Credit(reqs[0], lent, 5000+BorrowTimeout-1)
			return lent > 0 && a.Tokens("w", 5000+BorrowTimeout-1) <= 50
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			if !m.withinBurst(0) {
				t.Error("the fleet went above its burst")
			}
			if m.withinBurst(m.rule) {
				t.Errorf("the history does not notice that rule %s is broken", m.name)
			}
		})
	}
}

// TestFragmentsReachWaiter guards against refusals while the fleet holds
// tokens: a request takes fragments of less than one token from several
// lenders, also from those that have demand of their own.
func TestFragmentsReachWaiter(t *testing.T) {
	const hosts = 8
	names, limiters := []string{"0", "1", "2", "3", "4", "5", "6", "7"}, make([]*Limiter, hosts)
	for i := range limiters {
		limiters[i] = New(Config{})
		limiters[i].SetLimits(map[string]Limit{"w": {RatePerSecond: 20, Burst: 20}}, 0)
		limiters[i].SetShare(TotalSlots/hosts, 1<<40, 0)
		limiters[i].SetPeers(append(append([]string(nil), names[:i]...), names[i+1:]...))
	}
	// Each lender spends two of its 2.495 tokens, and the borrower too.
	for _, l := range limiters {
		l.Tokens("w", 5000)
		for range 2 {
			if !l.Admit("w", 5000).OK {
				t.Fatal("no token in a full bucket")
			}
		}
	}
	d := limiters[0].Admit("w", 5000)
	if d.Waiter == nil {
		t.Fatal("the request was refused although seven peers have 0.495 tokens each")
	}
	reqs := d.BorrowRequests
	for now := clock.Millis(5020); len(reqs) > 0 && now < 5000+MaxTokenWait; now += 20 {
		var next []BorrowRequest
		for _, req := range reqs {
			tokens := limiters[req.Peer[0]-'0'].Lend(LendRequest{Host: "0", Incarnation: 1, BorrowRequest: req}, now)
			next = append(next, limiters[0].Credit(req, tokens, now)...)
		}
		reqs = next
	}
	if !d.Waiter.Cancel(5040) {
		t.Error("the request got no token although seven peers have 0.495 tokens each")
	}
}

// TestNoShare guards against a host without a lease or without slots that
// reports a workspace over its rate.
func TestNoShare(t *testing.T) {
	l := New(Config{})
	l.SetLimits(map[string]Limit{"w": {RatePerSecond: 50, Burst: 100}}, 0)
	check := func(step string, now clock.Millis, want bool) {
		t.Helper()
		d := l.Admit("w", now)
		if d.NoShare != want || l.HasShare(now) == want || want && (d.OK || d.RetryAfter != NoShareRetryAfter) {
			t.Errorf("%s: %+v, want NoShare %t", step, d, want)
		}
	}
	check("no lease", 0, true)
	l.SetShare(60, 1000, 0)
	check("empty bucket", 1, false)
	check("lease ended", 1000, true)
	l.SetShare(0, 1<<40, 2000)
	check("no slots", 2000, true)
}

// TestMinBurst guards against a burst that the configuration check accepts
// and with which a host of few slots never admits a request.
func TestMinBurst(t *testing.T) {
	for _, slots := range []int{10, 12, 15, 120} {
		for rate := 1.0; rate < 1e6; rate *= 1.7 {
			minBurst := MinBurst(rate, slots)
			for _, burst := range []float64{minBurst, minBurst - 0.002} {
				l := New(Config{})
				l.SetLimits(map[string]Limit{"w": {RatePerSecond: rate, Burst: burst}}, 0)
				l.SetShare(slots, 1<<40, 0)
				l.Tokens("w", 1<<20)
				if got, want := l.Admit("w", 1<<20).OK, burst == minBurst; got != want {
					t.Fatalf("rate %v, burst %v, %d slots: admitted %t, want %t", rate, burst, slots, got, want)
				}
			}
		}
	}
}
