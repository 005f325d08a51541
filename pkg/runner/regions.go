package runner

import (
	"context"
	"sync"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/controller"
	"catkindyke/pkg/forwarder"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/router"
	"catkindyke/pkg/snapshotter"
)

// reasonShiftCap is the reason for refusing a request that could run only in other
// regions whose shift buckets are all empty.
const reasonShiftCap = "shift_cap"

// routeCounters counts the requests of each route, which is a service with a home
// region, to distribute them over the regions by the route's weights.
type routeCounters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func newRouteCounters() *routeCounters { return &routeCounters{counts: make(map[string]uint64)} }

// nextPoint returns the point of a route's next request, which selects its region.
func (c *routeCounters) nextPoint(route string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[route]++
	return router.Point(c.counts[route])
}

// regionOrder returns the regions to try for a request, and counts the request as
// demand of the caller's home region unless it is a retry. The order depends on the
// home region, not on the region of the entry host: the route's weights and shift caps
// also cover callers that look-ups have sent to hosts of other regions.
func (h *Host) regionOrder(snap *snapshotter.Snapshot, req forwarder.SlotRequest) []string {
	service := req.Service.Config().GetName()
	if len(req.Exclude) == 0 {
		h.meter.Add(controller.DemandCounter(service, req.HomeRegion), 1)
	}
	q := router.Query{Service: service, EntryRegion: req.HomeRegion, Point: h.routeCounters.nextPoint(service + "/" + req.HomeRegion)}
	return router.Decide(snap, q).Regions
}

// takeShiftToken takes a token from the shift bucket if the region is not the caller's
// home region.
func (h *Host) takeShiftToken(ctx context.Context, service, home, region string) error {
	if region == home {
		return nil
	}
	verdict, wait := h.controller.Admit(ctx, router.ShiftBucketName(service, home, region))
	if verdict != limiter.Admitted {
		h.meter.Add("shift_cap_reached", 1)
		return &forwarder.AcquireError{Reason: reasonShiftCap, RetryAfter: max(wait, clock.Millis(1))}
	}
	h.meter.Add("shifted", 1)
	return nil
}

// bucketTokens returns the tokens that the host has in a bucket.
func (h *Host) bucketTokens(bucket string) float64 {
	return h.controller.Limiter().Tokens(bucket, h.clock.Now())
}
