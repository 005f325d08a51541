package balancer

import (
	"fmt"
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/observer"
)

// withLoads runs a test with a balancer for one server with 4 slots, whose other hosts report
// 4 requests there.
func withLoads(t *testing.T, test func(t *testing.T, b *Balancer, s *server)) {
	t.Helper()
	b := New(Config{Region: "n"})
	b.SetServers([]Server{{ID: "a", Service: "desk", Region: "n", Slots: 4, StartUnixMs: 7}})
	b.SetLoadReport("other", LoadReport{Region: "n", InFlight: map[string]int{"a": 4}}, 0)
	b.Tick(1000)
	test(t, b, b.servers["a"])
}

func assertInFlight(t *testing.T, b *Balancer, s *server, now clock.Millis, want int) {
	t.Helper()
	if got := b.inFlight(s, now); got != want {
		t.Errorf("%d requests at the server, want %d", got, want)
	}
}

// The number of requests at a server follows what it says, for as long as that is newer than
// the reports of other hosts and of the same start, if the server states a pace.
func TestStatedLoad(t *testing.T) {
	for name, c := range map[string]struct {
		load observer.Load
		then func(b *Balancer)
		now  clock.Millis
		want int
	}{
		"silent":                   {observer.Load{}, nil, 1010, 4},
		"without a pace":           {observer.Load{Running: 1, Slots: 4}, nil, 1010, 4},
		"fewer than reported":      {observer.Load{Running: 1, Slots: 4, Pace: 1}, nil, 1010, 1},
		"more than reported":       {observer.Load{Running: 4, Waiting: 3, Slots: 4, Pace: 1}, nil, 1010, 7},
		"overstated":               {observer.Load{Running: 4, Waiting: 1e6, Slots: 4, Pace: 1}, nil, 1010, 12},
		"older than a statement's": {observer.Load{Running: 1, Slots: 4, Pace: 1}, nil, 1001 + observer.MaxLoadAge, 4},
		"older than a report": {observer.Load{Running: 1, Slots: 4, Pace: 1}, func(b *Balancer) {
			b.SetLoadReport("other", LoadReport{InFlight: map[string]int{"a": 4}}, 1090)
			b.Tick(1100)
		}, 1100, 4},
		"another start": {observer.Load{Running: 1, Slots: 4, Pace: 1}, func(b *Balancer) {
			b.SetServers([]Server{{ID: "a", Service: "desk", Region: "n", Slots: 4, StartUnixMs: 8}})
		}, 1010, 4},
	} {
		t.Run(name, func(t *testing.T) {
			withLoads(t, func(t *testing.T, b *Balancer, s *server) {
				b.RecordLoad("a", c.load, 1000)
				if c.then != nil {
					c.then(b)
				}
				assertInFlight(t, b, s, c.now, c.want)
			})
		})
	}
}

// Hosts of a region tell each other the newest unexpected load of a server, and when it is as
// expected again. A statement of another start says nothing.
func TestSharedLoads(t *testing.T) {
	withLoads(t, func(t *testing.T, b *Balancer, _ *server) {
		counts := []int{}
		for i, l := range []observer.Load{
			{Running: 4, Slots: 4, Pace: 1}, {Running: 4, Slots: 4, Pace: 2}, {Running: 4, Slots: 4, Pace: 1}, {Running: 4, Slots: 4, Pace: 1},
		} {
			now := 1000 + clock.Millis(i)
			b.RecordLoad("a", l, now)
			counts = append(counts, len(b.LoadsSince(now, now)))
		}
		if want := [4]int{0, 1, 1, 0}; [4]int(counts) != want {
			t.Errorf("%v loads were shared, want %v", counts, want)
		}
		b.RecordLoad("a", observer.Load{Running: 1, Slots: 4, Pace: 3}, 1090)
		b.RecordLoad("a", observer.Load{Running: 1, Slots: 4, Pace: 3}, 1100)
		shared := b.LoadsSince(0, 1150)
		if len(shared) != 1 || shared[0].Age != 50 || shared[0].Pace != 3 {
			t.Fatalf("shared %+v", shared)
		}
		withLoads(t, func(t *testing.T, other *Balancer, s *server) {
			shared[0].StartCheck++
			other.ApplyLoads(shared, 1150)
			assertInFlight(t, other, s, 1150, 4)
			shared[0].StartCheck--
			other.ApplyLoads(shared, 1150)
			assertInFlight(t, other, s, 1150, 1)
		})
	})
}

