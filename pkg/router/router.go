// Package router chooses the regions that may serve a request: by the plan's weights,
// by its failover weights when a region is not available, and then the other regions
// as fallback.
package router

import (
	"cmp"
	"slices"

	"catkindyke/pkg/planner"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

const (
	// Points is the number of points over which the requests of a route are spread.
	// A weight of one per mille covers one point.
	Points = 1000
	// stride is coprime to Points, so that 1000 consecutive requests use each point
	// once. It is not close to a simple fraction of Points, so short runs are even too.
	stride = 617
	// rampStride keeps the spread over a returning region's ramp uncorrelated with the
	// spread over weights.
	rampStride = 389
)

// Point returns the point of the nth request of a route.
func Point(n uint64) int { return int(n % Points * stride % Points) }

// ShiftBucketName returns the name of the shift bucket of a service and link.
func ShiftBucketName(service, from, to string) string {
	return "shift/" + service + "/" + from + "/" + to
}

// Query describes a request that needs a region.
type Query struct {
	Service string
	// EntryRegion is the region where the request entered.
	EntryRegion string
	// Point is the request's point, as returned by the function Point.
	Point int
}

// Decision is an ordered list of regions and how it came about.
type Decision struct {
	// Regions are the regions to try, in order. When none is available, it holds only
	// the entry region.
	Regions []string
	// Weights are the weights that the first choice is based on; empty without a plan.
	Weights []*schema.Weight
	// FailoverFrom is the region that could not take the request and whose failover
	// weights are used instead of the plan's weights, if any.
	FailoverFrom string
}

// Decide returns the regions to try for a request.
func Decide(snap *snapshotter.Snapshot, q Query) Decision {
	route := planner.FindRoute(snap.Plan(), q.Service, q.EntryRegion)
	d := Decision{Weights: route.GetWeights()}
	for _, w := range d.Weights {
		if !takesRequest(snap, q, w.GetRegion()) {
			d.FailoverFrom = w.GetRegion()
			d.Weights = planner.FailoverWeights(route, d.FailoverFrom)
			break
		}
	}
	pick := q.EntryRegion
	if len(d.Weights) > 0 {
		pick = chooseRegion(d.Weights, q.Point)
	}
	for _, r := range append([]string{pick}, fallbackRegions(snap, q.EntryRegion)...) {
		if Available(snap, q.Service, r) && !slices.Contains(d.Regions, r) {
			d.Regions = append(d.Regions, r)
		}
	}
	if len(d.Regions) == 0 {
		d.Regions = []string{q.EntryRegion}
	}
	return d
}

// Available reports whether a region has live hosts and servers that are not drained.
func Available(snap *snapshotter.Snapshot, service, region string) bool {
	svc, ok := snap.Service(service)
	return ok && snap.RegionHealth(region) > 0 && len(svc.Servers(region)) > 0
}

// takesRequest reports whether a region takes the request. A returned region takes a
// growing part of its requests.
func takesRequest(snap *snapshotter.Snapshot, q Query, region string) bool {
	return Available(snap, q.Service, region) && q.Point*rampStride%Points < snap.RegionHealth(region)
}

// chooseRegion returns the region whose range of points contains the point.
func chooseRegion(weights []*schema.Weight, point int) string {
	for _, w := range weights {
		if point < int(w.GetPerMille()) {
			return w.GetRegion()
		}
		point -= int(w.GetPerMille())
	}
	return weights[len(weights)-1].GetRegion()
}

// fallbackRegions returns the entry region and then the others, by descending link
// capacity. Regions without a link have no shift bucket and are left out.
func fallbackRegions(snap *snapshotter.Snapshot, entryRegion string) []string {
	var links []*schema.Link
	for _, l := range snap.Config().GetLinks() {
		if l.GetFrom() == entryRegion {
			links = append(links, l)
		}
	}
	slices.SortStableFunc(links, func(a, b *schema.Link) int { return cmp.Compare(b.GetCapacityMbitS(), a.GetCapacityMbitS()) })
	out := []string{entryRegion}
	for _, l := range links {
		out = append(out, l.GetTo())
	}
	return out
}
