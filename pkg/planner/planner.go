// Package planner decides how the traffic of each service and source region is
// spread over the serving regions.
//
// Demand is measured where requests enter, before they are routed, so that a
// plan does not change the figures it was made from. Together with separate
// marks for leaving home and returning this keeps late figures from causing
// oscillation.
package planner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

const (
	// DefaultInterval is the time between two plans when the configuration names none.
	DefaultInterval = clock.Second
	// StaleAfter is the age from which a figure counts as full load.
	StaleAfter = 3 * clock.Second
	// BytesPerRequest is the assumed size of a request with its answer on a
	// link; the configuration does not give sizes.
	BytesPerRequest = 64 << 10

	// highThreshold and lowMark are parts of a region's capacity. Home traffic above
	// the high mark leaves, and returns only up to the low mark; between the two
	// the weights stay. Shifted traffic fills a region to the high mark.
	highThreshold = 0.9
	lowThreshold  = 0.8
	// deadband is the smallest change of a weight worth a new plan, in per mille.
	deadband = 20
	// failoverDeadband is the same for failover weights, which follow demand
	// closely but are used only in a failure.
	failoverDeadband = 50
	// totalWeight is the sum of a route's weights.
	totalWeight = 1000
)

// Load is the load of a region's slots of one service.
type Load struct {
	Service, Region      string
	Slots, InUse, Queued uint32
	// Granted counts requests since the owners started.
	Granted uint64
	// Age is that of the oldest figure in the sum.
	Age clock.Millis
}

// Demand is the rate of requests for a service that enter at a region's hosts.
type Demand struct {
	Service, Region string
	RatePerS        float64
	// Age is that of the oldest figure in the sum.
	Age clock.Millis
}

// Input is what a plan is made from.
type Input struct {
	Config *schema.Config
	Drains *schema.Drains
	// CurrentPlan is the plan in force.
	CurrentPlan *schema.Plan
	// Fence is the fencing version of the planner's lease.
	Fence   uint64
	Loads   []Load
	Demands []Demand
	// LiveRegions holds the regions with at least one live host.
	LiveRegions map[string]bool
	// PlanAge is the time since the plan in force was put in force.
	PlanAge clock.Millis
}

// Planner makes plans. It keeps no state between two plans.
type Planner struct {
	rules rules
}

// rules are the limits of a plan; tests replace them to prove that checks fail.
type rules struct {
	// staleAfter is the age from which a figure counts as full load.
	staleAfter clock.Millis
	// shiftStep returns a link's largest change of a weight, in per mille.
	shiftStep func(perMille uint32) int
	// shiftCap returns a link's largest rate for each service.
	shiftCap func(perS float64) float64
	// capacity returns the rate that a region runs.
	capacity func(perS float64) float64
	// isDraining reports whether an operator takes the region out of service.
	isDraining func(d *schema.Drains, region string) bool
	// ignoreInterval allows plans before the interval has passed.
	ignoreInterval bool
	// highThreshold and lowThreshold are the marks for leaving home and returning.
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

// Interval returns the time between two plans.
func Interval(cfg *schema.Config) clock.Millis {
	if ms := cfg.GetSettings().GetPlanIntervalMs(); ms > 0 {
		return clock.Millis(ms)
	}
	return DefaultInterval
}

// NextPlan returns the plan that follows the one in force, or the plan in force
// when the interval has not passed or nothing is worth a change.
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

// routesChanged compares the routes; a new fence alone is not worth a plan.
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

// FailoverWeights returns a route's weights for the loss of a region.
func FailoverWeights(route *schema.Route, failed string) []*schema.Weight {
	for _, f := range route.GetFailovers() {
		if f.GetFailedRegion() == failed {
			return f.GetWeights()
		}
	}
	return nil
}

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

// canKeepFailover reports whether old failover weights may stay: they use only usable
// regions and are close to the new ones.
func (m *model) canKeepFailover(old, row []int, failed int) bool {
	for d := range row {
		if old[d] > 0 && row[d] == 0 && !m.canServe(d, failed) || abs(old[d]-row[d]) >= failoverDeadband {
			return false
		}
	}
	return true
}

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
