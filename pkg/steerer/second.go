package steerer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/courier"
	"catkindyke/pkg/observer"
	"catkindyke/pkg/screener"
)

var (
	// errSuperseded is the cause with which an attempt is canceled because the other one
	// has answered.
	errSuperseded = errors.New("another attempt has answered")
	// errPanicked is the error of a second attempt that panicked.
	errPanicked = errors.New("the attempt panicked")
)

// SecondVerdict is the reason for which a second attempt starts or does not.
type SecondVerdict string

// Verdicts on second attempts.
const (
	SecondAllowed    SecondVerdict = "allowed"
	SecondOverShare  SecondVerdict = "over_share"
	SecondOverBudget SecondVerdict = "over_budget"
	// SecondLater means that the request should wait longer for its first attempt.
	SecondLater SecondVerdict = "later"
	// SecondNoServer means that no other server is expected to answer in time.
	SecondNoServer SecondVerdict = "no_server"
	// SecondNoRoom means that the host has no descriptor for a second connection.
	SecondNoRoom SecondVerdict = "no_room"
)

// SecondChoice is the decision on a second attempt.
type SecondChoice struct {
	Verdict   SecondVerdict
	Choice    balancer.Choice
	KnownWarm bool
	// RetryIn is the time to wait with the verdict SecondLater.
	RetryIn clock.Millis
	// Suspected means that the server of the first attempt is suspected to be silent.
	Suspected bool
}

const (
	// minSecondDelay keeps a request whose second attempt was not allowed from asking all the
	// time.
	minSecondDelay clock.Millis = 50
	// maxAsks is the number of times that a request asks for a second attempt, and again once
	// the server of its first one is suspected. Each takes a placement decision.
	maxAsks = 3
)

// attempt is one attempt at a server.
type attempt struct {
	choice    balancer.Choice
	knownWarm bool
	ctx       context.Context
	// cancel ends the attempt at once, and with it the connection that it uses.
	cancel context.CancelCauseFunc
	resp   *courier.Response
	err    error
	result balancer.Result
	// load is what the server stated in its response.
	load observer.Load
	// recorded is set once the balancer has been told how the attempt ended.
	recorded bool
}

// send sends the request to the attempt's server and records how that ended.
func (s *Steerer) send(c *call, a *attempt) {
	start := s.cfg.Clock.Now()
	defer s.recordAbandoned(c, a)
	a.resp, a.err = s.cfg.Send(a.ctx, courier.Target{ID: a.choice.Server.ID, Address: a.choice.Server.Address}, s.backendRequest(c, a.choice.Server))
	a.result = s.classifyAttempt(a.ctx, a.resp, a.err)
	a.load = s.load(c, a)
	a.recorded = true
	s.recordAttempt(c, a, balancer.Attempt{Result: a.result, Duration: s.cfg.Clock.Now() - start, Notice: s.notice(c, a), Load: a.load})
}

// recordAbandoned takes an attempt that panicked from the requests in flight.
func (s *Steerer) recordAbandoned(c *call, a *attempt) {
	if !a.recorded {
		a.recorded = true
		s.recordAttempt(c, a, balancer.Attempt{Result: balancer.Abandoned})
	}
}

// runAttempts sends the request to the chosen server and, if that takes long and the
// request may be repeated, to a second one beside it. It returns the attempts that were
// made; the last one decides what becomes of the request.
func (s *Steerer) runAttempts(ctx context.Context, c *call) []*attempt {
	first := &attempt{choice: c.choice, knownWarm: c.knownWarm, ctx: ctx}
	if !c.isRepeatable() || c.sentAttempts+1 >= c.route.MaxAttempts || s.cfg.Stop() != nil {
		c.inFlight = false // send records how the attempt ends
		s.send(c, first)
		return []*attempt{first}
	}
	first.ctx, first.cancel = context.WithCancelCause(ctx)
	r := &race{s: s, c: c, ctx: ctx, first: first, start: s.cfg.Clock.Now(), secondEnded: make(chan struct{})}
	r.delay = max(minSecondDelay, s.cfg.SecondDelay(c.route.Name, first.choice))
	r.nextDelay = max(minSecondDelay, r.delay/2)
	r.arm()
	returned := false
	defer func() {
		r.stop()
		if !returned {
			r.abandonSecond()
		}
	}()
	c.inFlight = false
	s.send(c, first)
	r.end(first)
	attempts := r.wait()
	returned = true
	return attempts
}

// race is a first attempt, and the second one that may run beside it. The goroutine of the
// request runs the first one, so that most requests need no other goroutine. While both run,
// neither changes the call.
type race struct {
	s     *Steerer
	c     *call
	ctx   context.Context
	first *attempt
	start clock.Millis
	// delay is the time until the next decision on a second attempt.
	delay clock.Millis
	// nextDelay is the time from one decision to the next.
	nextDelay clock.Millis
	// secondEnded is closed when the second attempt has ended.
	secondEnded chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is the time at which the timer should fire, and asks the number of decisions.
	dueAt clock.Millis
	asks  int
	// closed is set once no second attempt may start.
	closed bool
	second *attempt
	// ended holds the attempts in the order in which they ended, and winner the first one
	// with a usable response.
	ended  []*attempt
	winner *attempt
}

