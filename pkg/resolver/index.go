// Package resolver answers look-ups: which entry hosts a caller should use.
package resolver

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

// DefaultTTL is the age of an answer when the configuration names none.
const DefaultTTL = 5 * clock.Second

// Host is a host that answers may name.
type Host struct {
	snapshotter.Host
	// Position is the host's place in the index, for callers that keep data beside it.
	Position int
}

// region is a group of hosts that answers may name.
type region struct {
	name  string
	hash  uint64
	hosts []*Host

	// The slices below belong to hosts, place by place; a look-up reads them all.

	hashes  []uint64
	weights []float64
	zones   []uint16
	// equalWeights says that all weights are one; then the order of the hashes is the
	// order of the ranks, without logarithms.
	equalWeights bool
}

// routeKey names the weights of a service for callers of a region.
type routeKey struct{ service, homeRegion string }

// Index is the part of a snapshot that look-ups read, prepared once. It is immutable.
type Index struct {
	snap    *snapshotter.Snapshot
	ttl     clock.Millis
	hosts   []*Host
	regions []*region
	routes  map[routeKey][]weightedRegion
}

// weightedRegion is a serving region with its weight.
type weightedRegion struct {
	region *region
	weight float64
}

// NewIndex prepares a snapshot for look-ups. Hosts that leave or are drained are left out.
func NewIndex(snap *snapshotter.Snapshot) *Index {
	x := &Index{snap: snap, ttl: clock.Millis(snap.Config().GetSettings().GetLookupAgeMs()), routes: make(map[routeKey][]weightedRegion)}
	if x.ttl == 0 {
		x.ttl = DefaultTTL
	}
	byName, zones := make(map[string]*region), make(map[string]uint16)
	for _, h := range snap.Hosts() {
		if h.Leaving || isDrained(snap.Drains(), h) {
			continue
		}
		r := byName[h.Region]
		if r == nil {
			r = &region{name: h.Region, hash: xxhash.Sum64String(h.Region), equalWeights: true}
			byName[h.Region] = r
			x.regions = append(x.regions, r)
		}
		zone, ok := zones[h.AvailabilityZone]
		if !ok {
			zone = uint16(len(zones))
			zones[h.AvailabilityZone] = zone
		}
		host := &Host{Host: h, Position: len(x.hosts)}
		x.hosts = append(x.hosts, host)
		r.hosts = append(r.hosts, host)
		r.hashes = append(r.hashes, xxhash.Sum64String(h.Name))
		weight := loadWeight(h.Pools)
		r.weights = append(r.weights, weight)
		r.equalWeights = r.equalWeights && weight == 1
		r.zones = append(r.zones, zone)
	}
	slices.SortFunc(x.regions, func(a, b *region) int { return cmp.Compare(a.name, b.name) })
	for _, r := range snap.Plan().GetRoutes() {
		if weighted := x.weightedRegions(r, byName); len(weighted) > 0 {
			x.routes[routeKey{r.GetService(), r.GetRegion()}] = weighted
		}
	}
	return x
}

// Snapshot returns the snapshot that the index was made from.
func (x *Index) Snapshot() *snapshotter.Snapshot { return x.snap }

// Hosts returns the hosts that answers may name, in order of their numbers.
func (x *Index) Hosts() []*Host { return x.hosts }

func isDrained(d *schema.Drains, h snapshotter.Host) bool {
	return slices.Contains(d.GetHosts(), h.Name) || slices.Contains(d.GetLostHosts(), h.Name) ||
		slices.Contains(d.GetAvailabilityZones(), h.AvailabilityZone) || slices.Contains(d.GetRegions(), h.Region)
}

// weightedRegions returns the regions that have hosts, with the weights of the plan. When
// a region of the weights has no hosts, the plan's weights for its loss are used.
func (x *Index) weightedRegions(r *schema.Route, byName map[string]*region) []weightedRegion {
	weights := r.GetWeights()
	for _, w := range r.GetWeights() {
		if w.GetPerMille() == 0 || byName[w.GetRegion()] != nil {
			continue
		}
		for _, f := range r.GetFailovers() {
			if f.GetFailedRegion() == w.GetRegion() {
				weights = f.GetWeights()
			}
		}
		break
	}
	var regions []weightedRegion
	for _, w := range weights {
		if candidate := byName[w.GetRegion()]; candidate != nil && w.GetPerMille() > 0 {
			regions = append(regions, weightedRegion{candidate, float64(w.GetPerMille())})
		}
	}
	return regions
}

// loadWeight returns a host's weight from the load of the slots that it owns. It
// has few steps, so that small changes of load move no blocks, and a lower
// bound, so that a host that looks idle is not sent everything.
func loadWeight(pools []*schema.PoolLoad) float64 {
	var slots, demand uint64
	for _, p := range pools {
		slots += uint64(p.GetSlots())
		demand += uint64(p.GetInUse()) + uint64(p.GetQueued())
	}
	if slots == 0 {
		return 1
	}
	switch utilization := float64(demand) / float64(slots); {
	case utilization <= 1:
		return 1
	case utilization <= 2:
		return 0.75
	default:
		return 0.5
	}
}

// blockHash returns the hash of the block that steers an address: a /24 or a
// /48. It does not depend on the table of blocks, so that a change of the table
// moves a caller only when its site changes.
func blockHash(addr netip.Addr) uint64 {
	bits := 24
	if addr.Is6() {
		bits = 48
	}
	p, err := addr.WithZone("").Prefix(bits)
	if err != nil {
		return 0
	}
	raw := p.Addr().As16()
	return xxhash.Sum64(raw[:])
}

// mixHashes joins two hashes; the multipliers are those of the SplitMix64 generator.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns a value of weighted rendezvous hashing; the lowest wins. An entry
// wins in proportion to its weight, and a change of one weight moves only
// blocks to or from that entry.
func rendezvousScore(a, b uint64, weight float64) float64 {
	u := (float64(mixHashes(a, b)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}
