package hoster

import (
	"testing"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/hedger"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/steerer"
)

// secondFixture is the part of a host that decides on second attempts.
type secondFixture struct {
	*Host
	clock *clock.Manual
	req   balancer.Request
	first balancer.Choice
	// waited is the time for which the first attempt has run.
	waited clock.Millis
}

func withSecond(t *testing.T, test func(f *secondFixture)) {
	t.Helper()
	f := &secondFixture{clock: &clock.Manual{}, waited: clock.Second}
	f.Host = &Host{
		cfg: Config{Clock: f.clock.Clock()}, balancer: balancer.New(balancer.Config{Region: "n"}), hedger: hedger.New(),
		retryBudget: rationer.NewRetryBudget(rationer.RetryConfig{Ratio: 0.2, Window: 10000, Slack: 10}), fleet: newFleet(Config{Name: "h"}, 1),
	}
	f.hostsListed.Store(true)
	f.balancer.SetServers([]balancer.Server{{ID: "s0", Service: "desk", Region: "n", Slots: 50}, {ID: "s1", Service: "desk", Region: "n", Slots: 50}})
	f.req = balancer.Request{Service: "desk", Class: "look", TargetLatency: 200, TimeLeft: 2000, Repeatable: true}
	f.first, _ = f.chooseServer(f.req)
	f.req.AttemptedServers = []string{f.first.Server.ID}
	test(f)
}

func (f *secondFixture) countRequests(n int) {
	for range n {
		f.countRequest("desk")
	}
}

// suspectFirst lets the server of the first attempt leave two requests unanswered.
func (f *secondFixture) suspectFirst() {
	f.balancer.Tick(0)
	for f.inFlightAt(f.first.Server.ID) < 2 {
		f.chooseServer(balancer.Request{Service: "desk", Class: "look", TargetLatency: 200, TimeLeft: 2000, Repeatable: true})
	}
	for range 10 {
		// A longer pause between ticks would count as one of the host itself.
		f.clock.Advance(100)
		f.balancer.Tick(f.clock.Clock().Now())
	}
}

func (f *secondFixture) assertVerdict(t *testing.T, step string, want steerer.SecondVerdict) {
	t.Helper()
	if got := f.chooseSecond(f.req, f.first, f.waited).Verdict; got != want {
		t.Errorf("%s: verdict %q, want %q", step, got, want)
	}
}

// Second attempts must keep to their share, and leave half of the retry budget for retries
// after failures.
func TestSecondAttemptsLeaveBudget(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.assertVerdict(t, "no requests yet", steerer.SecondOverShare)
		f.countRequests(35)
		f.assertVerdict(t, "35 requests", steerer.SecondAllowed)
		f.assertVerdict(t, "share used up", steerer.SecondOverShare)
		f.countRequests(200)
		for range 4 {
			f.assertVerdict(t, "budget of 9 retries full", steerer.SecondAllowed)
		}
		f.assertVerdict(t, "half of the budget left", steerer.SecondOverBudget)
		if d := f.allowRetry("desk"); !d.Allowed || d.Left < 4 {
			t.Errorf("retry after a failure: %+v, want at least 4 left", d)
		}
	})
}

// Requests that wait at a silent server must move on even when slow requests have used up
// the share, within the retry budget.
func TestSuspectedServerIsLeft(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.countRequests(19) // too few for a second attempt
		f.suspectFirst()
		for range 3 {
			f.assertVerdict(t, "server suspected", steerer.SecondAllowed)
		}
		f.assertVerdict(t, "budget spent", steerer.SecondOverBudget)
	})
}

