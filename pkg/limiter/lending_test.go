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
	at       clock.Millis
	from, to int
	ask      BorrowRequest
	answer   bool
	tokens   float64
}

// world is three hosts with 40 slots each and the messages between them.
type world struct {
	t        *rapid.T
	now      clock.Millis
	hosts    [3]*Limiter
	messages []message
	waiters  []*Waiter
	// level is an ideal bucket that bounds admissions over every interval.
	level float64
	at    clock.Millis
	limit Limit
	// away is when host 0's lease ends, zero while it is renewed.
	away  clock.Millis
	moved bool
	over  string
}

func newWorld(t *rapid.T, omit Rule) *world {
	w := &world{t: t, limit: Limit{RatePerSecond: 50, Burst: float64(rapid.IntRange(20, 100).Draw(t, "burst"))}}
	w.level = w.limit.Burst
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
	w.renew()
	return w
}

func (w *world) draw(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(w.t, name) }

// renew renews the leases. Host 0's slots go to host 1 when its lease ended
// 2 s ago, and come back after Quiesce, as the leaser does it.
func (w *world) renew() {
	for i, l := range w.hosts {
		switch {
		case i == 0 && w.away > 0:
		case i == 1 && w.moved:
			l.SetShare(80, w.now+8000, w.now)
		default:
			l.SetShare(40, w.now+8000, w.now)
		}
	}
}

func (w *world) lapse() {
	switch {
	case w.away == 0:
		w.away = w.now + 1
		w.hosts[0].SetShare(40, w.away, w.now)
	case !w.moved:
		w.pass(2000)
		w.moved = true
	default:
		w.hosts[1].SetShare(40, w.now+8000, w.now)
		w.pass(500)
		w.away, w.moved = 0, false
		w.hosts[0].SetShare(40, w.now+8000, w.now)
	}
	w.renew()
}

func (w *world) admitted(where string) {
	w.level = min(w.limit.Burst, w.level+w.limit.RatePerSecond*float64(w.now-w.at)/1000)
	w.at = w.now
	w.level--
	if w.level < -1e-6 && w.over == "" {
		w.over = fmt.Sprintf("%s at %d: %.2f tokens above rate and burst", where, w.now, -w.level)
	}
}

func (w *world) request(host int) {
	d := w.hosts[host].Admit("w", w.now)
	if d.OK {
		w.admitted("admit")
	}
	if d.Waiter != nil {
		w.waiters = append(w.waiters, d.Waiter)
	}
	w.sendAsks(host, d.BorrowRequests)
}

func (w *world) sendAsks(host int, asks []BorrowRequest) {
	for _, a := range asks {
		w.post(message{from: host, to: int(a.Peer[0] - '0'), ask: a})
	}
}

// post sends a message that may be lost, late or repeated.
func (w *world) post(m message) {
	delays := []clock.Millis{1, 20, 20, 0, 120, 195, 260, 700}
	for range w.draw("copies", 1, 2) {
		if d := delays[w.draw("delay", 0, len(delays)-1)]; d > 0 {
			m.at = w.now + d
			w.messages = append(w.messages, m)
		}
	}
}

func (w *world) pass(d clock.Millis) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, w.now+5)
		due := w.messages
		w.messages = nil
		for _, m := range due {
			if m.at > w.now {
				w.messages = append(w.messages, m)
			} else {
				w.deliver(m)
			}
		}
		w.checkWaiters()
	}
}

func (w *world) deliver(m message) {
	if m.answer {
		w.sendAsks(m.to, w.hosts[m.to].Credit(m.ask, m.tokens, w.now))
		return
	}
	tokens := w.hosts[m.to].Lend(LendRequest{Host: string(rune('0' + m.from)), Incarnation: 1, BorrowRequest: m.ask}, w.now)
	w.post(message{from: m.to, to: m.from, ask: m.ask, answer: true, tokens: tokens})
}

func (w *world) checkWaiters() {
	left := w.waiters[:0]
	for _, x := range w.waiters {
		select {
		case <-x.Done():
			w.admitted("waiter")
		default:
			left = append(left, x)
		}
	}
	w.waiters = left
}

func (w *world) run() string {
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
			w.pass(clock.Millis(w.draw("pass", 1, 60)))
		case 4:
			w.pass(clock.Millis(w.draw("fill", 100, 2500)))
			w.renew()
		case 5:
			w.pass(20)
		case 6:
			w.lapse()
		}
		w.checkWaiters()
	}
	return w.over
}

// TestLendingNeverAdmitsMore guards against lost, late and repeated messages
// and ended leases that let the fleet admit more than rate × time + burst.
func TestLendingNeverAdmitsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := newWorld(t, 0).run(); over != "" {
			t.Fatal(over)
		}
	})
}

// TestCheckerNotices breaks rules of lending once each and guards against a
// checker that would let it pass. The seeds are the first that show the fault.
func TestCheckerNotices(t *testing.T) {
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
				return rapid.Custom(func(t *rapid.T) string { return newWorld(t, omit).run() }).Example(m.seed)
			}
			if over := run(0); over != "" {
				t.Errorf("fault without a mutation: %s", over)
			}
			if run(m.rule) == "" {
				t.Errorf("the checker does not notice that rule %s is broken", m.name)
			}
		})
	}
}

