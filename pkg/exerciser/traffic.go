package exerciser

import (
	"time"

	"catkindyke/pkg/limiter"
)

// audit compares what a fleet admits with an ideal single token bucket.
type audit struct {
	limit limiter.Limit
	rate  float64
	// level is a bucket that bounds what may be admitted in any interval.
	level   float64
	at      time.Duration
	ideal   float64
	idealAt time.Duration
	// Result is what was counted since the last Reset.
	Result
}

// Result counts requests.
type Result struct {
	// Sent is the number of requests.
	Sent int
	// WithinLimit is the number that the ideal bucket admits.
	WithinLimit int
	// Admitted is the number that the fleet admitted.
	Admitted int
	// WrongfulRefusals is the number that the ideal bucket admits and the fleet refused.
	WrongfulRefusals int
	// OverAdmissions is the number admitted above rate and burst.
	OverAdmissions int
}

func newAudit(limit limiter.Limit, drift float64) *audit {
	return &audit{limit: limit, rate: limit.RatePerSecond * (1 + drift), level: limit.Burst, ideal: limit.Burst}
}

// admitted counts an admission and reports whether it is above rate × time + burst for some interval.
func (a *audit) admitted(now time.Duration) bool {
	a.level = min(a.limit.Burst, a.level+a.rate*(now-a.at).Seconds())
	a.at = now
	a.level--
	a.Admitted++
	if a.level < -slack {
		a.OverAdmissions++
		return false
	}
	return true
}

// slack covers rounding of floating point.
const slack = 1e-6

// within reports whether the ideal bucket admits a request.
func (a *audit) within(now time.Duration) bool {
	a.ideal = min(a.limit.Burst, a.ideal+a.limit.RatePerSecond*(now-a.idealAt).Seconds())
	a.idealAt = now
	a.Sent++
	if a.ideal < 1 {
		return false
	}
	a.ideal--
	a.WithinLimit++
	return true
}

// request is one that waits for tokens.
type request struct {
	wait   *limiter.Waiter
	bucket string
	within bool
	ended  bool
	done   func(admitted, within bool)
}

// Request sends one request of a workspace to a host.
func (f *Fleet) Request(n int, bucket string) { f.RequestWithCallback(n, bucket, func(bool, bool) {}) }

// RequestWithCallback sends one request and tells whether it was admitted, and whether the
// ideal bucket admits it.
func (f *Fleet) RequestWithCallback(n int, bucket string, done func(admitted, within bool)) {
	h, a := f.hosts[n], f.audits[bucket]
	within := a.within(f.now)
	if !h.IsRunning() {
		f.refuse(a, within)
		done(false, within)
		return
	}
	d := h.limiter.Admit(bucket, h.now())
	h.granted()
	if !f.cfg.StaticShares {
		for _, ask := range d.BorrowRequests {
			h.borrow(ask)
		}
	}
	switch {
	case d.OK:
		f.admit(h, bucket)
		done(true, within)
	case d.Waiter != nil && !f.cfg.StaticShares:
		r := &request{wait: d.Waiter, bucket: bucket, within: within, done: done}
		h.waiting = append(h.waiting, r)
		life := h.life
		f.AfterFunc(limiter.MaxTokenWait.Duration(), func() { h.giveUp(r, life) })
	default:
		if d.Waiter != nil {
			d.Waiter.Cancel(0)
		}
		f.refuse(a, within)
		done(false, within)
	}
}

func (f *Fleet) admit(h *Host, bucket string) {
	if !f.audits[bucket].admitted(f.now) {
		f.violate("%s admitted by %s above rate and burst (level %.3f)", bucket, h.name, f.audits[bucket].level)
	}
}

func (f *Fleet) refuse(a *audit, within bool) {
	if within {
		a.WrongfulRefusals++
	}
}

func (h *Host) giveUp(r *request, life uint64) {
	if r.ended {
		return
	}
	if life == h.life && h.IsRunning() {
		r.wait.Cancel(h.now())
		h.granted()
	}
	if !r.ended {
		r.ended = true
		h.f.refuse(h.f.audits[r.bucket], r.within)
		r.done(false, r.within)
	}
}

// granted counts the waiting requests that have got a token.
func (h *Host) granted() {
	left := h.waiting[:0]
	for _, r := range h.waiting {
		if r.ended {
			continue
		}
		select {
		case <-r.wait.Done():
			r.ended = true
			h.f.admit(h, r.bucket)
			r.done(true, r.within)
		default:
			left = append(left, r)
		}
	}
	h.waiting = left
}

// borrow carries a request for tokens and its answer.
func (h *Host) borrow(ask limiter.BorrowRequest) {
	h.f.BorrowRequests++
	h.after(limiter.BorrowTimeout.Duration(), func() { h.limiter.BorrowFailed(ask, h.now()) })
	var p *Host
	for _, x := range h.f.hosts {
		if x.name == ask.Peer {
			p = x
		}
	}
	life := h.life
	h.f.send(h, p, func() {
		tokens := p.limiter.Lend(limiter.LendRequest{Host: h.name, Incarnation: life, BorrowRequest: ask}, p.now())
		h.f.send(p, h, func() {
			if h.life == life {
				for _, next := range h.limiter.Credit(ask, tokens, h.now()) {
					h.borrow(next)
				}
			}
		})
	})
}

// Results returns the counts over all workspaces.
func (f *Fleet) Results() Result {
	var sum Result
	for _, a := range f.audits {
		sum.Sent += a.Sent
		sum.WithinLimit += a.WithinLimit
		sum.Admitted += a.Admitted
		sum.WrongfulRefusals += a.WrongfulRefusals
		sum.OverAdmissions += a.OverAdmissions
	}
	return sum
}

// ResetCounts starts new counts and, for a fair start, an ideal bucket that is full.
func (f *Fleet) ResetCounts() {
	for _, a := range f.audits {
		a.Result = Result{}
	}
	f.LedgerWrites, f.BorrowRequests = 0, 0
}
