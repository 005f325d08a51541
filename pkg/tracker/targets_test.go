package tracker

import (
	"fmt"
	"slices"
	"testing"
)

func placesOf(n int) []HostLocation {
	out := make([]HostLocation, n)
	for i := range out {
		region := fmt.Sprintf("region-%d", i%7)
		// 16 zones over 7 regions, as at the design scale.
		out[i] = HostLocation{fmt.Sprintf("host-%d", i), region, fmt.Sprintf("zone-%d", i%16)}
	}
	return out
}

func othersOf(list []HostLocation, i int) []HostLocation {
	return append(slices.Clone(list[:i]), list[i+1:]...)
}

// TestTargetsSmall guards against a small fleet that loses its full mesh.
func TestTargetsSmall(t *testing.T) {
	for n := 1; n <= MaxFullMesh; n++ {
		list := placesOf(n)
		for i := range list {
			if got := HeartbeatTargets(list[i], othersOf(list, i)); len(got) != n-1 {
				t.Fatalf("%d hosts: %d targets", n, len(got))
			}
		}
	}
}

// TestTargetsLarge guards against fan-out that grows with the fleet, hosts that
// nobody hears, and news that does not reach everyone in a few rounds, also
// after the loss of a zone or of one relay in each zone.
func TestTargetsLarge(t *testing.T) {
	for _, n := range []int{17, 40, 900} {
		all := placesOf(n)
		for name, lost := range map[string]func(p HostLocation) bool{
			"none":   func(HostLocation) bool { return false },
			"zone":   func(p HostLocation) bool { return p.AvailabilityZone == "zone-3" },
			"relays": func(p HostLocation) bool { return isFirstRelay(all, p) },
		} {
			t.Run(fmt.Sprintf("%d_%s", n, name), func(t *testing.T) {
				sends := make(map[string][]string)
				live := make(map[string]bool)
				most, total := 0, 0
				for i, p := range all {
					if lost(p) {
						continue
					}
					live[p.Name] = true
					targets := HeartbeatTargets(p, othersOf(all, i))
					most, total = max(most, len(targets)), total+len(targets)
					for _, to := range targets {
						sends[p.Name] = append(sends[p.Name], to.Name)
					}
				}
				if bound := ringNeighbours + zoneRelays + 15*zoneRelays; most > bound {
					t.Errorf("%d targets, bound %d", most, bound)
				}
				rounds := spreadFrom(sends, live)
				t.Logf("targets: most %d, mean %.1f; news reaches all in %d rounds", most, float64(total)/float64(len(live)), rounds)
				if rounds > 3 {
					t.Errorf("news needs %d rounds, want at most 3: to a relay, between zones, to the host", rounds)
				}
			})
		}
	}
}

func isFirstRelay(all []HostLocation, p HostLocation) bool {
	var zone []HostLocation
	for _, o := range all {
		if o.AvailabilityZone == p.AvailabilityZone {
			zone = append(zone, o)
		}
	}
	return len(zone) > 1 && relays(zone)[0] == p
}

// spreadFrom returns the rounds until news of each host is known to all. News
// travels both ways in a heartbeat, because its answer carries news too.
func spreadFrom(sends map[string][]string, live map[string]bool) int {
	links := make(map[string][]string)
	for from, list := range sends {
		for _, to := range list {
			if live[to] {
				links[from] = append(links[from], to)
				links[to] = append(links[to], from)
			}
		}
	}
	worst := 0
	for start := range live {
		dist := map[string]int{start: 0}
		queue := []string{start}
		for len(queue) > 0 {
			at := queue[0]
			queue = queue[1:]
			for _, to := range links[at] {
				if _, seen := dist[to]; !seen {
					dist[to] = dist[at] + 1
					worst = max(worst, dist[to])
					queue = append(queue, to)
				}
			}
		}
		if len(dist) != len(live) {
			return len(live)
		}
	}
	return worst
}
