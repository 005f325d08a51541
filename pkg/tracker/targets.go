package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxFullMesh is the largest fleet in which every host sends heartbeats to all others.
	MaxFullMesh = 16
	// ringNeighbours is the number of hosts that follow on the ring of the own
	// availability zone. With three, each host is still heard when two neighbours fail at once.
	ringNeighbours = 3
	// relaysPerZone is the number of hosts of each availability zone that pass on news
	// to other zones; with two, the loss of one relay cuts no zone off.
	relaysPerZone = 2
)

// HostLocation is a host with its position, as the selection of heartbeat targets needs it.
type HostLocation struct {
	Name, Region, AvailabilityZone string
}

// HeartbeatTargets returns the hosts to which self sends heartbeats, in order of names. In
// a fleet of up to FullMesh hosts that is every other host. In a larger one it
// is the next hosts on the ring of the own availability zone and the zone's
// relays; a relay also sends to the relays of the other zones. Every host that
// knows the same fleet selects the same relays.
func HeartbeatTargets(self HostLocation, others []HostLocation) []HostLocation {
	if len(others) < MaxFullMesh {
		out := slices.Clone(others)
		slices.SortFunc(out, compareNames)
		return out
	}
	zones := make(map[string][]HostLocation)
	for _, p := range append([]HostLocation{self}, others...) {
		if !slices.Contains(zones[p.AvailabilityZone], p) {
			zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], p)
		}
	}
	out := nextOnRing(self, zones[self.AvailabilityZone])
	ownRelays := relays(zones[self.AvailabilityZone])
	out = append(out, ownRelays...)
	if slices.Contains(ownRelays, self) {
		for zone, list := range zones {
			if zone != self.AvailabilityZone {
				out = append(out, relays(list)...)
			}
		}
	}
	slices.SortFunc(out, compareNames)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(p HostLocation) bool { return p.Name == self.Name })
}

func compareNames(a, b HostLocation) int { return cmp.Compare(a.Name, b.Name) }

// compareHashes orders hosts on a ring; the zone's name is not needed because rings do not cross zones.
func compareHashes(a, b HostLocation) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), compareNames(a, b))
}

func nextOnRing(self HostLocation, zone []HostLocation) []HostLocation {
	slices.SortFunc(zone, compareHashes)
	at := slices.Index(zone, self)
	var out []HostLocation
	for i := 1; i <= min(ringNeighbours, len(zone)-1); i++ {
		out = append(out, zone[(at+i)%len(zone)])
	}
	return out
}

// relays returns the relays of a zone. They are the lowest on the ring, so that
// a host that joins or leaves replaces at most one of them.
func relays(zone []HostLocation) []HostLocation {
	slices.SortFunc(zone, compareHashes)
	return slices.Clone(zone[:min(relaysPerZone, len(zone))])
}
