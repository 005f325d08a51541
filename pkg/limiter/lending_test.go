package limiter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

// TestMain fixes the seed, so that each CI run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// message is a borrow request or its response in flight.
type message struct {
	deliverAt  clock.Millis
	from, to   int
	req        BorrowRequest
	isResponse bool
	tokens     float64
}

// simulation models three hosts with 40 slots each and the messages between
// them.
type simulation struct {
	t        *rapid.T
	now      clock.Millis
	hosts    [3]*Limiter
	messages []message
	waiters  []*Waiter
	// idealTokens is the level of an ideal bucket, which limits the admissions
	// in every interval.
	idealTokens    float64
	idealUpdatedAt clock.Millis
	limit          Limit
	// host0LeaseEnd is the end of host 0's lease, or zero while it is renewed.
	host0LeaseEnd clock.Millis
	slotsMoved    bool
	violation     string
}

func newSimulation(t *rapid.T, omit Rule) *simulation {
	s := &simulation{t: t, limit: Limit{RatePerSecond: 50, Burst: float64(rapid.IntRange(20, 100).Draw(t, "burst"))}}
	s.idealTokens = s.limit.Burst
	for i := range s.hosts {
		s.hosts[i] = New(Config{Omit: omit})
		s.hosts[i].SetLimits(map[string]Limit{"w": s.limit}, 0)
		var peers []string
		for p := range s.hosts {
			if p != i {
				peers = append(peers, string(rune('0'+p)))
			}
		}
		s.hosts[i].SetPeers(peers)
	}
	s.renewLeases()
	return s
}

func (s *simulation) draw(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(s.t, name) }

// renewLeases renews the leases. Like the leaser, it moves host 0's slots to
// host 1 when the lease ended 2 s ago, and back after QuiescePeriod.
func (s *simulation) renewLeases() {
	for i, l := range s.hosts {
		switch {
		case i == 0 && s.host0LeaseEnd > 0:
		case i == 1 && s.slotsMoved:
			l.SetShare(80, s.now+8000, s.now)
		default:
			l.SetShare(40, s.now+8000, s.now)
		}
	}
}

// advanceHost0Lease takes host 0's lease to its next state: it lets the lease
// end, moves the slots to host 1, or moves them back.
func (s *simulation) advanceHost0Lease() {
	switch {
	case s.host0LeaseEnd == 0:
		s.host0LeaseEnd = s.now + 1
		s.hosts[0].SetShare(40, s.host0LeaseEnd, s.now)
	case !s.slotsMoved:
		s.advance(2000)
		s.slotsMoved = true
	default:
		s.hosts[1].SetShare(40, s.now+8000, s.now)
		s.advance(500)
		s.host0LeaseEnd, s.slotsMoved = 0, false
		s.hosts[0].SetShare(40, s.now+8000, s.now)
	}
	s.renewLeases()
}

// recordAdmission takes a token from the ideal bucket and records a violation
// if there is none.
func (s *simulation) recordAdmission(source string) {
	s.idealTokens = min(s.limit.Burst, s.idealTokens+s.limit.RatePerSecond*float64(s.now-s.idealUpdatedAt)/1000)
	s.idealUpdatedAt = s.now
	s.idealTokens--
	if s.idealTokens < -1e-6 && s.violation == "" {
		s.violation = fmt.Sprintf("%s at %d: %.2f tokens above rate × time + burst", source, s.now, -s.idealTokens)
	}
}

func (s *simulation) request(host int) {
	d := s.hosts[host].Admit("w", s.now)
	if d.OK {
		s.recordAdmission("admit")
	}
	if d.Waiter != nil {
		s.waiters = append(s.waiters, d.Waiter)
	}
	s.sendRequests(host, d.BorrowRequests)
}

func (s *simulation) sendRequests(host int, reqs []BorrowRequest) {
	for _, req := range reqs {
		s.send(message{from: host, to: int(req.Peer[0] - '0'), req: req})
	}
}

// send schedules a message, which may be lost, delayed or duplicated.
func (s *simulation) send(m message) {
	delays := []clock.Millis{1, 20, 20, 0, 120, 195, 260, 700}
	for range s.draw("copies", 1, 2) {
		if d := delays[s.draw("delay", 0, len(delays)-1)]; d > 0 {
			m.deliverAt = s.now + d
			s.messages = append(s.messages, m)
		}
	}
}

