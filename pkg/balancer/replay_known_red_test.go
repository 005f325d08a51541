//go:build known_red

package balancer

import (
	"testing"

	"catkindyke/pkg/clock"
)

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

// In a large fleet, a pace has changed before hosts hear of it.
func TestReplayPacesLargeRed(t *testing.T) { pacesCase(large).run(t) }

// Servers stay warm for 10 objects and there are 8.4 for each. Hosts know only the objects of their
// own region, let idle servers warm up for more, and take those for warm that have forgotten.
func TestReplayFewWarmObjectsRed(t *testing.T) {
	size := small
	size.maxRecentObjects = 10
	replayCase{"few warm objects", size, peakLoad, func(*replay) {}, 0.85}.run(t)
}

// At peak load, a third of the servers advertises a limit (TestReplayLimitsLargeFleet passes).
func TestReplayLimitsRed(t *testing.T) { limitsCase(small).run(t) }

// At peak load in a small and in a large fleet, half of the servers says that it drains. The
// target is 0.85 of the ideal.
func TestReplayNoticesRed(t *testing.T) {
	for fleet, size := range map[string]replaySize{"small": small, "large": large} {
		load := func(string, clock.Millis) float64 { return 1.7 * size.baseRate }
		t.Run(fleet+", half of the servers drains within 2 s", replayCase{"drains", size, load, func(r *replay) {
			for n := range 4 {
				r.withNotices(burstStart+clock.Millis(n)*500, Notice{Draining: true}, func(i int) bool { return i%8 == 2*n })
			}
			r.removeServers(burstStart+4*clock.Second, func(i int, _ Server) bool { return i%2 == 0 })
		}, 0.85}.run)
	}
}
