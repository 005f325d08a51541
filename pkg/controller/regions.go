package controller

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// demandSamples is the number of ticks over which demand is measured: 2 s, long
// enough to even out bursts and shorter than the age at which figures go stale.
const demandSamples = 4

// demandSampler turns counters of requests into rates.
type demandSampler struct {
	samples []demandSample
	rates   []*schema.Demand
}

type demandSample struct {
	sampledAt clock.Millis
	counts    map[string]int64
}

// DemandCounter names the counter of the requests for a service that enter at
// the host, by the home region of their callers.
func DemandCounter(service, home string) string { return "demand_" + service + "_from_" + home }

// measureDemand runs on the control goroutine.
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
		// Demand of other regions is told only while there is some, so that the age
		// of a silent host's figures counts only where it has a part.
		if n > 0 || home == c.input.Self.Region {
			d.rates = append(d.rates, &schema.Demand{
				Service: service, Region: home, RatePerS: float64(n) * 1000 / float64(now-first.sampledAt),
			})
		}
	})
}

// forEachRoute calls f for each service and home region.
func (c *Controller) forEachRoute(f func(service, home string)) {
	for _, svc := range c.input.Config.GetServices() {
		for _, region := range c.input.Config.GetRegions() {
			f(svc.GetName(), region.GetName())
		}
	}
}

// updateRegions follows which regions have live hosts; it runs on the control goroutine.
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
