package main

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"catkindyke/pkg/merger"
	"catkindyke/pkg/parser"
	"catkindyke/pkg/planner"
	"catkindyke/pkg/schema"
)

// flow is the traffic of one service in one second.
type flow struct {
	regions           []string
	demand, capacity  []float64
	shiftCaps, sent   [][]float64
	shiftedIn, inflow []float64
}

// serve routes one second of a service's traffic as entry hosts do: by the plan's weights
// (failover weights if a region is unavailable), then over other links while their buckets
// have tokens, and finally in the home region.
func (r *run) serve(s *schema.Service, demand map[[2]string]float64, drains *schema.Drains, live map[string]bool, second int) {
	f := r.newFlow(s, demand, drains, live)
	n := len(f.regions)
	unrouted := make([]float64, n)
	for from, name := range f.regions {
		fractions, sum := f.weights(planner.FindRoute(r.plan, s.GetName(), name), from), 0.0
		for to, w := range fractions {
			sum += f.send(from, to, f.demand[from]*w)
		}
		// A smaller difference comes from rounding.
		if remainder := f.demand[from] - sum; remainder > 1e-6 {
			unrouted[from] = remainder
		}
	}
	for from := range f.regions {
		for to := range f.regions {
			if to != from && f.capacity[to] > 0 {
				unrouted[from] -= f.send(from, to, unrouted[from])
			}
		}
		if f.capacity[from] > 0 {
			unrouted[from] -= f.send(from, from, unrouted[from])
		}
	}
	r.offered += total(f.demand)
	r.maxServable += f.maxServable()
	for to := range f.regions {
		r.served += min(f.inflow[to], f.capacity[to])
		if f.capacity[to] > 0 {
			r.headroom = min(r.headroom, max(0, 1-f.inflow[to]/f.capacity[to]))
		}
		if f.shiftedIn[to] > 0 && f.inflow[to] > f.capacity[to]*(1+1e-9) {
			r.overloads++
		}
		for from := range f.regions {
			if from != to && f.sent[from][to] > f.shiftCaps[from][to]*(1+1e-9) {
				r.breaches++
			}
		}
	}
}

func (r *run) newFlow(s *schema.Service, demand map[[2]string]float64, drains *schema.Drains, live map[string]bool) *flow {
	f := &flow{}
	for _, g := range r.cfg.GetRegions() {
		name := g.GetName()
		f.regions = append(f.regions, name)
		f.demand = append(f.demand, demand[[2]string{s.GetName(), name}])
		regionCapacity := capacity(s, name)
		if !live[name] || slices.Contains(drains.GetRegions(), name) {
			regionCapacity = 0
		}
		f.capacity = append(f.capacity, regionCapacity)
	}
	n := len(f.regions)
	f.shiftedIn, f.inflow = make([]float64, n), make([]float64, n)
	for range f.regions {
		f.shiftCaps, f.sent = append(f.shiftCaps, make([]float64, n)), append(f.sent, make([]float64, n))
	}
	for _, l := range r.cfg.GetLinks() {
		f.shiftCaps[slices.Index(f.regions, l.GetFrom())][slices.Index(f.regions, l.GetTo())] = l.GetShiftCapPerS()
	}
	return f
}

// weights returns a route's weights as fractions, or its failover weights if a region is unavailable.
func (f *flow) weights(route *schema.Route, from int) []float64 {
	fractions := make([]float64, len(f.regions))
	weights := route.GetWeights()
	for _, w := range weights {
		if f.capacity[slices.Index(f.regions, w.GetRegion())] == 0 {
			weights = planner.FailoverWeights(route, w.GetRegion())
			break
		}
	}
	for _, w := range weights {
		fractions[slices.Index(f.regions, w.GetRegion())] = float64(w.GetPerMille()) / 1000
	}
	if len(weights) == 0 {
		fractions[from] = 1
	}
	return fractions
}

// send routes a rate to a region, up to the link's remaining shift cap, and returns the routed rate.
func (f *flow) send(from, to int, rate float64) float64 {
	if f.capacity[to] == 0 {
		return 0
	}
	if from != to {
		rate = min(rate, f.shiftCaps[from][to]-f.sent[from][to])
		f.sent[from][to] += rate
		f.shiftedIn[to] += rate
	}
	f.inflow[to] += rate
	return rate
}

// maxServable returns the highest rate that can be served under the caps: local demand
// first, then the maximum flow from excess demand to spare capacity.
func (f *flow) maxServable() float64 {
	n := len(f.regions)
	served := 0.0
	excess, spare, caps := make([]float64, n), make([]float64, n), make([][]float64, n)
	for i := range f.regions {
		home := min(f.demand[i], f.capacity[i])
		served += home
		excess[i], spare[i], caps[i] = f.demand[i]-home, f.capacity[i]-home, slices.Clone(f.shiftCaps[i])
	}
	flows := make([][]float64, n)
	for i := range flows {
		flows[i] = make([]float64, n)
	}
	for {
		pushed := 0.0
		for from := range excess {
			pushed += augment(from, excess[from], make([]bool, n), excess, spare, caps, flows)
		}
		served += pushed
		if pushed < 1e-9 {
			return served
		}
	}
}

// augment pushes flow from a source to spare capacity, rerouting another source's flow if
// needed, and returns the amount pushed.
func augment(from int, amount float64, visited []bool, excess, spare []float64, caps, flows [][]float64) float64 {
	if visited[from] || amount < 1e-9 {
		return 0
	}
	visited[from] = true
	for to := range spare {
		if v := min(amount, spare[to], caps[from][to]); v > 1e-9 {
			spare[to] -= v
			caps[from][to] -= v
			flows[from][to] += v
			excess[from] = max(0, excess[from]-v)
			return v
		}
	}
	for to := range spare {
		for other := range flows {
			v := min(amount, caps[from][to], flows[other][to])
			if other == from || v < 1e-9 {
				continue
			}
			if moved := augment(other, v, visited, make([]float64, len(excess)), spare, caps, flows); moved > 0 {
				flows[other][to] -= moved
				caps[other][to] += moved
				flows[from][to] += moved
				caps[from][to] -= moved
				excess[from] = max(0, excess[from]-moved)
				return moved
			}
		}
	}
	return 0
}

func total(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum
}

func slots(s *schema.Service, region string) uint32 {
	n := uint32(0)
	for _, b := range s.GetBackendServers() {
		if b.GetRegion() == region {
			if b.GetSlots() > 0 {
				n += b.GetSlots()
			} else {
				n += s.GetSlots()
			}
		}
	}
	return n
}

func capacity(s *schema.Service, region string) float64 {
	return float64(slots(s, region)) * 1000 / math.Max(1, float64(s.GetServiceTimeMs()))
}

// loadConfig reads and merges the configuration files of a deployment.
func loadConfig(dir string) (*schema.Config, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, err
	}
	sort.Strings(names)
	var files []*parser.File
	for _, name := range names {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		f, err := parser.ParseFile(name, content)
		if err != nil {
			return nil, err
		}
		if filepath.Base(name) == "base.yaml" {
			files = append([]*parser.File{f}, files...)
		} else {
			files = append(files, f)
		}
	}
	merged, err := merger.Merge(files[0], files[1:]...)
	if err != nil {
		return nil, err
	}
	return merged.Config(), nil
}
