package controller

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// demandSamples is the number of ticks over which demand is measured. These 2 s smooth
// out bursts and are shorter than the age at which the planner considers demand stale.
const demandSamples = 4

// demandSampler computes the rate of requests from samples of their counters.
type demandSampler struct {
	samples []demandSample
	rates   []*schema.Demand
}

type demandSample struct {
	sampledAt clock.Millis
	counts    map[string]int64
}

// DemandCounter returns the name of the counter of a service's requests that arrive
// at the host from callers of a home region.
func DemandCounter(service, home string) string { return "demand_" + service + "_from_" + home }

// measureDemand updates the demand rates. It runs on the control goroutine.
func (c *Controller) measureDemand(now clock.Millis) {
	sample := demandSample{now, make(map[string]int64)}
	c.forEachRoute(func(service, home string) {
		name := DemandCounter(service, home)
		sample.counts[name] = c.cfg.Meter.Get(name)
	})
	d := &c.demand
	d.samples = append(d.samples, sample)
	d.samples = d.samples[max(0, len(d.samples)-demandSamples-1):]
	first := d.samples[0]
	if now <= first.sampledAt {
		return
	}
	d.rates = nil
	c.forEachRoute(func(service, home string) {
		name := DemandCounter(service, home)
		n := sample.counts[name] - first.counts[name]
		// Demand of another region is reported only if there is some. Otherwise a silent
		// host would make the sums stale even for regions that send it no requests.
		if n > 0 || home == c.input.Self.Region {
			d.rates = append(d.rates, &schema.Demand{
				Service: service, Region: home, RatePerS: float64(n) * 1000 / float64(now-first.sampledAt),
			})
		}
	})
}

// forEachRoute calls f for each pair of a service and a home region.
func (c *Controller) forEachRoute(f func(service, home string)) {
	for _, svc := range c.input.Config.GetServices() {
		for _, region := range c.input.Config.GetRegions() {
			f(svc.GetName(), region.GetName())
		}
	}
}

// updateRegions updates the health of the regions by which hosts are live. It runs on
// the control goroutine.
func (c *Controller) updateRegions(now clock.Millis) {
	live := make(map[string]bool)
	for _, h := range c.input.Hosts {
		live[h.Region] = true
	}
	var names []string
	for _, r := range c.input.Config.GetRegions() {
		names = append(names, r.GetName())
	}
	for _, e := range c.regionTracker.Update(names, live, now) {
		if e.Failed {
			c.cfg.Meter.Add("regions_failed", 1)
			c.cfg.Log.Warn().Str("region", e.Region).Msg("region_failed")
		} else {
			c.cfg.Meter.Add("regions_returned", 1)
			c.cfg.Log.Info().Str("region", e.Region).Msg("region_returned")
		}
	}
	health := make(map[string]int)
	for _, name := range names {
		health[name] = c.regionTracker.Health(name, now)
		c.cfg.Meter.Set("region_health_"+name, int64(health[name]))
	}
	c.input.RegionHealth = health
}
