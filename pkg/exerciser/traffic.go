package exerciser

import (
	"time"

	"catkindyke/pkg/limiter"
)

// audit compares the admissions of a fleet with those of a single ideal token
// bucket.
type audit struct {
	limit   limiter.Limit
	maxRate float64
	// boundTokens is the level of a bucket that takes only admitted requests and
	// is refilled at maxRate, the rate of the fastest clock. A negative level
	// shows more admissions than rate × time + burst in some interval.
	boundTokens    float64
	boundUpdatedAt time.Duration
	idealTokens    float64
	idealUpdatedAt time.Duration
	// Result contains the counts since the last ResetCounts.
	Result
}

// Result counts requests.
type Result struct {
	// Sent is the number of requests sent.
	Sent int
	// WithinLimit is the number of requests that the ideal bucket admits.
	WithinLimit int
	// Admitted is the number of requests that the fleet admitted.
	Admitted int
	// WrongfulRefusals is the number of requests that the ideal bucket admits and
	// the fleet refused.
	WrongfulRefusals int
	// OverAdmissions is the number of requests admitted above rate and burst.
	OverAdmissions int
}

func newAudit(limit limiter.Limit, clockDrift float64) *audit {
	return &audit{limit: limit, maxRate: limit.RatePerSecond * (1 + clockDrift), boundTokens: limit.Burst, idealTokens: limit.Burst}
}

// recordAdmission counts an admission and reports whether the admissions of
// every interval up to now are within rate × time + burst.
func (a *audit) recordAdmission(now time.Duration) bool {
	a.boundTokens = min(a.limit.Burst, a.boundTokens+a.maxRate*(now-a.boundUpdatedAt).Seconds())
	a.boundUpdatedAt = now
	a.boundTokens--
	a.Admitted++
	if a.boundTokens < -roundingTolerance {
		a.OverAdmissions++
		return false
	}
	return true
}

// roundingTolerance covers floating-point rounding errors, in tokens.
const roundingTolerance = 1e-6

// takeIdealToken counts a request and reports whether the ideal bucket admits it.
func (a *audit) takeIdealToken(now time.Duration) bool {
	a.idealTokens = min(a.limit.Burst, a.idealTokens+a.limit.RatePerSecond*(now-a.idealUpdatedAt).Seconds())
	a.idealUpdatedAt = now
	a.Sent++
	if a.idealTokens < 1 {
		return false
	}
	a.idealTokens--
	a.WithinLimit++
	return true
}

// request is a request that waits for tokens.
type request struct {
	waiter      *limiter.Waiter
	bucket      string
	withinLimit bool
	finished    bool
	callback    func(admitted, withinLimit bool)
}

// Request sends a request to a host and ignores the result. The bucket is named
// after the workspace.
func (f *Fleet) Request(n int, bucket string) { f.RequestWithCallback(n, bucket, func(bool, bool) {}) }

// RequestWithCallback sends a request to a host. The callback gets whether the
// host admitted it, and whether the ideal bucket admits it.
func (f *Fleet) RequestWithCallback(n int, bucket string, callback func(admitted, withinLimit bool)) {
	h, a := f.hosts[n], f.audits[bucket]
	withinLimit := a.takeIdealToken(f.now)
	if !h.IsRunning() {
		f.recordRefusal(a, withinLimit)
		callback(false, withinLimit)
		return
	}
	decision := h.limiter.Admit(bucket, h.now())
	h.admitGranted()
	if !f.cfg.StaticShares {
		for _, req := range decision.BorrowRequests {
			h.borrow(req)
		}
	}
	switch {
	case decision.OK:
		f.recordAdmission(h, bucket)
		callback(true, withinLimit)
	case decision.Waiter != nil && !f.cfg.StaticShares:
		r := &request{waiter: decision.Waiter, bucket: bucket, withinLimit: withinLimit, callback: callback}
		h.waitingRequests = append(h.waitingRequests, r)
		incarnation := h.incarnation
		f.AfterFunc(limiter.MaxTokenWait.Duration(), func() { h.refuseAfterWait(r, incarnation) })
	default:
		if decision.Waiter != nil {
			decision.Waiter.Cancel(0)
		}
		f.recordRefusal(a, withinLimit)
		callback(false, withinLimit)
	}
}

func (f *Fleet) recordAdmission(h *Host, bucket string) {
	if !f.audits[bucket].recordAdmission(f.now) {
		f.recordViolation("%s admitted by %s above rate and burst (token level %.3f)", bucket, h.name, f.audits[bucket].boundTokens)
	}
}

func (f *Fleet) recordRefusal(a *audit, withinLimit bool) {
	if withinLimit {
		a.WrongfulRefusals++
	}
}

// refuseAfterWait refuses a request that got no token in MaxTokenWait.
func (h *Host) refuseAfterWait(r *request, incarnation uint64) {
	if r.finished {
		return
	}
	if incarnation == h.incarnation && h.IsRunning() {
		r.waiter.Cancel(h.now())
		h.admitGranted()
	}
	if !r.finished {
		r.finished = true
		h.fleet.recordRefusal(h.fleet.audits[r.bucket], r.withinLimit)
		r.callback(false, r.withinLimit)
	}
}

// admitGranted admits the waiting requests that have been granted a token.
func (h *Host) admitGranted() {
	stillWaiting := h.waitingRequests[:0]
	for _, r := range h.waitingRequests {
		if r.finished {
			continue
		}
		select {
		case <-r.waiter.Done():
			r.finished = true
			h.fleet.recordAdmission(h, r.bucket)
			r.callback(true, r.withinLimit)
		default:
			stillWaiting = append(stillWaiting, r)
		}
	}
	h.waitingRequests = stillWaiting
}

// borrow sends a borrow request to the lender and credits the lent tokens.
func (h *Host) borrow(req limiter.BorrowRequest) {
	h.fleet.BorrowRequests++
	h.afterFunc(limiter.BorrowTimeout.Duration(), func() { h.limiter.BorrowFailed(req, h.now()) })
	var lender *Host
	for _, peer := range h.fleet.hosts {
		if peer.name == req.Peer {
			lender = peer
		}
	}
	incarnation := h.incarnation
	h.fleet.send(h, lender, func() {
		tokens := lender.limiter.Lend(limiter.LendRequest{Host: h.name, Incarnation: incarnation, BorrowRequest: req}, lender.now())
		h.fleet.send(lender, h, func() {
			if h.incarnation == incarnation {
				for _, next := range h.limiter.Credit(req, tokens, h.now()) {
					h.borrow(next)
				}
			}
		})
	})
}

// Results returns the sums of the counts of all workspaces.
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

// ResetCounts resets the counts. The levels of the buckets stay.
func (f *Fleet) ResetCounts() {
	for _, a := range f.audits {
		a.Result = Result{}
	}
	f.LedgerWrites, f.BorrowRequests = 0, 0
}