// Requests that wait at a silent server and ask again and again must not pass for a standing
// queue, in which other requests are refused.
func TestAskingAgainIsNoQueue(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.countRequests(100)
		f.balancer.Tick(0)
		for f.inFlightAt(f.first.Server.ID) < 2 {
			f.chooseServer(balancer.Request{Service: "desk", Class: "look", TargetLatency: 200, TimeLeft: 2000, Repeatable: true})
		}
		f.clock.Advance(clock.Second)
		f.balancer.Tick(f.clock.Clock().Now())
		for {
			if c, _ := f.chooseServer(f.req); c.Refused || c.EstimatedLatency > 600 {
				break
			}
		}
		f.clock.Advance(clock.Second)
		for range 30 {
			f.chooseSecond(f.req, f.first, f.waited)
			f.clock.Advance(50)
		}
		if c, _ := f.chooseServer(f.req); c.Refused {
			t.Errorf("request refused with reason %q after 30 asks for a second attempt", c.Reason)
		}
	})
}

func (f *secondFixture) inFlightAt(id string) int { return f.balancer.InFlight()[id] }

// A second attempt must wait until nearly all requests of its kind would be answered, unless
// it would then be too late for the server that is free.
func TestSecondAttemptWaits(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.countRequests(300)
		for range 100 {
			f.hedger.Observe("look", 100)
		}
		_, usual := f.hedger.Delays("look", f.first.EstimatedLatency)
		f.waited = usual - 100
		d := f.chooseSecond(f.req, f.first, f.waited)
		if d.Verdict != steerer.SecondLater || d.RetryIn != 100 {
			t.Errorf("%s in %d ms, want %s in 100 ms", d.Verdict, d.RetryIn, steerer.SecondLater)
		}
		f.req.TimeLeft = f.first.EstimatedLatency * 6 / 5
		f.assertVerdict(t, "little time left", steerer.SecondAllowed)
	})
}

// Second attempts that end soon because the first one has answered must not shorten the
// delays of later ones.
func TestSupersededSecondAttemptIsNoTime(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		for range 100 {
			f.hedger.Observe("look", 100)
		}
		before, _ := f.hedger.Delays("look", 0)
		f.countRequests(300)
		d := f.chooseSecond(f.req, f.first, f.waited)
		for range 1000 {
			f.observeTime(balancer.Attempt{Choice: d.Choice, Class: "look", KnownWarm: true, Result: balancer.Superseded, Duration: 3})
		}
		if after, _ := f.hedger.Delays("look", 0); after != before {
			t.Errorf("earliest second attempt after %d ms, want %d", after, before)
		}
		for range 60 {
			f.observeTime(balancer.Attempt{Choice: f.first, Class: "look", KnownWarm: true, Result: balancer.Superseded, Duration: 500})
		}
		if after, _ := f.hedger.Delays("look", 0); after < 400 {
			t.Errorf("earliest second attempt after %d ms, want the time of superseded first ones to count", after)
		}
	})
}

// The few requests that a cold server takes must not go to second attempts, also if they
// concern no object.
func TestNoSecondAttemptAtColdServer(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.countRequests(300)
		var list []balancer.Server
		for _, id := range []string{"s0", "s1"} {
			s := balancer.Server{ID: id, Service: "desk", Region: "n", Slots: 50}
			if id != f.first.Server.ID {
				s.ColdUntil, s.ColdRate = 10*clock.Second, 10
			}
			list = append(list, s)
		}
		f.balancer.SetServers(list)
		f.assertVerdict(t, "other server cold", steerer.SecondNoServer)
		f.clock.Advance(10 * clock.Second)
		f.assertVerdict(t, "other server warm", steerer.SecondAllowed)
	})
}

// Requests that wait at a silent server must also get away when no other server is warm for
// their object.
func TestSilentServerIsLeftForOneThatMustWarmUp(t *testing.T) {
	withSecond(t, func(f *secondFixture) {
		f.countRequests(300)
		f.req.Object = "o"
		f.assertVerdict(t, "slow server", steerer.SecondNoServer)
		f.suspectFirst()
		f.assertVerdict(t, "silent server", steerer.SecondAllowed)
	})
}
