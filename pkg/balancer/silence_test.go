package balancer

import (
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

// sendTo starts a request at a server that is expected to answer within 100 ms.
func sendTo(b *Balancer, id string, repeatable bool, now clock.Millis) Choice {
	c := Choice{Server: b.servers[id].Server, EstimatedLatency: 100, wait: &wait{}}
	b.StartAttempt(c, Request{Service: "desk", Class: "look", Repeatable: repeatable}, now)
	return c
}

func finish(b *Balancer, c Choice, r Result, took, now clock.Millis) {
	b.FinishAttempt(Attempt{Choice: c, Class: "look", Result: r, Duration: took}, now)
}

// tickUntil calls Tick at the usual interval up to a time.
func tickUntil(b *Balancer, now clock.Millis) {
	for at := b.lastTick + usualTickInterval; at < now; at += usualTickInterval {
		b.Tick(at)
	}
	b.Tick(now)
}

func assertNoneSuspected(t *testing.T, step string, b *Balancer) {
	t.Helper()
	if got := b.TakeSuspected(); len(got) > 0 {
		t.Errorf("%s: %v are suspected, want none", step, got)
	}
}

func assertSuspected(t *testing.T, step string, b *Balancer, id string, want bool, now clock.Millis) {
	t.Helper()
	tickUntil(b, now)
	if got := b.IsSuspected(id); got != want {
		t.Errorf("%s: suspected is %v, want %v", step, got, want)
	}
	probed := false
	for _, s := range b.UnreachableServers(now) {
		probed = probed || s.ID == id
	}
	if probed != want || b.servers[id].isUnavailable(now) != want {
		t.Errorf("%s: health check %v and unavailable %v, want %v", step, probed, b.servers[id].isUnavailable(now), want)
	}
}

// A server that vanishes must be left after two unanswered requests, whether they still
// wait or a second attempt has answered for them, and regained by a health check.
func TestSilentServer(t *testing.T) {
	withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
		b.Tick(900)
		first := sendTo(b, "n0", true, 1000)
		sendTo(b, "n0", true, 1050)
		assertSuspected(t, "one is overdue", b, "n0", false, 1220)
		finish(b, first, Superseded, 240, 1240)
		assertSuspected(t, "both are overdue", b, "n0", true, 1260)
		if got := b.TakeSuspected(); len(got) != 1 || got[0] != "n0" {
			t.Errorf("newly suspected are %v, want n0", got)
		}
		b.MarkReachable("n0", 1300)
		assertSuspected(t, "health check has succeeded", b, "n0", false, 1310)
		sendTo(b, "n0", true, 1400)
		sendTo(b, "n0", true, 1400)
		assertSuspected(t, "it answers health checks and no requests", b, "n0", false, 2000)
	})
}

// Signs of life must keep a slow server in use, and requests that say nothing of it.
func TestSlowServerIsNotSilent(t *testing.T) {
	for name, act := range map[string]func(b *Balancer, first, second Choice){
		"one is answered":      func(b *Balancer, first, _ Choice) { finish(b, first, Answered, 300, 1300) },
		"one is turned away":   func(b *Balancer, _, second Choice) { finish(b, second, Shed, 300, 1300) },
		"a caller leaves soon": func(b *Balancer, first, _ Choice) { finish(b, first, Abandoned, 100, 1100) },
		"superseded soon":      func(b *Balancer, first, _ Choice) { finish(b, first, Superseded, 100, 1100) },
	} {
		t.Run(name, func(t *testing.T) {
			withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
				b.Tick(900)
				act(b, sendTo(b, "n0", true, 1000), sendTo(b, "n0", true, 1000))
				assertSuspected(t, name, b, "n0", false, 1350)
			})
		})
	}
	t.Run("requests that run once", func(t *testing.T) {
		withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
			sendTo(b, "n0", false, 1000)
			sendTo(b, "n0", false, 1000)
			assertSuspected(t, "two wait", b, "n0", false, 1900)
		})
	})
}

