package tracker

import (
	"fmt"
	"slices"
	"testing"
)

func makeLocations(n int) []HostLocation {
	out := make([]HostLocation, n)
	for i := range out {
		region := fmt.Sprintf("region-%d", i%7)
		// 16 zones in 7 regions, as at the design scale.
		out[i] = HostLocation{fmt.Sprintf("host-%d", i), region, fmt.Sprintf("zone-%d", i%16)}
	}
	return out
}

func without(list []HostLocation, i int) []HostLocation {
	return append(slices.Clone(list[:i]), list[i+1:]...)
}

// TestHeartbeatTargetsFullMesh guards against a small fleet without a full mesh.
func TestHeartbeatTargetsFullMesh(t *testing.T) {
	for n := 1; n <= MaxFullMesh; n++ {
		list := makeLocations(n)
		for i := range list {
			if got := HeartbeatTargets(list[i], without(list, i)); len(got) != n-1 {
				t.Fatalf("%d hosts: %d targets, want all other hosts", n, len(got))
			}
		}
	}
}

// TestHeartbeatTargetsLargeFleet guards against a number of targets that grows with the fleet,
// hosts that no host sends to, and reports that take more than a few rounds to reach
// all hosts, also after the loss of a zone or of one relay in each zone.
func TestHeartbeatTargetsLargeFleet(t *testing.T) {
	for _, n := range []int{17, 40, 900} {
		all := makeLocations(n)
		for name, lost := range map[string]func(p HostLocation) bool{
			"none":   func(HostLocation) bool { return false },
			"zone":   func(p HostLocation) bool { return p.AvailabilityZone == "zone-3" },
			"relays": func(p HostLocation) bool { return isFirstRelay(all, p) },
		} {
			t.Run(fmt.Sprintf("%d_%s", n, name), func(t *testing.T) {
				targetsOf := make(map[string][]string)
				live := make(map[string]bool)
				maxTargets, total := 0, 0
				for i, p := range all {
					if lost(p) {
						continue
					}
					live[p.Name] = true
					targets := HeartbeatTargets(p, without(all, i))
					maxTargets, total = max(maxTargets, len(targets)), total+len(targets)
					for _, to := range targets {
						targetsOf[p.Name] = append(targetsOf[p.Name], to.Name)
					}
				}
				if bound := ringSuccessors + relaysPerZone + 15*relaysPerZone; maxTargets > bound {
					t.Errorf("%d targets, want at most %d", maxTargets, bound)
				}
				rounds := roundsToReachAll(targetsOf, live)
				t.Logf("targets: max %d, mean %.1f; reports reach all hosts in %d rounds", maxTargets, float64(total)/float64(len(live)), rounds)
				if rounds > 3 {
					t.Errorf("reports need %d rounds, want at most 3: to a relay, between zones, to the host", rounds)
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

// roundsToReachAll returns the number of rounds until each host's report has reached
// all hosts. A heartbeat and its response carry reports in both directions.
func roundsToReachAll(targetsOf map[string][]string, live map[string]bool) int {
	links := make(map[string][]string)
	for from, list := range targetsOf {
		for _, to := range list {
			if live[to] {
				links[from] = append(links[from], to)
				links[to] = append(links[to], from)
			}
		}
	}
	maxRounds := 0
	for start := range live {
		dist := map[string]int{start: 0}
		queue := []string{start}
		for len(queue) > 0 {
			at := queue[0]
			queue = queue[1:]
			for _, to := range links[at] {
				if _, seen := dist[to]; !seen {
					dist[to] = dist[at] + 1
					maxRounds = max(maxRounds, dist[to])
					queue = append(queue, to)
				}
			}
		}
		if len(dist) != len(live) {
			return len(live)
		}
	}
	return maxRounds
}
