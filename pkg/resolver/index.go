// Package resolver answers look-ups, which ask for the entry hosts that a caller
// should use.
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

// DefaultTTL is the TTL of an answer when the configuration sets none.
const DefaultTTL = 5 * clock.Second

// Host is a host that answers may contain.
type Host struct {
	snapshotter.Host
	// Position is the host's position in Index.Hosts, for callers that keep data
	// of their own for each host.
	Position int
}

// region holds the hosts of a region that answers may contain.
type region struct {
	name  string
	hash  uint64
	hosts []*Host

	// The slices below are parallel to hosts; a look-up reads them from start to end.

	hashes  []uint64
	weights []float64
	zones   []uint16
	// equalWeights is set if all weights are 1. The mixed hashes, negated, then
	// serve as scores, which avoids the logarithms.
	equalWeights bool
}

// routeKey identifies the plan's weights for a service and the callers of a region.
type routeKey struct{ service, homeRegion string }

// Index holds what look-ups need of a snapshot, computed once. It is immutable.
type Index struct {
	snap    *snapshotter.Snapshot
	ttl     clock.Millis
	hosts   []*Host
	regions []*region
	routes  map[routeKey][]weightedRegion
}

// weightedRegion is a serving region with its weight in the plan.
type weightedRegion struct {
	region *region
	weight float64
}

// NewIndex returns an index of a snapshot. It excludes hosts that are leaving or drained.
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

// Snapshot returns the snapshot that the index was built from.
func (x *Index) Snapshot() *snapshotter.Snapshot { return x.snap }

// Hosts returns the hosts that answers may contain, in order of position.
func (x *Index) Hosts() []*Host { return x.hosts }

func isDrained(d *schema.Drains, h snapshotter.Host) bool {
	return slices.Contains(d.GetHosts(), h.Name) || slices.Contains(d.GetLostHosts(), h.Name) ||
		slices.Contains(d.GetAvailabilityZones(), h.AvailabilityZone) || slices.Contains(d.GetRegions(), h.Region)
}

// weightedRegions returns the regions of a route that have hosts, with their
// weights. If a region with a weight has no hosts, the weights that the plan
// lists for its failover apply, if any.
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

// loadWeight returns a host's weight, computed from the load of the slots that it
// owns. It has only three steps, so that small changes of load move no blocks,
// and a lower bound, so that a host that looks idle does not attract all callers.
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

// blockHash returns the hash of the /24 or /48 that contains an address. It does
// not depend on the block table, so that a change of the table moves a caller
// only when its site changes.
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

// mixHashes combines two hashes with the finalizer of SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns the score of an entry in weighted rendezvous hashing;
// the lowest score wins. An entry wins in proportion to its weight, and a change
// of its weight moves only blocks to or from that entry.
func rendezvousScore(a, b uint64, weight float64) float64 {
	u := (float64(mixHashes(a, b)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / weight
}
