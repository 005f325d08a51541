// Command planbench runs the planner against both deployments in virtual time
// and prints a table. Demand is a rate for each service and region; every
// second the planner sees it one second late with noise.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/planner"
	"catkindyke/pkg/schema"
)

const (
	seed = 11
	// calm and peak are parts of a region's capacity that its callers ask for.
	calm, peak = 0.35, 0.75
	// busiest is the same at the peak in the first region.
	busiest = 1.1
	// peakAt, eventAt and backAt are the seconds at which the load or the state changes.
	peakAt, eventAt, backAt, end = 30, 90, 180, 300
)

// scenario changes the state of a region at the peak.
type scenario struct {
	name          string
	drained, lost bool
	back          bool
}

var scenarios = []scenario{
	{name: "morning return"},
	{name: "region lost at the peak", lost: true},
	{name: "region lost and back", lost: true, back: true},
	{name: "region drained at the peak", drained: true},
}

func main() {
	fmt.Println("| deployment | scenario | region | least headroom | time to drain | refused | best possible | cap breaches | overloads |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, name := range []string{"sovig", "bollard"} {
		cfg, err := load(filepath.Join("_fixtures", "config", name))
		if err != nil {
			fmt.Fprintln(os.Stderr, "planbench:", err)
			os.Exit(1)
		}
		for _, sc := range scenarios {
			run := newRun(cfg, sc)
			for second := range end {
				run.step(second)
			}
			run.print(name)
		}
	}
}

// run is one scenario on one deployment.
type run struct {
	cfg    *schema.Config
	sc     scenario
	target string
	rnd    *rand.Rand
	plan   *schema.Plan
	// past holds the demand of the second before.
	past map[[2]string]float64

	offered, served, best float64
	headroom              float64
	breaches, overloads   int
	drainedAfter          int
}

func newRun(cfg *schema.Config, sc scenario) *run {
	return &run{
		cfg: cfg, sc: sc, target: cfg.GetRegions()[len(cfg.GetRegions())-1].GetName(), plan: &schema.Plan{},
		rnd: rand.New(rand.NewPCG(seed, seed)), headroom: 1, drainedAfter: -1,
	}
}

func (r *run) out(second int) bool {
	return (r.sc.lost || r.sc.drained) && second >= eventAt && (!r.sc.back || second < backAt)
}

func (r *run) step(second int) {
	drains, live := &schema.Drains{}, make(map[string]bool)
	for _, g := range r.cfg.GetRegions() {
		live[g.GetName()] = true
	}
	if r.out(second) {
		if r.sc.lost {
			live[r.target] = false
		} else {
			drains.Regions = []string{r.target}
		}
	}
	demand := r.demand(second)
	if r.past == nil {
		r.past = demand
	}
	in := planner.Input{Config: r.cfg, Drains: drains, CurrentPlan: r.plan, LiveRegions: live, PlanAge: clock.Second, Fence: 1}
	for _, s := range r.cfg.GetServices() {
		for _, g := range r.cfg.GetRegions() {
			if !live[g.GetName()] {
				continue
			}
			key := [2]string{s.GetName(), g.GetName()}
			in.Demands = append(in.Demands, planner.Demand{
				Service: key[0], Region: key[1], Age: clock.Second, RatePerS: r.past[key] * (0.97 + 0.06*r.rnd.Float64()),
			})
			in.Loads = append(in.Loads, planner.Load{Service: key[0], Region: key[1], Slots: slots(s, key[1]), Age: clock.Second})
		}
	}
	r.plan = planner.New().NextPlan(in)
	for _, s := range r.cfg.GetServices() {
		r.serve(s, demand, drains, live, second)
	}
	if r.out(second) && r.drainedAfter < 0 && r.empty() {
		r.drainedAfter = second - eventAt + 1
	}
	r.past = demand
}

// demand returns the rates at the entry hosts; callers of a lost region go to
// the other regions' hosts, half of them to each.
func (r *run) demand(second int) map[[2]string]float64 {
	out := make(map[[2]string]float64)
	for _, s := range r.cfg.GetServices() {
		lost := 0.0
		for i, g := range r.cfg.GetRegions() {
			part := calm
			if second >= peakAt {
				part = peak
				if i == 0 {
					part = busiest
				}
			}
			v := part * capacity(s, g.GetName())
			if r.sc.lost && r.out(second) && g.GetName() == r.target {
				lost, v = v, 0
			}
			out[[2]string{s.GetName(), g.GetName()}] = v
		}
		for _, g := range r.cfg.GetRegions() {
			if g.GetName() != r.target {
				out[[2]string{s.GetName(), g.GetName()}] += lost / float64(len(r.cfg.GetRegions())-1)
			}
		}
	}
	return out
}

// empty reports whether no route has a weight at the target.
func (r *run) empty() bool {
	for _, route := range r.plan.GetRoutes() {
		for _, w := range route.GetWeights() {
			if w.GetRegion() == r.target && w.GetPerMille() > 0 {
				return false
			}
		}
	}
	return true
}

func (r *run) print(deployment string) {
	drain := "-"
	if r.drainedAfter >= 0 {
		drain = fmt.Sprintf("%d s", r.drainedAfter)
	}
	fmt.Printf("| %s | %s | %s | %.1f %% | %s | %.2f %% | %.2f %% | %d | %d |\n", deployment, r.sc.name, r.target,
		100*r.headroom, drain, 100*(1-r.served/r.offered), 100*(1-r.best/r.offered), r.breaches, r.overloads)
}