// A host that was frozen must not suspect servers whose responses it has not read yet, and must
// still suspect those that stay silent.
func TestFrozenHost(t *testing.T) {
	for name, pause := range map[string]clock.Millis{"500 ms": 500, "2 s": 2000, "6 s": 6000} {
		t.Run(name, func(t *testing.T) {
			withBalancer("n", makeServers("n", 8, 4), func(b *Balancer) {
				b.Tick(900)
				for id := range b.servers {
					sendTo(b, id, true, 950)
					sendTo(b, id, true, 980)
				}
				b.Tick(1000)
				b.Tick(1000 + pause)
				assertNoneSuspected(t, "first tick after the pause", b)
				tickUntil(b, 1200+pause)
				if got := len(b.TakeSuspected()); got != 4 {
					t.Errorf("%d of 8 silent servers are suspected, want 4", got)
				}
			})
		})
	}
}

// With work of a few milliseconds, a pause of a tick must not count as silence.
func TestShortPause(t *testing.T) {
	withBalancer("n", makeServers("n", 8, 4), func(b *Balancer) {
		b.Tick(900)
		for range 2 {
			c := Choice{Server: b.servers["n0"].Server, EstimatedLatency: 10, wait: &wait{}}
			b.StartAttempt(c, Request{Service: "desk", Class: "look", Repeatable: true}, 975)
		}
		tickUntil(b, 1170)
		assertNoneSuspected(t, "195 ms after the requests", b)
		tickUntil(b, 1180)
		if !b.IsSuspected("n0") {
			t.Error("not suspected 205 ms after the requests")
		}
	})
}

// Suspicions must not take a whole region out of use, nor the only server of one, while other
// regions have servers: requests may be bound to it.
func TestSuspicionKeepsHalfOfRegion(t *testing.T) {
	for _, c := range []struct{ servers, want int }{{4, 2}, {1, 0}} {
		list := append(append(makeServers("n", c.servers, 4), makeServers("s", 4, 4)...), makeServers("e", 4, 4)...)
		withBalancer("n", list, func(b *Balancer) {
			b.Tick(900)
			for id, s := range b.servers {
				if s.Region == "n" {
					sendTo(b, id, true, 950)
					sendTo(b, id, true, 950)
				}
			}
			tickUntil(b, 1300)
			if got := len(b.TakeSuspected()); got != c.want {
				t.Errorf("%d of %d servers of the region are suspected, want %d", got, c.servers, c.want)
			}
		})
	}
}

// When all servers are slow, suspicions must not take more than half of them out of use.
func TestSuspicionKeepsHalf(t *testing.T) {
	withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
		for id := range b.servers {
			sendTo(b, id, true, 1000)
			sendTo(b, id, true, 1000)
		}
		tickUntil(b, 1900)
		if n := len(b.UnreachableServers(1900)); n != 2 {
			t.Errorf("%d of 4 servers are out of use, want 2", n)
		}
	})
}

// Requests that run once can't be moved later, and must avoid a server at which another
// request is overdue.
func TestRunOnceAvoidsSilentServer(t *testing.T) {
	withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
		req := request("x")
		usual := b.Choose(req, 900).Server.ID
		sendTo(b, usual, true, 1000)
		if got := b.Choose(req, 1150).Server.ID; got != usual {
			t.Errorf("sent to %s while none is overdue, want %s", got, usual)
		}
		if got := b.Choose(req, 1250).Server.ID; got == usual {
			t.Errorf("sent to %s, at which a request is overdue", got)
		}
		req.Repeatable = true
		if got := b.Choose(req, 1250).Server.ID; got != usual {
			t.Errorf("a request that may be repeated is sent to %s, want %s", got, usual)
		}
	})
}

