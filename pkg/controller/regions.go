package controller

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// demandSamples is the number of ticks over which demand is measured: 2 s, long
// enough to even out bursts and shorter than the age at which figures go stale.
const demandSamples = 4

// demandMeter turns counters of requests into rates.
type demandMeter struct {
	samples []demandSample
	rates   []*schema.Demand
}

type demandSample struct {
	at     clock.Millis
	counts map[string]int64
}

// DemandCounter names the counter of the requests for a service that enter at the host.
func DemandCounter(service string) string { return "demand_" + service }

// measureDemand runs on the control goroutine.
func (c *Controller) measureDemand(now clock.Millis) {
	s := demandSample{now, make(map[string]int64)}
	for _, svc := range c.input.Config.GetServices() {
		s.counts[svc.GetName()] = c.cfg.Meter.Get(DemandCounter(svc.GetName()))
	}
	d := &c.demand
	d.samples = append(d.samples, s)
	d.samples = d.samples[max(0, len(d.samples)-demandSamples-1):]
	first := d.samples[0]
	if now <= first.at {
		return
	}
	d.rates = nil
	for _, svc := range c.input.Config.GetServices() {
		n := s.counts[svc.GetName()] - first.counts[svc.GetName()]
		d.rates = append(d.rates, &schema.Demand{Service: svc.GetName(), RatePerS: float64(n) * 1000 / float64(now-first.at)})
	}
}

// observeRegions follows which regions have live hosts; it runs on the control goroutine.
func (c *Controller) observeRegions(now clock.Millis) {
	live := make(map[string]bool)
	for _, h := range c.input.Hosts {
		live[h.Region] = true
	}
	var names []string
	for _, r := range c.input.Config.GetRegions() {
		names = append(names, r.GetName())
	}
	for _, e := range c.regions.Observe(names, live, now) {
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
		health[name] = c.regions.Health(name, now)
		c.cfg.Meter.Set("region_health_"+name, int64(health[name]))
	}
	c.input.RegionHealth = health
}
