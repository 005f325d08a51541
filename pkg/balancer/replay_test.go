package balancer

import (
	"testing"

	"catkindyke/pkg/clock"
)

func assertInTime(t *testing.T, r *replay, want float64) {
	t.Helper()
	got := float64(r.inTime) / float64(r.total)
	t.Logf("%d requests, %d in time, %d late, %d refused: %.3f in time", r.total, r.inTime, r.late, r.refused, got)
	if got < want {
		t.Errorf("%.3f of the requests were answered in time, want at least %.2f", got, want)
	}
}

// The regions have 8, 32 and 40 slots and the same number of callers. If all servers were
// warm, an ideal scheduler would answer all requests in time, since a third of the slots
// is in use; the target is 0.95 of that.
func TestReplayBaseLoad(t *testing.T) {
	r := newReplay(func(string, clock.Millis) float64 { return baseRate })
	r.run()
	assertInTime(t, r, 0.95)
}

// A burst of 1.7 times the usual load uses 0.55 of all slots. The target is 0.85 of the
// ideal, which is all requests.
func TestReplayBurst(t *testing.T) {
	r := newReplay(func(_ string, now clock.Millis) float64 {
		if now >= burstStart && now < burstStart+3000 {
			return 1.7 * baseRate
		}
		return baseRate
	})
	r.countFrom = burstStart
	r.run()
	assertInTime(t, r, 0.85)
}

// A third of the servers becomes five times slower, and other servers must warm up for
// their objects. The target is 0.85 of all requests from 2 s after that.
func TestReplaySlowServers(t *testing.T) {
	r := newReplay(func(string, clock.Millis) float64 { return baseRate })
	r.schedule(burstStart, func() {
		for i, s := range r.serverList {
			if i%3 == 0 {
				r.servers[s.ID].slowdown = 5
			}
		}
	})
	r.countFrom = burstStart + 2000
	r.run()
	assertInTime(t, r, 0.85)
}

// One region has three times the callers of each other region.
func TestReplayUnevenRegions(t *testing.T) {
	r := newReplay(func(region string, _ clock.Millis) float64 {
		if region == "n" {
			return 1.8 * baseRate
		}
		return 0.6 * baseRate
	})
	r.run()
	assertInTime(t, r, 0.85)
}

// baseLoad and peakLoad are loads of 80 and 136 requests per second in each region.
func baseLoad(string, clock.Millis) float64 { return baseRate }
func peakLoad(string, clock.Millis) float64 { return 1.7 * baseRate }

// removeServers schedules the removal of servers, from the model and from all
// balancers.
func (r *replay) removeServers(at clock.Millis, removed func(i int, s Server) bool) {
	r.schedule(at, func() {
		var list []Server
		for i, s := range r.serverList {
			if removed(i, s) {
				r.servers[s.ID].removed = true
			} else {
				list = append(list, s)
			}
		}
		r.serverList = list
		for _, h := range r.hosts {
			h.balancer.SetServers(list)
		}
	})
}

// changeServers schedules a change of servers in the model that balancers are not
// informed of.
func (r *replay) changeServers(at clock.Millis, change func(i int, info Server, s *replayServer)) {
	r.schedule(at, func() {
		for i, info := range r.serverList {
			change(i, info, r.servers[info.ID])
		}
	})
}

// replayCase is a load with the events from burstStart on. The target is the fraction of
// the ideal that must be answered in time.
type replayCase struct {
	name string
	// size is small if it is not set.
	size   replaySize
	load   func(string, clock.Millis) float64
	setup  func(r *replay)
	target float64
}

func (c replayCase) run(t *testing.T) {
	t.Parallel()
	if c.size.hosts == nil {
		c.size = small
	}
	r := newSizedReplay(c.size, c.load)
	r.countFrom = burstStart
	c.setup(r)
	r.run()
	ratio := float64(r.inTime) / min(r.idealResponses, float64(r.total))
	t.Logf("%d requests, %d in time, %d late, %d refused; ideal %.0f, ratio %.3f", r.total, r.inTime, r.late, r.refused, r.idealResponses, ratio)
	if ratio < c.target {
		t.Errorf("%.3f of the ideal was answered in time, want at least %.2f", ratio, c.target)
	}
}

