package hoster

import (
	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/steerer"
)

const (
	// secondTimeFraction is the fraction of the time left in which a second attempt should be
	// answered that starts as late as possible.
	secondTimeFraction = 0.9
	// secondStep is the time below which a second attempt is not put off.
	secondStep clock.Millis = 20
)

// secondDelay returns the time after which a request that waits for its first attempt may
// get a second one.
func (h *Host) secondDelay(class string, first balancer.Choice) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	earliest, _ := h.hedger.Delays(class, first.EstimatedLatency)
	return earliest
}

// chooseSecond decides on a second attempt of a request that has waited for its first one.
// While the server of that one is suspected to be silent, this is a retry after a failure,
// and the share of second attempts does not bind it.
func (h *Host) chooseSecond(req balancer.Request, first balancer.Choice, waited clock.Millis) steerer.SecondChoice {
	h.mu.Lock()
	defer h.mu.Unlock()
	suspected := h.balancer.IsSuspected(first.Server.ID)
	if !suspected && !h.hedger.Allows() {
		return steerer.SecondChoice{Verdict: steerer.SecondOverShare}
	}
	now := h.cfg.Clock.Now()
	if h.balancer.HasStandingQueue(req.Service, now) {
		return steerer.SecondChoice{Verdict: steerer.SecondNoServer}
	}
	h.retryBudget.SetHosts(h.sharingHosts())
	has, allow := h.retryBudget.HasSecond, h.retryBudget.AllowSecond
	if suspected {
		has, allow = h.retryBudget.Has, h.retryBudget.Allow
	}
	if !has(req.Service) {
		return steerer.SecondChoice{Verdict: steerer.SecondOverBudget}
	}
	// The request was admitted with its first attempt. Asking for a second one, which happens
	// again and again, must count neither in the admission nor as a wait.
	req.Second, req.LeavesSilent = true, suspected
	c := h.balancer.Choose(req, now)
	if c.Refused {
		return steerer.SecondChoice{Verdict: steerer.SecondNoServer}
	}
	if delay := h.secondPutOff(req, first, c, waited); !suspected && delay > secondStep {
		return steerer.SecondChoice{Verdict: steerer.SecondLater, RetryIn: delay}
	}
	if !allow(req.Service).Allowed {
		return steerer.SecondChoice{Verdict: steerer.SecondOverBudget}
	}
	if !suspected {
		h.hedger.Spend(first.EstimatedLatency, c.EstimatedLatency)
	}
	return steerer.SecondChoice{
		Verdict: steerer.SecondAllowed, Choice: c, KnownWarm: h.balancer.StartAttempt(c, req, now), Suspected: suspected,
	}
}

// isSuspected reports whether a server is suspected to be silent.
func (h *Host) isSuspected(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balancer.IsSuspected(server)
}

// secondPutOff returns the time for which a second attempt is put off: until its usual
// delay, or the last moment at which it can still be answered in time.
func (h *Host) secondPutOff(req balancer.Request, first, second balancer.Choice, waited clock.Millis) clock.Millis {
	_, usual := h.hedger.Delays(req.Class, first.EstimatedLatency)
	spare := clock.Millis(secondTimeFraction*float64(req.TimeLeft)) - second.EstimatedLatency
	return min(usual-waited, spare)
}

// observeTime records the time of an attempt at a warm server with a free slot. One that
// was given up took at least that long. A second attempt that was given up says nothing: it
// ends with the first one, however soon that is.
func (h *Host) observeTime(x balancer.Attempt) {
	if !x.KnownWarm || x.Choice.InFlight >= x.Choice.Server.Slots {
		return
	}
	if x.Result == balancer.Superseded && x.Choice.Second {
		return
	}
	switch x.Result {
	case balancer.Answered, balancer.Superseded, balancer.TimedOut:
		h.hedger.Observe(x.Class, x.Duration)
	case balancer.Failed, balancer.Shed, balancer.Unreachable, balancer.Abandoned:
	}
}