// pair returns a borrower and a lender of 60 slots each, both full.
func pair(omit Rule) (a, b *Limiter) {
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

// spend takes up to n tokens and returns how many, with the requests to send.
func spend(l *Limiter, n int, now clock.Millis) (int, []BorrowRequest) {
	taken, asks := 0, []BorrowRequest(nil)
	for range n {
		d := l.Admit("w", now)
		if d.OK {
			taken++
		}
		asks = append(asks, d.BorrowRequests...)
	}
	return taken, asks
}

func lend(l *Limiter, ask BorrowRequest, now clock.Millis) float64 {
	return l.Lend(LendRequest{Host: "a", Incarnation: 1, BorrowRequest: ask}, now)
}

// TestLendingRules guards against tokens that exist twice, with one short
// history for each rule, and shows that the history fails without the rule.
func TestLendingRules(t *testing.T) {
	for _, m := range []struct {
		name string
		rule Rule
		// sound plays the history and reports whether the fleet stayed within its burst.
		sound func(omit Rule) bool
	}{
		{"reserve_loan", RuleReserveLoan, func(omit Rule) bool {
			_, b := pair(omit)
			lent := lend(b, BorrowRequest{Bucket: "w", Tokens: 20, Sequence: 1}, 5000)
			return lent > 0 && b.Tokens("w", 5000+BorrowTimeout)+lent <= 50
		}},
		{"sequence", RuleRejectOldSequence, func(omit Rule) bool {
			_, b := pair(omit)
			ask := BorrowRequest{Bucket: "w", Tokens: 10, Sequence: 4}
			lend(b, ask, 5000)
			ask.Sequence = 5
			newer := lend(b, ask, 5010)
			ask.Sequence = 4
			return newer > 0 && lend(b, ask, 5020) == 0
		}},
		{"late_answer", RuleDropLateResponse, func(omit Rule) bool {
			a, b := pair(omit)
			_, asks := spend(a, 49, 5000)
			lent := lend(b, asks[0], 5010)
			// Both buckets are full again; the answer comes within one millisecond
			// of spending everything.
			a.Tokens("w", 9000)
			b.Tokens("w", 6000)
			b.Tokens("w", 9000)
			sum, _ := spend(a, 20, 9000)
			a.Credit(asks[0], lent, 9000)
			return lent > 0 && float64(sum)+a.Tokens("w", 9000)+b.Tokens("w", 9000) <= 100
		}},
		{"cap_credit", RuleCapCredit, func(omit Rule) bool {
			a, b := pair(omit)
			_, asks := spend(a, 49, 5000)
			lent := lend(b, asks[0], 5010)
			a.Tokens("w", 5000+BorrowTimeout-1)
			a.mu.Lock()
			a.buckets["w"].tokens = 49.9
			a.mu.Unlock()
			a.Credit(asks[0], lent, 5000+BorrowTimeout-1)
			return lent > 0 && a.Tokens("w", 5000+BorrowTimeout-1) <= 50
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			if !m.sound(0) {
				t.Error("the fleet went above its burst")
			}
			if m.sound(m.rule) {
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
	names, all := []string{"0", "1", "2", "3", "4", "5", "6", "7"}, make([]*Limiter, hosts)
	for i := range all {
		all[i] = New(Config{})
		all[i].SetLimits(map[string]Limit{"w": {RatePerSecond: 20, Burst: 20}}, 0)
		all[i].SetShare(TotalSlots/hosts, 1<<40, 0)
		all[i].SetPeers(append(append([]string(nil), names[:i]...), names[i+1:]...))
	}
	// Each lender spends two of its 2.495 tokens, and the borrower too.
	for _, l := range all {
		l.Tokens("w", 5000)
		for range 2 {
			if !l.Admit("w", 5000).OK {
				t.Fatal("no token in a full bucket")
			}
		}
	}
	d := all[0].Admit("w", 5000)
	if d.Waiter == nil {
		t.Fatal("the request was refused although seven peers have 0.495 tokens each")
	}
	asks := d.BorrowRequests
	for now := clock.Millis(5020); len(asks) > 0 && now < 5000+MaxTokenWait; now += 20 {
		var next []BorrowRequest
		for _, a := range asks {
			tokens := all[a.Peer[0]-'0'].Lend(LendRequest{Host: "0", Incarnation: 1, BorrowRequest: a}, now)
			next = append(next, all[0].Credit(a, tokens, now)...)
		}
		asks = next
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

// TestLeastBurst guards against a burst that the configuration check accepts
// and with which a host of few slots never admits a request.
func TestLeastBurst(t *testing.T) {
	for _, slots := range []int{10, 12, 15, 120} {
		for rate := 1.0; rate < 1e6; rate *= 1.7 {
			least := MinBurst(rate, slots)
			for _, burst := range []float64{least, least - 0.002} {
				l := New(Config{})
				l.SetLimits(map[string]Limit{"w": {RatePerSecond: rate, Burst: burst}}, 0)
				l.SetShare(slots, 1<<40, 0)
				l.Tokens("w", 1<<20)
				if got, want := l.Admit("w", 1<<20).OK, burst == least; got != want {
					t.Fatalf("rate %v, burst %v, %d slots: admitted %t, want %t", rate, burst, slots, got, want)
				}
			}
		}
	}
}
