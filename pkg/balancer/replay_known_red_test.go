//go:build known_red

package balancer

import "testing"

// What the slow servers held must be learned elsewhere while little room is left.
func TestReplayThirdSlowInBurst(t *testing.T) {
	replayCase{
		name: "a third of the servers is slow in a burst", load: peakLoad, target: 0.85,
		setup: func(r *replay) {
			r.changeServers(burstStart, func(i int, _ Server, s *replayServer) {
				if i%3 == 0 {
					s.slowdown = 5
				}
			})
		},
	}.run(t)
}

// What the lost servers held is learned where it goes, while reports are a second old.
func TestReplayLargeRegionLoses(t *testing.T) {
	replayCase{
		name: "two thirds of a region's servers leave", size: large, load: largeLoad(1), target: 0.85,
		setup: func(r *replay) {
			r.removeServers(burstStart, func(i int, s Server) bool { return s.Region == "e" && i%3 != 0 })
		},
	}.run(t)
}

// At the size of a large fleet, where reports are a second old.
func TestReplayLargeFleetRed(t *testing.T) {
	for _, c := range []replayCase{
		{"more than all slots, callers return when told", large, largeLoad(5), func(r *replay) { r.retries = 2 }, 0.85},
		{"a fifth of the servers leaves at the peak", large, largeLoad(1.7), func(r *replay) {
			r.removeServers(burstStart, func(i int, _ Server) bool { return i%5 == 0 })
		}, 0.85},
		{"a third of the servers is slow", large, largeLoad(1), func(r *replay) {
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
