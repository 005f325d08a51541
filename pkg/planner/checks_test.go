package planner

import (
	"fmt"
	"slices"

	"catkindyke/pkg/schema"
)

// check validates one plan against its input, which includes the previous plan.
// Checks compute rates and capacities from the input independently of the
// planner.
type check struct {
	name string
	run  func(in Input, next *schema.Plan) error
}

var checks = []check{
	{"weight_sums", checkWeightSums},
	{"shift_step", checkShiftStep},
	{"shift_cap", checkShiftCap},
	{"capacity", checkCapacity},
	{"stale_regions", checkStaleRegions},
	{"interval", checkInterval},
}

// weightOf returns the weight of a destination. All traffic of a missing route
// stays home.
func weightOf(p *schema.Plan, service, from, to string) int {
	route := FindRoute(p, service, from)
	if len(route.GetWeights()) == 0 && from == to {
		return 1000
	}
	for _, w := range route.GetWeights() {
		if w.GetRegion() == to {
			return int(w.GetPerMille())
		}
	}
	return 0
}

// checkWeightSums requires that all weights sum to 1000 and that each route has
// failover weights for every region.
func checkWeightSums(in Input, next *schema.Plan) error {
	sum := func(list []*schema.Weight) (n uint32) {
		for _, w := range list {
			n += w.GetPerMille()
		}
		return n
	}
	for _, r := range next.GetRoutes() {
		if n := sum(r.GetWeights()); n != 1000 {
			return fmt.Errorf("%s from %s: weights sum to %d, want 1000", r.GetService(), r.GetRegion(), n)
		}
		if len(r.GetFailovers()) != len(in.Config.GetRegions()) {
			return fmt.Errorf("%s from %s: %d failovers, want one for each region", r.GetService(), r.GetRegion(), len(r.GetFailovers()))
		}
		for _, f := range r.GetFailovers() {
			if n := sum(f.GetWeights()); n != 1000 {
				return fmt.Errorf("%s from %s, failover for %s: weights sum to %d, want 1000", r.GetService(), r.GetRegion(), f.GetFailedRegion(), n)
			}
		}
	}
	return nil
}

// checkShiftStep requires that no weight changes by more than its link's step.
func checkShiftStep(in Input, next *schema.Plan) error {
	for _, s := range in.Config.GetServices() {
		for _, l := range in.Config.GetLinks() {
			before, after := weightOf(in.CurrentPlan, s.GetName(), l.GetFrom(), l.GetTo()), weightOf(next, s.GetName(), l.GetFrom(), l.GetTo())
			if abs(after-before) > int(l.GetShiftStepPerMille()) {
				return fmt.Errorf("%s %s>%s: weight changed from %d to %d, step %d", s.GetName(), l.GetFrom(), l.GetTo(), before, after, l.GetShiftStepPerMille())
			}
		}
	}
	return nil
}

// demandOf returns the demand that a plan has to assume and whether its
// measurement is fresh. Without a fresh one it is the region's configured
// capacity.
func demandOf(in Input, s *schema.Service, region string) (rate float64, fresh bool) {
	if !in.LiveRegions[region] {
		return 0, true
	}
	for _, d := range in.Demands {
		if d.Service == s.GetName() && d.Region == region && d.Age <= 3000 {
			return d.RatePerS, true
		}
	}
	return serviceRate(in, s, region, false), false
}

// serviceRate returns the requests per second that a region's servers can
// serve.
func serviceRate(in Input, s *schema.Service, region string, activeOnly bool) float64 {
	slots := 0
	for _, b := range s.GetBackendServers() {
		draining := activeOnly && (slices.Contains(in.Drains.GetBackendServers(), b.GetName()) ||
			slices.Contains(in.Drains.GetAvailabilityZones(), b.GetAvailabilityZone()))
		if b.GetRegion() == region && !draining {
			slots += int(s.GetSlots())
		}
	}
	return float64(slots) * 1000 / float64(s.GetServiceTimeMs())
}

// isAvailable reports whether a region is not draining and has live hosts and
// active servers.
func isAvailable(in Input, s *schema.Service, region string) bool {
	return in.LiveRegions[region] && !slices.Contains(in.Drains.GetRegions(), region) && serviceRate(in, s, region, true) > 0
}

// loadOf returns the fresh load of a region.
func loadOf(in Input, s *schema.Service, region string) (Load, bool) {
	for _, l := range in.Loads {
		if l.Service == s.GetName() && l.Region == region && l.Age <= 3000 && l.Slots > 0 {
			return l, true
		}
	}
	return Load{}, false
}

