// Package planner decides how the traffic of each service and source region is
// divided among the serving regions.
//
// The region in which requests enter is their source and their home. Demand is
// measured there before requests are routed, so that a plan does not influence
// its own input.
// Together with hysteresis between leaving home and returning, this prevents
// oscillation when measurements are delayed.
package planner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

const (
	// DefaultInterval is the time between two plans if none is configured.
	DefaultInterval = clock.Second
	// StaleAfter is the age above which a region's measurements are ignored. A
	// region without fresh ones counts as fully loaded.
	StaleAfter = 3 * clock.Second
	// BytesPerRequest is the assumed size of a request with its response on a
	// link. The configuration has no sizes.
	BytesPerRequest = 64 << 10

	// highThreshold and lowThreshold are fractions of a region's capacity and
	// form a hysteresis. Home traffic above the high threshold leaves, and
	// returns only up to the low one; in between, the weights stay. Traffic
	// from other regions fills a region up to the high threshold.
	highThreshold = 0.9
	lowThreshold  = 0.8
	// deadband is the smallest weight change worth a new plan, in per mille.
	deadband = 20
	// failoverDeadband is the deadband of failover weights. They follow the
	// demand closely but are used only in a failure, so a wider deadband
	// suffices.
	failoverDeadband = 50
	// totalWeight is the sum of a route's weights, in per mille.
	totalWeight = 1000
)

// Load is the load of a service's slots in a region.
type Load struct {
	Service, Region      string
	Slots, InUse, Queued uint32
	// Granted is the number of requests granted since the owners started.
	Granted uint64
	// Age is the age of the oldest measurement in the sum.
	Age clock.Millis
}

// Demand is the rate of requests for a service that enter at a region's hosts.
type Demand struct {
	Service, Region string
	RatePerS        float64
	// Age is the age of the oldest measurement in the sum.
	Age clock.Millis
}

// Input holds the configuration, the measurements and the current plan from
// which the next plan is computed.
type Input struct {
	Config *schema.Config
	Drains *schema.Drains
	// CurrentPlan is the plan in force.
	CurrentPlan *schema.Plan
	// Fence is the fencing version of the planner's lease.
	Fence   uint64
	Loads   []Load
	Demands []Demand
	// LiveRegions contains the regions with at least one live host.
	LiveRegions map[string]bool
	// PlanAge is the time since the current plan took effect.
	PlanAge clock.Millis
}

// Planner computes plans. It keeps no state between plans.
type Planner struct {
	rules rules
}

// rules are the limits that a plan has to keep. Tests replace them to show that
// their checks detect violations.
type rules struct {
	// staleAfter is the age above which measurements are ignored.
	staleAfter clock.Millis
	// shiftStep returns the largest change of a link's weight in one plan, in
	// per mille.
	shiftStep func(perMille uint32) int
	// shiftCap returns the highest rate on a link for each service.
	shiftCap func(perS float64) float64
	// capacity returns the rate that a region can serve.
	capacity func(perS float64) float64
	// isDraining reports whether an operator is draining the region.
	isDraining func(d *schema.Drains, region string) bool
	// ignoreInterval allows a plan before the interval has passed.
	ignoreInterval bool
	// highThreshold and lowThreshold are the thresholds for leaving home and
	// returning.
	highThreshold, lowThreshold float64
}

// New returns a planner.
func New() *Planner {
	return &Planner{rules{
		staleAfter: StaleAfter, highThreshold: highThreshold, lowThreshold: lowThreshold,
		shiftStep:  func(v uint32) int { return int(v) },
		shiftCap:   func(v float64) float64 { return v },
		capacity:   func(v float64) float64 { return v },
		isDraining: func(d *schema.Drains, region string) bool { return slices.Contains(d.GetRegions(), region) },
	}}
}

// Interval returns the minimum time between two plans.
func Interval(cfg *schema.Config) clock.Millis {
	if ms := cfg.GetSettings().GetPlanIntervalMs(); ms > 0 {
		return clock.Millis(ms)
	}
	return DefaultInterval
}

// NextPlan returns the next plan, or the current plan if the interval has not
// passed or no change is large enough.
func (p *Planner) NextPlan(in Input) *schema.Plan {
	if in.PlanAge < Interval(in.Config) && !p.rules.ignoreInterval {
		return in.CurrentPlan
	}
	next := &schema.Plan{Fence: in.Fence}
	for _, svc := range in.Config.GetServices() {
		m := newModel(p.rules, in, svc)
		weights := m.moveWeights(m.targetWeights(noRegion))
		failovers := make([][][]int, len(m.regions))
		for failed := range m.regions {
			failovers[failed] = m.targetWeights(failed)
		}
		for r := range m.regions {
			next.Routes = append(next.Routes, m.buildRoute(in.CurrentPlan, r, weights[r], failovers))
		}
	}
	if !routesChanged(in.CurrentPlan, next) {
		return in.CurrentPlan
	}
	return next
}

// routesChanged reports whether the routes differ. A new fence alone does not
// justify a new plan.
func routesChanged(old, next *schema.Plan) bool {
	return !proto.Equal(&schema.Plan{Routes: old.GetRoutes()}, &schema.Plan{Routes: next.GetRoutes()})
}

// FindRoute returns the route of a service and source region, or nil.
func FindRoute(p *schema.Plan, service, region string) *schema.Route {
	for _, r := range p.GetRoutes() {
		if r.GetService() == service && r.GetRegion() == region {
			return r
		}
	}
	return nil
}

// FailoverWeights returns a route's weights for the failure of a region.
func FailoverWeights(route *schema.Route, failed string) []*schema.Weight {
	for _, f := range route.GetFailovers() {
		if f.GetFailedRegion() == failed {
			return f.GetWeights()
		}
	}
	return nil
}

// buildRoute returns a source's route with its failover weights, and keeps the
// current failover weights if they may stay.
func (m *model) buildRoute(old *schema.Plan, r int, weights []int, failovers [][][]int) *schema.Route {
	out := &schema.Route{Service: m.svc.GetName(), Region: m.regions[r], Weights: m.weightList(weights)}
	current := FindRoute(old, m.svc.GetName(), m.regions[r])
	for failed, rows := range failovers {
		row := rows[r]
		if currentRow := m.parseWeights(FailoverWeights(current, m.regions[failed])); currentRow != nil && m.canKeepFailover(currentRow, row, failed) {
			row = currentRow
		}
		out.Failovers = append(out.Failovers, &schema.Failover{FailedRegion: m.regions[failed], Weights: m.weightList(row)})
	}
	return out
}

// canKeepFailover reports whether the current failover weights may stay: they
// use no unavailable region that the new ones avoid, and they are close to the
// new ones.
func (m *model) canKeepFailover(old, row []int, failed int) bool {
	for d := range row {
		if old[d] > 0 && row[d] == 0 && !m.canServe(d, failed) || abs(old[d]-row[d]) >= failoverDeadband {
			return false
		}
	}
	return true
}

// weightList returns the nonzero weights of a row.
func (m *model) weightList(row []int) []*schema.Weight {
	var out []*schema.Weight
	for d, w := range row {
		if w > 0 {
			out = append(out, &schema.Weight{Region: m.regions[d], PerMille: uint32(w)})
		}
	}
	return out
}

func abs(v int) int { return max(v, -v) }
