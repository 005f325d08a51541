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

// reasonShiftCap refuses a request that may run only in other regions, all of
// whose shift buckets are empty.
const reasonShiftCap = "shift_cap"

// routeCounters counts the requests of each service and home region, to spread them over the regions.
type routeCounters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func newRouteCounters() *routeCounters { return &routeCounters{counts: make(map[string]uint64)} }

func (c *routeCounters) nextPoint(route string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[route]++
	return router.Point(c.counts[route])
}

// regionOrder returns the regions to try for a request, and counts the request
// as demand of the caller's home region when it is not a repeat. The home
// region, not that of the entry host, decides: a caller that a look-up has sent
// to another region is part of the same shift.
func (h *Host) regionOrder(snap *snapshotter.Snapshot, req forwarder.SlotRequest) []string {
	service := req.Service.Config().GetName()
	if len(req.Exclude) == 0 {
		h.meter.Add(controller.DemandCounter(service, req.HomeRegion), 1)
	}
	q := router.Query{Service: service, EntryRegion: req.HomeRegion, Point: h.routeCounters.nextPoint(service + "/" + req.HomeRegion)}
	return router.Decide(snap, q).Regions
}

// takeShiftToken takes a token of the shift bucket for a request that is served
// outside the caller's home region.
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

// bucketTokens returns the bucketTokens of a bucket that the host holds.
func (h *Host) bucketTokens(bucket string) float64 {
	return h.controller.Limiter().Tokens(bucket, h.clock.Now())
}