// checkShiftCap requires that a weight does not grow above the shift cap or the
// link rate, unless home is unavailable. Then the shift bucket refuses the
// excess.
func checkShiftCap(in Input, next *schema.Plan) error {
	for _, s := range in.Config.GetServices() {
		for _, l := range in.Config.GetLinks() {
			demand, _ := demandOf(in, s, l.GetFrom())
			before, after := weightOf(in.CurrentPlan, s.GetName(), l.GetFrom(), l.GetTo()), weightOf(next, s.GetName(), l.GetFrom(), l.GetTo())
			rate := demand * float64(after) / 1000
			linkRate := float64(l.GetCapacityMbitS()) * 1e6 / 8 / (64 << 10) / float64(len(in.Config.GetServices()))
			if after > before && isAvailable(in, s, l.GetFrom()) && rate > min(l.GetShiftCapPerS(), linkRate)*(1+1e-9) {
				return fmt.Errorf("%s %s>%s: %f/s planned, shift cap %f, link rate %f", s.GetName(), l.GetFrom(), l.GetTo(), rate, l.GetShiftCapPerS(), linkRate)
			}
		}
	}
	return nil
}

// checkCapacity requires that no region is over capacity after a weight into it
// has grown, except when the growth comes from a source whose home is
// unavailable.
func checkCapacity(in Input, next *schema.Plan) error {
	for _, s := range in.Config.GetServices() {
		for _, to := range in.Config.GetRegions() {
			load, grew := 0.0, false
			for _, from := range in.Config.GetRegions() {
				before, after := weightOf(in.CurrentPlan, s.GetName(), from.GetName(), to.GetName()), weightOf(next, s.GetName(), from.GetName(), to.GetName())
				demand, _ := demandOf(in, s, from.GetName())
				load += limitToShiftCap(in, from.GetName(), to.GetName(), demand*float64(after)/1000)
				grew = grew || after > before && from != to && isAvailable(in, s, from.GetName())
			}
			capacity := serviceRate(in, s, to.GetName(), true)
			if l, ok := loadOf(in, s, to.GetName()); ok {
				capacity = min(capacity, float64(l.Slots)*1000/float64(s.GetServiceTimeMs()))
			}
			if grew && load > capacity*(1+1e-9) {
				return fmt.Errorf("%s at %s: %f/s planned, capacity %f", s.GetName(), to.GetName(), load, capacity)
			}
		}
	}
	return nil
}

// limitToShiftCap returns the part of a rate that passes the shift bucket.
func limitToShiftCap(in Input, from, to string, rate float64) float64 {
	for _, l := range in.Config.GetLinks() {
		if l.GetFrom() == from && l.GetTo() == to {
			return min(rate, l.GetShiftCapPerS())
		}
	}
	return rate
}

// checkStaleRegions requires that no weight grows into a region whose
// measurements are stale or missing, or that is draining or failed.
func checkStaleRegions(in Input, next *schema.Plan) error {
	for _, s := range in.Config.GetServices() {
		for _, l := range in.Config.GetLinks() {
			before, after := weightOf(in.CurrentPlan, s.GetName(), l.GetFrom(), l.GetTo()), weightOf(next, s.GetName(), l.GetFrom(), l.GetTo())
			_, demandFresh := demandOf(in, s, l.GetTo())
			_, loadFresh := loadOf(in, s, l.GetTo())
			unavailable := !isAvailable(in, s, l.GetTo())
			if after > before && isAvailable(in, s, l.GetFrom()) && (!demandFresh || !loadFresh || unavailable) {
				return fmt.Errorf("%s %s>%s: weight grew from %d to %d (demand known %t, load known %t, unavailable %t)", s.GetName(), l.GetFrom(), l.GetTo(), before, after, demandFresh, loadFresh, unavailable)
			}
		}
	}
	return nil
}

// checkInterval requires that a plan stays in force for the interval.
func checkInterval(in Input, next *schema.Plan) error {
	if in.PlanAge < Interval(in.Config) && next != in.CurrentPlan {
		return fmt.Errorf("new plan after %d ms", in.PlanAge)
	}
	return nil
}

// runChecks returns the error of the first check that fails.
func runChecks(in Input, next *schema.Plan) error {
	for _, c := range checks {
		if len(next.GetRoutes()) == 0 {
			continue
		}
		if err := c.run(in, next); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}
