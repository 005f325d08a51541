//go:build known_red

package balancer

import "testing"

// Other servers must warm up for the objects of the slow ones while few slots are free.
func TestReplayThirdSlowInBurst(t *testing.T) {
	replayCase{
		name: "a third of the servers becomes slow in a burst", load: peakLoad, target: 0.85,
		setup: func(r *replay) {
			r.changeServers(burstStart, func(i int, _ Server, s *replayServer) {
				if i%3 == 0 {
					s.slowdown = 5
				}
			})
		},
	}.run(t)
}

// Cases that fail in a large fleet, where load reports are a second old.
func TestReplayLargeFleetRed(t *testing.T) {
	for _, c := range []replayCase{
		{"demand above all slots, callers wait for RetryAfter", large, largeLoad(5), func(r *replay) { r.retries = 2 }, 0.85},
		{"a third of the servers becomes slow", large, largeLoad(1), func(r *replay) {
			r.changeServers(burstStart, func(i int, _ Server, s *replayServer) {
				if i%3 == 0 {
					s.slowdown = 5
				}
			})
		}, 0.85},
	} {
		t.Run(c.name, c.run)
	}
}