// A statement that comes back from another host must not count as a newer one, nor hide the
// requests that this host has sent since it was made.
func TestSharedLoadsKeepOwnRequests(t *testing.T) {
	withLoads(t, func(t *testing.T, a *Balancer, sa *server) {
		withLoads(t, func(t *testing.T, other *Balancer, _ *server) {
			other.RecordLoad("a", observer.Load{Running: 4, Waiting: 1, Slots: 4, Pace: 1}, 980)
			a.RecordLoad("a", observer.Load{Running: 1, Waiting: 1, Slots: 4, Pace: 1}, 1000)
			other.ApplyLoads(a.LoadsSince(0, 1000), 1010)
			for range 3 {
				a.StartAttempt(Choice{Server: sa.Server}, Request{}, 1015)
			}
			if shared := other.LoadsSince(0, 1010); len(shared) != 1 || shared[0].Age != 30 || shared[0].Running != 4 {
				t.Errorf("shared %+v, want only what the server stated to this host", shared)
			}
			a.ApplyLoads(other.LoadsSince(0, 1010), 1020)
			assertInFlight(t, a, sa, 1020, 5)
			a.ApplyLoads([]ServerLoad{{Server: "a", StartCheck: 7, Load: observer.Load{Running: 2, Waiting: 1}, Age: 10}}, 1020)
			assertInFlight(t, a, sa, 1020, 6)
			finish(a, Choice{Server: sa.Server}, Abandoned, 10, 1025)
			assertInFlight(t, a, sa, 1025, 5)
		})
	})
}

// After a restart of a server, its former statement must not be shared, nor an empty one.
func TestSharedLoadsAfterRestart(t *testing.T) {
	withLoads(t, func(t *testing.T, b *Balancer, _ *server) {
		b.RecordLoad("a", observer.Load{Running: 1, Slots: 4, Pace: 3}, 1000)
		b.SetServers([]Server{{ID: "a", Service: "desk", Region: "n", Slots: 4, StartUnixMs: 8}})
		if shared := b.LoadsSince(0, 1010); len(shared) != 0 {
			t.Errorf("shared %+v, want nothing", shared)
		}
	})
}

// While reports are old, few servers are compared. If these may not get the request because they
// are cold and other hosts send to them, it must go to one of the others and not be refused.
func TestColdServersAmongFewCompared(t *testing.T) {
	withBalancer("n", nil, func(b *Balancer) {
		b.cfg.ColdSenders = 4
		list := makeServers("n", 126, 4)
		for i := range list {
			list[i].ColdUntil = 100 * clock.Second
		}
		b.SetServers(list)
		b.SetLiveHosts(LiveHosts{ByRegion: map[string]int{"n": 30}, RegionIndex: 7, FleetIndex: 7})
		for i := range 29 {
			b.SetLoadReport(fmt.Sprint("h", i), LoadReport{Region: "n"}, 100)
		}
		b.Tick(900)
		b.pools["desk"].statesLoad = true
		for i := range 200 {
			for _, s := range b.servers {
				s.coldTokens = 1
			}
			if c := b.Choose(request(fmt.Sprint("o", i)), clock.Millis(1000+i)); c.Refused && c.Reason == ReasonCold {
				t.Fatalf("request %d is refused: %s", i, c.Reason)
			}
		}
	})
}

// A host without reports knows of all requests there are. It must not take them for old, or it
// compares few servers.
func TestReportWeightOfLoneHost(t *testing.T) {
	withBalancer("n", makeServers("n", 20, 4), func(b *Balancer) {
		b.RecordLoad("n0", observer.Load{Running: 1, Slots: 4}, 990)
		b.Tick(1000)
		b.Choose(request("x"), 1000)
		if got := b.pools["desk"].reportWeight; got != 1 {
			t.Errorf("weight of reports is %.2f, want 1", got)
		}
	})
}

// pacesCase is a load on servers that share machines: each half second, another seventh of them
// is 2.5 times slower. The target is 0.85 of the ideal.
func pacesCase(size replaySize) replayCase {
	return replayCase{"paces", size, func(string, clock.Millis) float64 { return 1.3 * size.baseRate }, func(r *replay) {
		for at := clock.Millis(burstStart); at < replayEnd; at += 500 {
			r.changeServers(at, func(_ int, _ Server, s *replayServer) {
				s.slowdown = 1
				if r.rng.IntN(7) == 0 {
					s.slowdown = 2.5
				}
			})
		}
	}, 0.85}
}

func TestReplayPaces(t *testing.T) { pacesCase(small).run(t) }

// A tenth of the servers states a wrong load: some say that they are idle and fast, others that they are full
// and slow. The target is 0.85 of the ideal.
func TestReplayWrongStatements(t *testing.T) {
	for fleet, size := range map[string]replaySize{"small": small, "large": large} {
		load := func(string, clock.Millis) float64 { return 1.3 * size.baseRate }
		t.Run(fleet, replayCase{fleet, size, load, func(r *replay) {
			r.changeServers(burstStart, func(i int, info Server, s *replayServer) {
				switch i % 20 {
				case 0:
					s.wrongLoad = observer.Load{Slots: info.Slots, Pace: 0.3}
				case 10:
					s.wrongLoad = observer.Load{Running: info.Slots, Waiting: 1000, Slots: info.Slots, Pace: 8}
				}
			})
		}, 0.85}.run)
	}
}