// advance moves the time forward and delivers the messages that become due.
func (s *simulation) advance(d clock.Millis) {
	for end := s.now + d; s.now < end; {
		s.now = min(end, s.now+5)
		due := s.messages
		s.messages = nil
		for _, m := range due {
			if m.deliverAt > s.now {
				s.messages = append(s.messages, m)
			} else {
				s.deliver(m)
			}
		}
		s.checkWaiters()
	}
}

func (s *simulation) deliver(m message) {
	if m.isResponse {
		s.sendRequests(m.to, s.hosts[m.to].Credit(m.req, m.tokens, s.now))
		return
	}
	tokens := s.hosts[m.to].Lend(LendRequest{Host: string(rune('0' + m.from)), Incarnation: 1, BorrowRequest: m.req}, s.now)
	s.send(message{from: m.to, to: m.from, req: m.req, isResponse: true, tokens: tokens})
}

func (s *simulation) checkWaiters() {
	pending := s.waiters[:0]
	for _, waiter := range s.waiters {
		select {
		case <-waiter.Done():
			s.recordAdmission("waiter")
		default:
			pending = append(pending, waiter)
		}
	}
	s.waiters = pending
}

// run executes random steps and returns the first violation, or an empty
// string.
func (s *simulation) run() string {
	for range s.draw("steps", 5, 60) {
		switch s.draw("step", 0, 6) {
		case 0, 1:
			host := s.draw("host", 0, 2)
			for range s.draw("requests", 1, 60) {
				s.request(host)
			}
		case 2:
			for i := range s.draw("requests", 30, 200) {
				s.request(i % 3)
			}
		case 3:
			s.advance(clock.Millis(s.draw("pass", 1, 60)))
		case 4:
			s.advance(clock.Millis(s.draw("fill", 100, 2500)))
			s.renewLeases()
		case 5:
			s.advance(20)
		case 6:
			s.advanceHost0Lease()
		}
		s.checkWaiters()
	}
	return s.violation
}

// TestLendingKeepsFleetLimit guards against lost, delayed and duplicated
// messages and ended leases that let the fleet admit more than rate × time +
// burst.
func TestLendingKeepsFleetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := newSimulation(t, 0).run(); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestCheckerDetectsBrokenRules guards against a simulation that does not
// detect violations. It switches off one lending rule at a time. Each seed is
// the first that shows the violation.
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
				t.Errorf("violation with all rules on: %s", violation)
			}
			if run(m.rule) == "" {
				t.Errorf("no violation found with rule %s switched off", m.name)
			}
		})
	}
}

// newPair returns a borrower and a lender with 60 slots and a full bucket each.
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

// takeTokens takes up to n tokens and returns the number taken and the requests
// to send.
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

// TestLendingRules guards against tokens that exist twice. A short sequence for
// each rule stays within the burst with the rule and exceeds it without.
func TestLendingRules(t *testing.T) {
	for _, m := range []struct {
		name string
		rule Rule
		// withinBurst plays the sequence and reports whether the fleet stayed
		// within its burst.
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
		{"late_response", RuleDropLateResponse, func(omit Rule) bool {
			a, b := newPair(omit)
			_, reqs := takeTokens(a, 49, 5000)
			lent := lend(b, reqs[0], 5010)
			// Both buckets are full again, and the response arrives in the
			// millisecond in which all tokens are spent.
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
				t.Error("the fleet exceeded its burst")
			}
			if m.withinBurst(m.rule) {
				t.Errorf("the burst was not exceeded with rule %s switched off", m.name)
			}
		})
	}
}

// TestFragmentsReachWaiter guards against refusals while the fleet has tokens
// left: a request has to collect fractions of a token from several lenders,
// including those with demand of their own.
func TestFragmentsReachWaiter(t *testing.T) {
	const hosts = 8
	names, limiters := []string{"0", "1", "2", "3", "4", "5", "6", "7"}, make([]*Limiter, hosts)
	for i := range limiters {
		limiters[i] = New(Config{})
		limiters[i].SetLimits(map[string]Limit{"w": {RatePerSecond: 20, Burst: 20}}, 0)
		limiters[i].SetShare(TotalSlots/hosts, 1<<40, 0)
		limiters[i].SetPeers(append(append([]string(nil), names[:i]...), names[i+1:]...))
	}
	// Each host, the borrower included, spends two of its 2.495 tokens.
	for _, l := range limiters {
		l.Tokens("w", 5000)
		for range 2 {
			if !l.Admit("w", 5000).OK {
				t.Fatal("no token from a full bucket")
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

// TestNoShare guards against a host without a lease or slots that reports a
// workspace as over its rate.
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
// although a host with few slots could never admit a request.
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
