package hoster

import (
	"testing"

	"catkindyke/pkg/balancer"
)

// All hosts must know of a server's rate limit, and of its end, also those to which the
// server has said nothing.
func TestNoticesReachOtherHosts(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "b1"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1, testServer("s1", "za"))
		}
		attempt := func(host *Host, notice balancer.Notice) {
			c, _ := host.chooseServer(balancer.Request{Service: "desk", Class: "p", TargetLatency: 250, TimeLeft: 800})
			if c.Refused {
				t.Fatalf("refused for %q", c.Reason)
			}
			host.finishAttempt(balancer.Attempt{Choice: c, Class: "p", Result: balancer.Answered, Duration: 100, Notice: &notice})
		}
		assertLimited := func(step string, want bool) {
			t.Helper()
			for _, name := range []string{"a2", "b1"} {
				exchangeReports(h["a1"], h[name])
				c, _ := h[name].chooseServer(balancer.Request{Service: "desk", Class: "p", TargetLatency: 250, TimeLeft: 800})
				if got := c.Reason == balancer.ReasonLimited; got != want {
					t.Errorf("%s: host %s knows a limit: %v, want %v", step, name, got, want)
				}
			}
		}
		assertLimited("at the start", false)
		n.clock.Advance(100)
		attempt(h["a1"], balancer.Notice{Limit: balancer.RateLimit{Known: true, Limited: true, PerSecond: 1}})
		assertLimited("after a limit", true)
		n.clock.Advance(5000)
		attempt(h["a1"], balancer.Notice{Limit: balancer.RateLimit{Known: true}})
		assertLimited("after its end", false)
	})
}
