package balancer

import (
	"fmt"
	"testing"

	"catkindyke/pkg/clock"
)

// send chooses a server for a request and starts it.
func send(t *testing.T, b *Balancer, object string, now clock.Millis) string {
	t.Helper()
	c := b.Choose(request(object), now)
	if c.Refused {
		t.Fatalf("object %s is refused: %s", object, c.Reason)
	}
	warm := b.StartAttempt(c, request(object), now)
	b.FinishAttempt(Attempt{Choice: c, Class: "look", KnownWarm: warm, Result: Answered, Duration: 120}, now)
	return c.Server.ID
}

// objectsByServer counts the placements of a balancer.
func objectsByServer(b *Balancer, now clock.Millis) map[string]int {
	out := make(map[string]int)
	for _, p := range b.Placements(now) {
		out[p.Server]++
	}
	return out
}

// Few objects must not gather at some of the servers, as by rank alone.
func TestObjectsAreSpread(t *testing.T) {
	withBalancer("n", makeServers("n", 12, 3), func(b *Balancer) {
		for i := range 60 {
			send(t, b, fmt.Sprint("o", i), clock.Millis(1000+i))
		}
		for server, n := range objectsByServer(b, 2000) {
			if n > 7 { // 1.25 times the mean of 5, rounded up
				t.Errorf("%d of 60 objects at %s, want at most 7", n, server)
			}
		}
	})
}

// A host uses the server to which another host of the region has sent an object, also
// when it ranks another one first.
func TestLearnedPlacement(t *testing.T) {
	withBalancer("n", makeServers("n", 12, 3), func(b *Balancer) {
		first := b.Choose(request("a"), 1000).Server.ID
		other := "n0"
		if first == other {
			other = "n1"
		}
		b.ApplyPlacements([]Placement{{Object: objectHash(request("a")), Server: other}}, 1000)
		if got := send(t, b, "a", 1100); got != other {
			t.Errorf("object goes to %s, want %s", got, other)
		}
		if got := b.PlacementsSince(0); len(got) != 0 {
			t.Errorf("learned placement is announced again: %v", got)
		}
		if got := b.Choose(request("a"), 1101+recentObjectTTL).Server.ID; got != first {
			t.Errorf("object goes to %s after recentObjectTTL, want the first-ranked %s", got, first)
		}
	})
}

// A placement in use is announced before other hosts forget it.
func TestPlacementIsAnnouncedAgain(t *testing.T) {
	withBalancer("n", makeServers("n", 3, 3), func(b *Balancer) {
		for now := clock.Millis(1000); now < 21000; now += 500 {
			send(t, b, "a", now)
			b.Tick(now)
			if len(b.PlacementsSince(now-announceInterval)) == 0 {
				t.Errorf("no announcement in the %d ms before %d", announceInterval, now)
			}
		}
	})
}

// A server that joins gets objects, although others are warm for all of them.
func TestJoiningServerGetsObjects(t *testing.T) {
	servers := makeServers("n", 12, 3)
	withBalancer("n", servers[:9], func(b *Balancer) {
		for round := range 4 {
			if round == 2 {
				b.SetServers(servers)
			}
			for i := range 60 {
				send(t, b, fmt.Sprint("o", i), clock.Millis(1000+1000*round+i))
			}
		}
		counts := objectsByServer(b, 6000)
		for _, s := range servers[9:] {
			if counts[s.ID] == 0 {
				t.Errorf("server %s got no objects in 2 s: %v", s.ID, counts)
			}
		}
	})
}

// The estimate for objects without a known placement follows what was observed for others:
// at the start of the fleet no server is warm, after a restart of all hosts those are
// that the objects went to before.
func TestNewObjectServiceTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		duration clock.Millis
		cold     bool
	}{{"servers are cold", 380, true}, {"servers are warm", 120, false}} {
		t.Run(c.name, func(t *testing.T) {
			withBalancer("n", makeServers("n", 12, 3), func(b *Balancer) {
				for i := range 40 {
					req := request(fmt.Sprint("o", i))
					choice := b.Choose(req, 1000)
					warm := b.StartAttempt(choice, req, 1000)
					b.FinishAttempt(Attempt{Choice: choice, Class: "look", KnownWarm: warm, Result: Answered, Duration: c.duration}, 1000+c.duration)
				}
				estimate := b.Choose(request("new"), 2000).EstimatedLatency
				if isCold := estimate > 250; isCold != c.cold {
					t.Errorf("estimate of %d ms for a new object, want above 250 ms: %v", estimate, c.cold)
				}
			})
		})
	}
}

// An object whose server is overloaded gets a second, idle one, which answers later
// requests in time.
func TestOverloadedServerGetsHelp(t *testing.T) {
	withBalancer("n", makeServers("n", 4, 3), func(b *Balancer) {
		first := send(t, b, "a", 1000)
		for range 6 {
			b.StartAttempt(Choice{Server: b.servers[first].Server}, request("a"), 1100)
		}
		second := send(t, b, "a", 1200)
		if second == first {
			t.Fatalf("request waits at %s behind three others, want an idle server", first)
		}
		if got := send(t, b, "a", 1300); got != second {
			t.Errorf("next request goes to %s, want %s, which is warm and idle", got, second)
		}
	})
}

// BenchmarkChoose measures a decision with 200 servers and 500 objects.
func BenchmarkChoose(b *testing.B) {
	balancer := New(Config{Region: "n", ShiftRate: 0.02})
	balancer.SetServers(makeServers("n", 200, 6))
	requests := make([]Request, 500)
	for i := range requests {
		requests[i] = request(fmt.Sprint("o", i))
	}
	for i := 0; b.Loop(); i++ {
		now := clock.Millis(1000 + i/10)
		req := requests[i%len(requests)]
		c := balancer.Choose(req, now)
		warm := balancer.StartAttempt(c, req, now)
		balancer.FinishAttempt(Attempt{Choice: c, Class: "look", KnownWarm: warm, Result: Answered, Duration: 120}, now)
	}
}