// The highest loads that users expect, compared with what the slots could answer in time
// if no request waited and all servers were warm. The target is 0.95 of that at base load
// and 0.85 at failures or higher loads.
func TestReplayAgainstIdeal(t *testing.T) {
	for _, c := range []replayCase{
		{"base load", small, baseLoad, func(*replay) {}, 0.95},
		{"peak load in all regions", small, peakLoad, func(*replay) {}, 0.85},
		{
			"demand above all slots, callers wait for RetryAfter", small, func(string, clock.Millis) float64 { return 4 * baseRate },
			func(r *replay) { r.retries = 2 }, 0.85,
		},
		{
			"demand above all slots, callers retry at once", small, func(string, clock.Millis) float64 { return 4 * baseRate },
			func(r *replay) { r.retries, r.impatient = 3, true }, 0.85,
		},
		{"a fifth of the servers leaves at peak load", small, peakLoad, func(r *replay) {
			r.removeServers(burstStart, func(i int, _ Server) bool { return i%5 == 0 })
		}, 0.85},
		{"a region loses half of its servers at peak load", small, peakLoad, func(r *replay) {
			r.removeServers(burstStart, func(i int, s Server) bool { return s.Region == "s" && i%2 == 0 })
		}, 0.85},
		{"a region's servers become cold for all objects", small, baseLoad, func(r *replay) {
			r.changeServers(burstStart, func(_ int, info Server, s *replayServer) {
				if info.Region == "s" {
					s.recentObjects = nil
				}
			})
		}, 0.85},
		{"all servers shed for 2 s", small, baseLoad, func(r *replay) {
			r.retries = 2
			r.changeServers(burstStart, func(_ int, _ Server, s *replayServer) { s.shedding = true })
			r.changeServers(burstStart+2000, func(_ int, _ Server, s *replayServer) { s.shedding = false })
		}, 0.85},
		{"a fifth of the requests is for one object", small, baseLoad, func(r *replay) {
			usual := r.nextObject
			r.nextObject = func(region string) string {
				if r.rng.IntN(5) == 0 {
					return "hot"
				}
				return usual(region)
			}
		}, 0.85},
		{"callers move to another region", small, func(region string, now clock.Millis) float64 {
			switch {
			case now < burstStart || region == "e":
				return baseRate
			case region == "n":
				return 0.4 * baseRate
			default:
				return 1.6 * baseRate
			}
		}, func(*replay) {}, 0.85},
	} {
		t.Run(c.name, c.run)
	}
}

// largeLoad returns a constant load of factor times large.baseRate in each region.
func largeLoad(factor float64) func(string, clock.Millis) float64 {
	return func(string, clock.Millis) float64 { return factor * large.baseRate }
}

// The same comparison in a fleet in which each host receives a hundredth of the requests,
// and one for the same object about every 30 s.
func TestReplayLargeFleet(t *testing.T) {
	for _, c := range []replayCase{
		{"base load", large, largeLoad(1), func(*replay) {}, 0.95},
		{"peak load in all regions", large, largeLoad(1.7), func(*replay) {}, 0.85},
		{"all servers shed for 2 s", large, largeLoad(1), func(r *replay) {
			r.retries = 2
			r.changeServers(burstStart, func(_ int, _ Server, s *replayServer) { s.shedding = true })
			r.changeServers(burstStart+2000, func(_ int, _ Server, s *replayServer) { s.shedding = false })
		}, 0.85},
		{"a region's servers become cold for all objects", large, largeLoad(1), func(r *replay) {
			r.changeServers(burstStart, func(_ int, info Server, s *replayServer) {
				if info.Region == "s" {
					s.recentObjects = nil
				}
			})
		}, 0.85},
		{"callers move to another region", large, func(region string, now clock.Millis) float64 {
			switch {
			case now < burstStart || region == "n":
				return large.baseRate
			case region == "e":
				return 0.4 * large.baseRate
			default:
				return 1.6 * large.baseRate
			}
		}, func(*replay) {}, 0.85},
		{"a fifth of the servers leaves at peak load", large, largeLoad(1.7), func(r *replay) {
			r.removeServers(burstStart, func(i int, _ Server) bool { return i%5 == 0 })
		}, 0.85},
		{"two thirds of a region's servers leave", large, largeLoad(1), func(r *replay) {
			r.removeServers(burstStart, func(i int, s Server) bool { return s.Region == "e" && i%3 != 0 })
		}, 0.85},
	} {
		t.Run(c.name, c.run)
	}
}

// withNotices schedules the notices of servers from a time on.
func (r *replay) withNotices(at clock.Millis, n Notice, says func(i int) bool) {
	r.changeServers(at, func(i int, _ Server, s *replayServer) {
		if says(i) {
			s.notice = n
		}
	})
}

// limitsCase is a peak load at which a third of the servers advertises a limit. The target is 0.85
// of the ideal.
func limitsCase(size replaySize) replayCase {
	load := func(string, clock.Millis) float64 { return 1.7 * size.baseRate }
	return replayCase{"a third of the servers advertises a limit", size, load, func(r *replay) {
		r.withNotices(burstStart, Notice{Limit: RateLimit{Limited: true, PerSecond: 4}}, func(i int) bool { return i%3 == 0 })
	}, 0.85}
}

func TestReplayLimitsLargeFleet(t *testing.T) { limitsCase(large).run(t) }

// A tenth of the servers after the other turns requests away for 2 s at peak load.
func TestReplayBackoff(t *testing.T) {
	for fleet, size := range map[string]replaySize{"small": small, "large": large} {
		load := func(string, clock.Millis) float64 { return 1.7 * size.baseRate }
		c := replayCase{"", size, load, func(r *replay) {
			r.retries = 2
			for n := range 5 {
				at := burstStart + clock.Millis(n)*2*clock.Second
				r.withNotices(at, Notice{Backoff: 2 * clock.Second}, func(i int) bool { return i%10 == n })
				r.withNotices(at+2*clock.Second, Notice{}, func(i int) bool { return i%10 == n })
			}
		}, 0.85}
		t.Run(fleet, c.run)
	}
}
