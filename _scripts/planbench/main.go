// Command planbench runs the planner for both deployments in virtual time and prints a
// table. Demand is a rate per service and region; the planner gets it every second, one
// second late and with noise.
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
	// calmLoad and peakLoad are a region's demand as a fraction of its capacity.
	calmLoad, peakLoad = 0.35, 0.75
	// busiestLoad is the peak demand of the first region.
	busiestLoad = 1.1
	// peakSecond, eventSecond and recoverySecond are the times of changes in load or state.
	peakSecond, eventSecond, recoverySecond, endSecond = 30, 90, 180, 300
)

// scenario changes the state of the target region during the peak.
type scenario struct {
	name          string
	drained, lost bool
	recovers      bool
}

var scenarios = []scenario{
	{name: "morning return"},
	{name: "region lost at the peak", lost: true},
	{name: "region lost and back", lost: true, recovers: true},
	{name: "region drained at the peak", drained: true},
}

func main() {
	fmt.Println("| deployment | scenario | region | least headroom | time to drain | refused | best possible | cap breaches | overloads |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, name := range []string{"sovig", "bollard"} {
		cfg, err := loadConfig(filepath.Join("_fixtures", "config", name))
		if err != nil {
			fmt.Fprintln(os.Stderr, "planbench:", err)
			os.Exit(1)
		}
		for _, sc := range scenarios {
			r := newRun(cfg, sc)
			for second := range endSecond {
				r.step(second)
			}
			r.print(name)
		}
	}
}

// run is one scenario for one deployment.
type run struct {
	cfg      *schema.Config
	scenario scenario
	target   string
	rng      *rand.Rand
	plan     *schema.Plan
	// previousDemand is the demand one second ago.
	previousDemand map[[2]string]float64

	offered, served, maxServable float64
	headroom                     float64
	breaches, overloads          int
	drainSeconds                 int
}

func newRun(cfg *schema.Config, sc scenario) *run {
	return &run{
		cfg: cfg, scenario: sc, target: cfg.GetRegions()[len(cfg.GetRegions())-1].GetName(), plan: &schema.Plan{},
		rng: rand.New(rand.NewPCG(seed, seed)), headroom: 1, drainSeconds: -1,
	}
}

func (r *run) targetUnavailable(second int) bool {
	return (r.scenario.lost || r.scenario.drained) && second >= eventSecond && (!r.scenario.recovers || second < recoverySecond)
}

func (r *run) step(second int) {
	drains, live := &schema.Drains{}, make(map[string]bool)
	for _, g := range r.cfg.GetRegions() {
		live[g.GetName()] = true
	}
	if r.targetUnavailable(second) {
		if r.scenario.lost {
			live[r.target] = false
		} else {
			drains.Regions = []string{r.target}
		}
	}
	demand := r.demand(second)
	if r.previousDemand == nil {
		r.previousDemand = demand
	}
	in := planner.Input{Config: r.cfg, Drains: drains, CurrentPlan: r.plan, LiveRegions: live, PlanAge: clock.Second, Fence: 1}
	for _, s := range r.cfg.GetServices() {
		for _, g := range r.cfg.GetRegions() {
			if !live[g.GetName()] {
				continue
			}
			key := [2]string{s.GetName(), g.GetName()}
			in.Demands = append(in.Demands, planner.Demand{
				Service: key[0], Region: key[1], Age: clock.Second, RatePerS: r.previousDemand[key] * (0.97 + 0.06*r.rng.Float64()),
			})
			in.Loads = append(in.Loads, planner.Load{Service: key[0], Region: key[1], Slots: slots(s, key[1]), Age: clock.Second})
		}
	}
	r.plan = planner.New().NextPlan(in)
	for _, s := range r.cfg.GetServices() {
		r.serve(s, demand, drains, live, second)
	}
	if r.targetUnavailable(second) && r.drainSeconds < 0 && r.planAvoidsTarget() {
		r.drainSeconds = second - eventSecond + 1
	}
	r.previousDemand = demand
}

// demand returns the rates at the entry hosts. A lost region's callers split evenly
// between the other regions.
func (r *run) demand(second int) map[[2]string]float64 {
	rates := make(map[[2]string]float64)
	for _, s := range r.cfg.GetServices() {
		lost := 0.0
		for i, g := range r.cfg.GetRegions() {
			load := calmLoad
			if second >= peakSecond {
				load = peakLoad
				if i == 0 {
					load = busiestLoad
				}
			}
			rate := load * capacity(s, g.GetName())
			if r.scenario.lost && r.targetUnavailable(second) && g.GetName() == r.target {
				lost, rate = rate, 0
			}
			rates[[2]string{s.GetName(), g.GetName()}] = rate
		}
		for _, g := range r.cfg.GetRegions() {
			if g.GetName() != r.target {
				rates[[2]string{s.GetName(), g.GetName()}] += lost / float64(len(r.cfg.GetRegions())-1)
			}
		}
	}
	return rates
}

// planAvoidsTarget reports whether the plan gives the target region no weight.
func (r *run) planAvoidsTarget() bool {
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
	drainTime := "-"
	if r.drainSeconds >= 0 {
		drainTime = fmt.Sprintf("%d s", r.drainSeconds)
	}
	fmt.Printf("| %s | %s | %s | %.1f %% | %s | %.2f %% | %.2f %% | %d | %d |\n", deployment, r.scenario.name, r.target,
		100*r.headroom, drainTime, 100*(1-r.served/r.offered), 100*(1-r.maxServable/r.offered), r.breaches, r.overloads)
}