// The same holds if the silent server is the only one that is warm for the object, and so the
// only one that is compared at first.
func TestRunOnceAvoidsSilentWarmServer(t *testing.T) {
	withBalancer("n", makeServers("n", 8, 4), func(b *Balancer) {
		warm := send(t, b, "x", 900)
		sendTo(b, warm, true, 1000)
		if got := b.Choose(request("x"), 1150).Server.ID; got != warm {
			t.Errorf("sent to %s while none is overdue, want %s", got, warm)
		}
		if got := b.Choose(request("x"), 1350).Server.ID; got == warm {
			t.Errorf("sent to %s, at which a request is overdue", got)
		}
	})
}

// An attempt that was given up must raise the estimates for its server by the time that it
// has taken at least, and never lower them.
func TestSupersededAttemptRaisesSlowdown(t *testing.T) {
	withBalancer("n", makeServers("n", 4, 4), func(b *Balancer) {
		c := b.Choose(request("x"), 1000)
		s, service := b.servers[c.Server.ID], b.classes["look"].warmServiceTime
		give := func(factor float64) float64 {
			b.StartAttempt(c, request("x"), 1000)
			b.FinishAttempt(Attempt{Choice: c, Class: "look", KnownWarm: true, Result: Superseded, Duration: clock.Millis(factor*service) + 1}, 2000)
			return s.slowdown
		}
		if got := give(0.2); got != 1 {
			t.Errorf("slowdown %.2f after an attempt that was given up soon, want 1", got)
		}
		if got := give(3); got < 1.5 || got > 1.7 {
			t.Errorf("slowdown %.2f after three times the service time, want 1.6", got)
		}
	})
}

// A server that states its pace must not count as slow twice, by its pace and by the attempts
// that were given up because of it.
func TestSupersededAttemptsAndPace(t *testing.T) {
	for _, result := range []Result{Answered, Superseded} {
		t.Run(result.String(), func(t *testing.T) {
			withBalancer("n", makeServers("n", 1, 4), func(b *Balancer) {
				s, now := b.servers["n0"], clock.Millis(1000)
				for range 10 {
					b.RecordLoad("n0", observer.Load{Running: 1, Slots: 4, Pace: 3}, now)
					c := b.Choose(request(""), now)
					took := clock.Millis(3*b.classes["look"].warmServiceTime) + 2
					b.StartAttempt(c, request(""), now)
					now += took
					b.FinishAttempt(Attempt{Choice: c, Class: "look", KnownWarm: true, Result: result, Duration: took}, now)
				}
				b.RecordLoad("n0", observer.Load{Running: 1, Slots: 4, Pace: 3}, now)
				if got := b.currentSlowdown(s, now); got < 2.7 || got > 3.4 {
					t.Errorf("expected to be %.2f times slower, want 3", got)
				}
			})
		})
	}
}

// A second attempt must not push others back, nor warm up a server, nor start if it can't be
// answered in time.
func TestSecondTakesOnlySpareRoom(t *testing.T) {
	withBalancer("n", makeServers("n", 2, 1), func(b *Balancer) {
		req := request("")
		req.Repeatable, req.Second, req.AttemptedServers = true, true, []string{"n0"}
		if c := b.Choose(req, 1000); c.Refused || c.Server.ID != "n1" {
			t.Errorf("chosen %+v, want n1", c)
		}
		late := req
		late.TimeLeft = 20
		if c := b.Choose(late, 1000); !c.Refused {
			t.Error("sent although it can't be answered in time")
		}
		for now := clock.Millis(1000); now <= 1000+standingQueueTime; now += 100 {
			b.pools["desk"].standingQueue.observe(true, now)
		}
		if c := b.Choose(req, 1000+standingQueueTime); !c.Refused {
			t.Error("sent while a queue stands")
		}
		object := req
		object.Object = "x"
		if c := b.Choose(object, 5000); !c.Refused {
			t.Error("sent to a server that must warm up")
		}
		sendTo(b, "n1", true, 5000)
		if c := b.Choose(req, 5000); !c.Refused {
			t.Error("sent to a server without a free slot")
		}
	})
}
