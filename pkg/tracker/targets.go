package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxFullMesh is the size of the largest fleet in which every host sends heartbeats to all others.
	MaxFullMesh = 16
	// ringSuccessors is the number of following hosts on the ring of the host's
	// availability zone that it sends heartbeats to. With three, each host still
	// has a sender when two of the hosts before it fail at once.
	ringSuccessors = 3
	// relaysPerZone is the number of hosts in each availability zone that pass
	// reports on to other zones. With two, the loss of one relay isolates no zone.
	relaysPerZone = 2
)

// HostLocation is a host with its region and availability zone.
type HostLocation struct {
	Name, Region, AvailabilityZone string
}

// HeartbeatTargets returns the hosts to which self sends heartbeats, sorted by name.
// In a fleet of up to MaxFullMesh hosts these are all other hosts. In a larger one
// they are the next hosts on the ring of its own availability zone and the zone's
// relays; a relay also sends to the relays of the other zones. Hosts that know the
// same fleet select the same relays.
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

// compareHashes orders hosts on a ring. The hash leaves out the availability zone,
// because no ring has hosts of two zones.
func compareHashes(a, b HostLocation) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), compareNames(a, b))
}

func nextOnRing(self HostLocation, zone []HostLocation) []HostLocation {
	slices.SortFunc(zone, compareHashes)
	at := slices.Index(zone, self)
	var out []HostLocation
	for i := 1; i <= min(ringSuccessors, len(zone)-1); i++ {
		out = append(out, zone[(at+i)%len(zone)])
	}
	return out
}

// relays returns the relays of a zone. These are the first hosts on the ring, so that
// a host that joins or leaves replaces at most one relay.
func relays(zone []HostLocation) []HostLocation {
	slices.SortFunc(zone, compareHashes)
	return slices.Clone(zone[:min(relaysPerZone, len(zone))])
}
