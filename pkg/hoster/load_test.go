package hoster

import (
	"testing"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/observer"
	"catkindyke/pkg/schema"
)

// A host must know that a server is slow, although it has sent it nothing, from a host of its
// region. The load of a later start and malformed lists say nothing.
func TestLoadsReachHostsOfRegion(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "b1"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1, testServer("s1", "za"))
			host.handleReport(h["a1"].buildReport(host.cfg.Name), 0)
		}
		for _, name := range []string{"a2", "b1"} {
			exchangeReports(h["a1"], h[name])
		}
		n.clock.Advance(100)
		req := balancer.Request{Service: "desk", Class: "p", TargetLatency: 250, TimeLeft: 800}
		c, _ := h["a1"].chooseServer(req)
		h["a1"].finishAttempt(balancer.Attempt{
			Choice: c, Class: "p", Result: balancer.Answered, Duration: 10, Load: observer.Load{Running: 1, Waiting: 0, Slots: 3, Pace: 2.4},
		})
		n.clock.Advance(10)
		for name, want := range map[string]float64{"a2": 2.4, "b1": 0} {
			exchangeReports(h["a1"], h[name])
			if c, _ := h[name].chooseServer(req); c.Stated.Pace != want {
				t.Errorf("host %s knows pace %v, want %v", name, c.Stated.Pace, want)
			}
		}
	})
	malformed := &schema.StatedLoads{ServerHashes: []uint64{1, 2}, Running: []uint32{1 << 30, 1}, Waiting: []uint32{0, 0}, Paces: []uint32{100}}
	if list := decodeLoads(malformed, namesByHash{1: "s1", 2: "s2"}); len(list) != 0 {
		t.Errorf("malformed loads were decoded: %+v", list)
	}
}