// arm starts the timer for the second attempt.
func (r *race) arm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.dueAt = r.s.cfg.Clock.Now() + r.delay
		r.timer = time.AfterFunc(r.delay.Duration(), r.runSecond)
	}
}

// stop keeps a second attempt from starting.
func (r *race) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.timer.Stop()
}

// abandonSecond ends the second attempt after a panic of the first one. It uses the body, which
// is released when the request ends.
func (r *race) abandonSecond() {
	r.mu.Lock()
	second := r.second
	r.mu.Unlock()
	if second == nil {
		return
	}
	second.cancel(nil)
	<-r.secondEnded
	closeStream(second.resp)
}

// runSecond runs the second attempt, or tries again later if there is none now: room may
// come, and the server of the first one may be suspected meanwhile.
func (r *race) runSecond() {
	defer r.recoverSecond()
	if !r.startSecond() {
		r.arm()
		return
	}
	r.s.send(r.c, r.second)
	r.end(r.second)
	close(r.secondEnded)
}

// recoverSecond lets the first attempt go on when the second one has panicked.
func (r *race) recoverSecond() {
	cause := recover()
	if cause == nil {
		return
	}
	r.s.logPanic(r.c, cause)
	if r.second == nil {
		return
	}
	defer close(r.secondEnded)
	if r.hasEnded(r.second) {
		return
	}
	closeStream(r.second.resp)
	r.second.resp, r.second.err, r.second.result = nil, errPanicked, balancer.Unreachable
	r.s.recordAbandoned(r.c, r.second)
	r.end(r.second)
}

func (r *race) hasEnded(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.ended, a)
}

// startSecond chooses the server of the second attempt, and reports whether there is one.
func (r *race) startSecond() bool {
	s, c := r.s, r.c
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.cfg.Clock.Now()-r.dueAt >= minSecondDelay {
		// The process was stopped or starved, and responses that have arrived may be unread.
		r.delay = minSecondDelay
		return false
	}
	r.delay = r.nextDelay
	if !r.mayAsk() {
		return false
	}
	if r.closed || s.cfg.Stop() != nil || r.ctx.Err() != nil || s.cfg.CallerLeft(c.r.Context()) || s.recheckKey(c) != nil {
		return false
	}
	timeLeft := s.timeLeft(c)
	if timeLeft < minTimeLeft {
		return false
	}
	req := s.balancerRequest(c, timeLeft)
	req.AttemptedServers = append(slices.Clone(c.attemptedServers), r.first.choice.Server.ID)
	r.asks++
	held := screener.Held(c.r.Context())
	if !held.TryForward() {
		s.cfg.Meter.Add("second_attempts_"+string(SecondNoRoom), 1)
		return false
	}
	d := s.cfg.ChooseSecond(req, r.first.choice, s.cfg.Clock.Now()-r.start)
	if d.Verdict != SecondAllowed {
		held.ReleaseForward()
	}
	if d.Verdict == SecondLater {
		r.delay = d.RetryIn
		return false
	}
	if d.Verdict != SecondAllowed {
		s.cfg.Meter.Add("second_attempts_"+string(d.Verdict), 1)
		return false
	}
	r.second = &attempt{choice: d.Choice, knownWarm: d.KnownWarm}
	r.second.ctx, r.second.cancel = context.WithCancelCause(r.ctx)
	s.cfg.Meter.Add("second_attempts", 1)
	s.cfg.Log.Info().Str("request", c.id).Str("server", r.first.choice.Server.ID).Str("second", d.Choice.Server.ID).Bool("suspected", d.Suspected).
		Int64("after_ms", int64(c.timeout-timeLeft)).Int64("estimate_ms", int64(r.first.choice.EstimatedLatency)).Msg("second_attempt")
	return true
}

// mayAsk reports whether the request may ask for a second attempt once more.
func (r *race) mayAsk() bool {
	return r.asks < maxAsks || r.asks < 2*maxAsks && r.s.cfg.IsSuspected(r.first.choice.Server.ID)
}

// end records that an attempt has ended. The first one with a usable response wins, and
// the other one is canceled.
func (r *race) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, a)
	if a == r.first {
		r.closed = true
		r.timer.Stop()
	}
	if a.result != balancer.Answered {
		return
	}
	if r.winner != nil {
		closeStream(a.resp)
		return
	}
	r.winner = a
	if a != r.first {
		r.s.cfg.Meter.Add("second_attempts_won", 1)
		r.first.cancel(errSuperseded)
	} else if r.second != nil {
		r.second.cancel(errSuperseded)
	}
}

// wait waits until the second attempt has ended, if there is one, and returns the attempts
// with the decisive one at the end.
func (r *race) wait() []*attempt {
	r.mu.Lock()
	second := r.second
	r.mu.Unlock()
	if second != nil {
		<-r.secondEnded
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil && r.winner != r.ended[len(r.ended)-1] {
		slices.Reverse(r.ended)
	}
	for _, a := range r.ended[:len(r.ended)-1] {
		if a.result != balancer.Answered && a.result != balancer.Superseded {
			r.s.logFailedAttempt(r.c, a, retryCheck{verdict: retryOtherRuns})
		}
	}
	return r.ended
}
