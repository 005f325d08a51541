package hoster

import (
	"fmt"
	"slices"
	"testing"

	"catkindyke/pkg/clock"
)

const (
	retryStep      clock.Millis = 100
	retryTestHosts int          = 10
	// requestsPerStep is the number of callers' requests in a step, of the whole fleet.
	requestsPerStep int = 16
)

// retryFleet is a fleet whose servers reject requests, so that hosts retry as often as their
// budget allows.
type retryFleet struct {
	network *testNetwork
	names   []string
	// running holds the names of the hosts that run, and side the part of a partition in
	// which a host is.
	running []string
	side    map[string]int
	// requests and retries count those of the whole fleet by step.
	requests, retries []int
}

func withRetryFleet(t *testing.T, test func(f *retryFleet)) {
	t.Helper()
	withHosts(t, nil, func(n *testNetwork, _ map[string]*Host) {
		f := &retryFleet{network: n, side: make(map[string]int)}
		for i := range retryTestHosts {
			f.names = append(f.names, fmt.Sprintf("a%d", i))
		}
		test(f)
	})
}

// start starts processes, which read the entries of all hosts in the store.
func (f *retryFleet) start(names []string) {
	for _, name := range names {
		h := f.network.start(name)
		makeReady(h, 1)
		for _, other := range f.names {
			h.Feed().SetHost(other, "r"+other[:1], other+":2")
		}
		f.running = append(f.running, name)
	}
}

func (f *retryFleet) stop(names []string) {
	f.running = slices.DeleteFunc(f.running, func(name string) bool { return slices.Contains(names, name) })
}

// cutOffAll cuts off each host from all others.
func (f *retryFleet) cutOffAll() {
	for i, name := range f.names {
		f.side[name] = i
	}
}

// run plays requests for a time, the servers of which reject them or not.
func (f *retryFleet) run(d clock.Millis, rejected bool) {
	for range d / retryStep {
		f.network.clock.Advance(retryStep)
		for i, name := range f.running {
			for _, other := range f.running[i+1:] {
				if f.side[name] == f.side[other] {
					exchangeReports(f.network.hosts[name], f.network.hosts[other])
				}
			}
		}
		requests, retries := 0, 0
		for i := range requestsPerStep {
			if len(f.running) == 0 {
				break
			}
			h := f.network.hosts[f.running[(len(f.requests)*requestsPerStep+i)%len(f.running)]]
			h.countRequest("desk")
			requests++
			for range 2 {
				if rejected && h.allowRetry("desk").Allowed {
					retries++
				}
			}
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	}
}

// assertWithinBudget fails the test if the fleet's retries exceed the budget in some window.
func (f *retryFleet) assertWithinBudget(t *testing.T) {
	t.Helper()
	cfg := f.network.hosts[f.names[0]].cfg.RetryBudget
	window := int(cfg.Window / retryStep)
	for from := 0; from+window <= len(f.requests); from++ {
		requests, retries := 0, 0
		for i := from; i < from+window; i++ {
			requests += f.requests[i]
			retries += f.retries[i]
		}
		if most := cfg.Ratio*float64(requests) + cfg.Slack; float64(retries) > most {
			t.Fatalf("%d retries of %d requests in the window from %d ms on, want at most %.0f",
				retries, requests, clock.Millis(from)*retryStep, most)
		}
	}
}

// TestRetryBudgetExceeded guards against hosts that spend parts of the retry budget that
// others have spent or hold.
func TestRetryBudgetExceeded(t *testing.T) {
	const normal, trouble = 10 * clock.Second, 4 * clock.Second
	cases := []struct {
		name string
		play func(f *retryFleet)
	}{
		{"all hosts restart", func(f *retryFleet) {
			f.stop(f.names)
			f.run(500, true)
			f.start(f.names)
		}},
		{"hosts restart in turn", func(f *retryFleet) {
			for _, name := range f.names {
				f.stop([]string{name})
				f.run(500, true)
				f.start([]string{name})
			}
		}},
		{"hosts leave", func(f *retryFleet) { f.stop(f.names[:6]) }},
		{"hosts leave one after the other", func(f *retryFleet) {
			for _, name := range f.names[1:] {
				f.stop([]string{name})
				f.run(500, true)
			}
		}},
		{"hosts are cut off from each other", func(f *retryFleet) { f.cutOffAll() }},
		{"hosts restart, and hear nothing from others", func(f *retryFleet) {
			f.run(12*clock.Second, false)
			f.stop(f.names)
			f.cutOffAll()
			f.start(f.names)
		}},
		{"hosts are cut off before the trouble", func(f *retryFleet) {
			f.run(12*clock.Second, false)
			f.cutOffAll()
			f.run(8*clock.Second, false)
		}},
		{"most hosts are away before the trouble, and return", func(f *retryFleet) {
			f.stop(f.names[1:])
			f.run(20*clock.Second, false)
			f.run(clock.Second, true)
			f.start(f.names[1:])
		}},
		{"half of the hosts are added before the trouble", func(f *retryFleet) {
			f.stop(f.names[5:])
			f.run(20*clock.Second, false)
			f.start(f.names[5:])
			f.run(2*clock.Second, false)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withRetryFleet(t, func(f *retryFleet) {
				f.start(f.names)
				f.run(normal, false)
				f.run(trouble, true)
				c.play(f)
				f.run(12*clock.Second, true)
				f.assertWithinBudget(t)
			})
		})
	}
}
