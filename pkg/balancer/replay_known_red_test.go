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

// Other servers must warm up for the objects of the lost ones, while load reports are a
// second old.
func TestReplayLargeRegionLoses(t *testing.T) {
	replayCase{
		name: "two thirds of a region's servers leave", size: large, load: largeLoad(1), target: 0.85,
		setup: func(r *replay) {
			r.removeServers(burstStart, func(i int, s Server) bool { return s.Region == "e" && i%3 != 0 })
		},
	}.run(t)
}

// Cases that fail in a large fleet, where load reports are a second old.
func TestReplayLargeFleetRed(t *testing.T) {
	for _, c := range []replayCase{
		{"demand above all slots, callers wait for RetryAfter", large, largeLoad(5), func(r *replay) { r.retries = 2 }, 0.85},
		{"a fifth of the servers leaves at peak load", large, largeLoad(1.7), func(r *replay) {
			r.removeServers(burstStart, func(i int, _ Server) bool { return i%5 == 0 })
		}, 0.85},
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
