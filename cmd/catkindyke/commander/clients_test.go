package commander

import (
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/platform"
)

// Guards against limits of clients that exceed a machine's memory or descriptors together, and
// against limits that ordinary callers or the other hosts of a large fleet meet.
func TestClientBudgets(t *testing.T) {
	for name, c := range map[string]struct{ memoryMB, descriptors, callers, hosts int }{
		"test":          {64, 400, 100, 50},
		"smallest":      {184, 3900, 1500, 300},
		"usual":         {424, 8000, 2000, 600},
		"no limits set": {0, 0, 1000, 400},
	} {
		s := platform.Settings{MemoryBytes: int64(c.memoryMB) << 20, MaxDescriptors: c.descriptors}
		setClientDefaults(&s)
		callers, hosts, lookups, checks := callerBudget(s), peerBudget(s), lookupBudget(s), checkBudget(s)
		if n := min(checks.Conns, checks.Descriptors); n < 8 {
			t.Errorf("%s: %d connections of readiness checks and metrics, want at least 8", name, n)
		}
		if n := min(callers.Conns, callers.Descriptors); n < c.callers {
			t.Errorf("%s: %d connections of callers, want at least %d", name, n, c.callers)
		}
		if n := min(hosts.Conns, hosts.Descriptors); n < c.hosts {
			t.Errorf("%s: %d connections of other hosts, want at least %d", name, n, c.hosts)
		}
		heap := float64(callers.Bytes+lookups.Bytes+checks.Bytes+hosts.Bytes) * (1 + gcPercent/100.0)
		if limit := memoryLimitFraction * float64(s.MemoryBytes); heap > 0.7*limit {
			t.Errorf("%s: a heap of %.0f bytes for clients, want at most 0.7 of %.0f", name, heap, limit)
		}
		idle := int(idleDescriptors * float64(s.MaxDescriptors))
		if n := callers.Descriptors + lookups.Descriptors + checks.Descriptors + hosts.Descriptors + idle; n > s.MaxDescriptors*9/10 {
			t.Errorf("%s: %d of %d descriptors for clients and servers", name, n, s.MaxDescriptors)
		}
	}
	if s := callerBudget(platform.Settings{MemoryBytes: 1 << 20, MaxDescriptors: 1}); s.Conns < 1 || s.Descriptors < 2 {
		t.Errorf("no request can be served: %+v", s)
	}
}

// Guards against addresses of hosts that are not recognized.
func TestHostAddresses(t *testing.T) {
	l := &clientLimits{clk: clock.New()}
	l.addHost("10.0.0.1:8381")
	l.addHost("unreadable")
	if !l.isHost("10.0.0.1") || l.isHost("10.0.0.2") {
		t.Error("only 10.0.0.1 is a host")
	}
}
