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
	regions         []string
	demand, limit   []float64
	caps, passed    [][]float64
	shiftedInto, in []float64
}

// serve routes one second of a service as entry hosts do: by the plan's
// weights, by failover weights when a region cannot be used, then over the
// other links while their buckets have tokens, and at home at last.
func (r *run) serve(s *schema.Service, demand map[[2]string]float64, drains *schema.Drains, live map[string]bool, second int) {
	f := r.newFlow(s, demand, drains, live)
	n := len(f.regions)
	left := make([]float64, n)
	for from, name := range f.regions {
		row, sum := f.weights(planner.FindRoute(r.plan, s.GetName(), name), from), 0.0
		for to, w := range row {
			sum += f.send(from, to, f.demand[from]*w)
		}
		// Rounding of the sum is not traffic.
		if rest := f.demand[from] - sum; rest > 1e-6 {
			left[from] = rest
		}
	}
	for from := range f.regions {
		for to := range f.regions {
			if to != from && f.limit[to] > 0 {
				left[from] -= f.send(from, to, left[from])
			}
		}
		if f.limit[from] > 0 {
			left[from] -= f.send(from, from, left[from])
		}
	}
	r.offered += total(f.demand)
	r.best += f.best()
	for to := range f.regions {
		r.served += min(f.in[to], f.limit[to])
		if f.limit[to] > 0 {
			r.headroom = min(r.headroom, max(0, 1-f.in[to]/f.limit[to]))
		}
		if f.shiftedInto[to] > 0 && f.in[to] > f.limit[to]*(1+1e-9) {
			r.overloads++
		}
		for from := range f.regions {
			if from != to && f.passed[from][to] > f.caps[from][to]*(1+1e-9) {
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
		limit := capacity(s, name)
		if !live[name] || slices.Contains(drains.GetRegions(), name) {
			limit = 0
		}
		f.limit = append(f.limit, limit)
	}
	n := len(f.regions)
	f.shiftedInto, f.in = make([]float64, n), make([]float64, n)
	for range f.regions {
		f.caps, f.passed = append(f.caps, make([]float64, n)), append(f.passed, make([]float64, n))
	}
	for _, l := range r.cfg.GetLinks() {
		f.caps[slices.Index(f.regions, l.GetFrom())][slices.Index(f.regions, l.GetTo())] = l.GetShiftCapPerS()
	}
	return f
}

// weights returns a route's parts, with failover for a region that is out.
func (f *flow) weights(route *schema.Route, from int) []float64 {
	row := make([]float64, len(f.regions))
	list := route.GetWeights()
	for _, w := range list {
		if f.limit[slices.Index(f.regions, w.GetRegion())] == 0 {
			list = planner.FailoverWeights(route, w.GetRegion())
			break
		}
	}
	for _, w := range list {
		row[slices.Index(f.regions, w.GetRegion())] = float64(w.GetPerMille()) / 1000
	}
	if len(list) == 0 {
		row[from] = 1
	}
	return row
}

// send passes what the bucket lets through.
func (f *flow) send(from, to int, rate float64) float64 {
	if f.limit[to] == 0 {
		return 0
	}
	if from != to {
		rate = min(rate, f.caps[from][to]-f.passed[from][to])
		f.passed[from][to] += rate
		f.shiftedInto[to] += rate
	}
	f.in[to] += rate
	return rate
}

// best returns the largest rate that can be served under the caps: home first,
// then the largest flow from what is left to what is spare.
func (f *flow) best() float64 {
	n := len(f.regions)
	served := 0.0
	excess, spare, caps := make([]float64, n), make([]float64, n), make([][]float64, n)
	for i := range f.regions {
		home := min(f.demand[i], f.limit[i])
		served += home
		excess[i], spare[i], caps[i] = f.demand[i]-home, f.limit[i]-home, slices.Clone(f.caps[i])
	}
	used := make([][]float64, n)
	for i := range used {
		used[i] = make([]float64, n)
	}
	for {
		pushed := 0.0
		for from := range excess {
			pushed += augment(from, excess[from], make([]bool, n), excess, spare, caps, used)
		}
		served += pushed
		if pushed < 1e-9 {
			return served
		}
	}
}

// augment pushes flow from a source to spare capacity, and may move another
// source's flow out of the way.
func augment(from int, amount float64, seen []bool, excess, spare []float64, caps, used [][]float64) float64 {
	if seen[from] || amount < 1e-9 {
		return 0
	}
	seen[from] = true
	for to := range spare {
		if v := min(amount, spare[to], caps[from][to]); v > 1e-9 {
			spare[to] -= v
			caps[from][to] -= v
			used[from][to] += v
			excess[from] = max(0, excess[from]-v)
			return v
		}
	}
	for to := range spare {
		for other := range used {
			v := min(amount, caps[from][to], used[other][to])
			if other == from || v < 1e-9 {
				continue
			}
			if got := augment(other, v, seen, make([]float64, len(excess)), spare, caps, used); got > 0 {
				used[other][to] -= got
				caps[other][to] += got
				used[from][to] += got
				caps[from][to] -= got
				excess[from] = max(0, excess[from]-got)
				return got
			}
		}
	}
	return 0
}

func total(list []float64) (sum float64) {
	for _, v := range list {
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

// load merges the configuration of a deployment.
func load(dir string) (*schema.Config, error) {
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
