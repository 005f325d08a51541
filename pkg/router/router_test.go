package router

import (
	"slices"
	"testing"

	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

func makeWeights(pairs ...any) (out []*schema.Weight) {
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, &schema.Weight{Region: pairs[i].(string), PerMille: uint32(pairs[i+1].(int))})
	}
	return out
}

func makeInput() snapshotter.Input {
	cfg := &schema.Config{Services: []*schema.Service{{Name: "s", Slots: 1}}}
	in := snapshotter.Input{Config: cfg, Drains: &schema.Drains{}, Plan: &schema.Plan{}, RegionHealth: map[string]int{}}
	for _, r := range []string{"north", "south", "east"} {
		cfg.Regions = append(cfg.Regions, &schema.Region{Name: r})
		cfg.Services[0].BackendServers = append(cfg.Services[0].BackendServers, &schema.BackendServer{Name: r, Region: r})
		in.RegionHealth[r] = 1000
		if r != "north" {
			cfg.Links = append(cfg.Links, &schema.Link{From: "north", To: r, CapacityMbitS: 4000, ShiftCapPerS: 10})
		}
	}
	return in
}

// TestDecide guards against requests that deviate from the plan, or that go to a
// region that is drained, failed or without a link.
func TestDecide(t *testing.T) {
	planned := &schema.Plan{Routes: []*schema.Route{{
		Service: "s", Region: "north", Weights: makeWeights("north", 700, "south", 300),
		Failovers: []*schema.Failover{
			{FailedRegion: "north", Weights: makeWeights("south", 400, "east", 600)},
			{FailedRegion: "south", Weights: makeWeights("north", 900, "east", 100)},
		},
	}}}
	tests := []struct {
		name   string
		change func(*snapshotter.Input)
		want   map[string]int
	}{
		{"no_plan", func(*snapshotter.Input) {}, map[string]int{"north": 1000}},
		{"plan", func(in *snapshotter.Input) { in.Plan = planned }, map[string]int{"north": 700, "south": 300}},
		{"failed", func(in *snapshotter.Input) { in.Plan, in.RegionHealth["south"] = planned, 0 }, map[string]int{"north": 900, "east": 100}},
		{"drained", func(in *snapshotter.Input) { in.Plan, in.Drains.Regions = planned, []string{"north"} }, map[string]int{"south": 400, "east": 600}},
		{"returning", func(in *snapshotter.Input) { in.Plan, in.RegionHealth["south"] = planned, 500 }, map[string]int{"north": 800, "south": 150, "east": 50}},
		{"no_plan_drained", func(in *snapshotter.Input) { in.Drains.Regions = []string{"north"} }, map[string]int{"south": 1000}},
		{"no_link", func(in *snapshotter.Input) { in.Drains.Regions, in.Config.Links = []string{"north"}, nil }, map[string]int{"north": 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := makeInput()
			tt.change(&in)
			snap := snapshotter.Build(in)
			got := make(map[string]int)
			for n := range uint64(Points) {
				d := Decide(snap, Query{Service: "s", EntryRegion: "north", Point: Point(n)})
				got[d.Regions[0]]++
				if len(slices.Compact(slices.Sorted(slices.Values(d.Regions)))) != len(d.Regions) {
					t.Fatalf("duplicate region in %v", d.Regions)
				}
			}
			for _, r := range []string{"north", "south", "east"} {
				// The spreads over weights and over a ramp are not fully independent: up to 5 of
				// 1000 requests may deviate from the product of both.
				if diff := got[r] - tt.want[r]; diff > 5 || diff < -5 {
					t.Errorf("first regions %v, want %v", got, tt.want)
				}
			}
		})
	}
}

// TestPointsAreEven guards against short runs of requests that all go to one region.
func TestPointsAreEven(t *testing.T) {
	seen := make(map[int]bool)
	for n := range uint64(Points) {
		seen[Point(n)] = true
	}
	if len(seen) != Points {
		t.Errorf("%d different points among %d consecutive requests", len(seen), Points)
	}
	for start := range uint64(Points) {
		low := 0
		for n := range uint64(10) {
			if Point(start+n) < 500 {
				low++
			}
		}
		if low < 3 || low > 7 {
			t.Fatalf("%d of 10 requests from number %d go to a region with half the weight, want 3 to 7", low, start)
		}
	}
}
