package resolver

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/locator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/snapshotter"
)

const blocks = 20_000

// hosts returns hosts spread evenly over zones "<region>-a" and "<region>-b".
func hosts(perZone int, regions ...string) (out []snapshotter.Host) {
	for _, r := range regions {
		for _, z := range []string{"a", "b"} {
			for n := range perZone {
				name := fmt.Sprintf("%s-%s-%d", r, z, n)
				out = append(out, snapshotter.Host{Name: name, Region: r, AvailabilityZone: r + "-" + z, Address: name + ":1"})
			}
		}
	}
	return out
}

func weights(list ...any) (out []*schema.Weight) {
	for i := 0; i < len(list); i += 2 {
		out = append(out, &schema.Weight{Region: list[i].(string), PerMille: uint32(list[i+1].(int))})
	}
	return out
}

func input(list []snapshotter.Host) snapshotter.Input {
	cfg := &schema.Config{
		Services: []*schema.Service{{Name: "dispatch"}},
		Sites:    []*schema.Site{{Name: "odense", Region: "fyn", Blocks: []string{"10.0.0.0/8", "2001:db8::/32"}}, {Name: "moon", Blocks: []string{"11.0.0.0/8"}}},
	}
	table, _ := locator.NewTableFromSites(cfg.GetSites())
	return snapshotter.Input{Self: snapshotter.Host{Name: "self", Region: "gulf"}, Config: cfg, SiteBlocks: table, Hosts: list, Ready: true}
}

func index(in snapshotter.Input) *Index { return NewIndex(snapshotter.Build(in)) }

// addr returns an address in the n-th /24 of 10.0.0.0/8.
func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n), 9}) }

func resolve(t rapid.TB, x *Index, a netip.Addr) Answer {
	t.Helper()
	out, err := x.Resolve("dispatch", a)
	if err != nil {
		t.Fatalf("%s: %v", a, err)
	}
	return out
}

// TestHome guards against callers sent to a region that is not theirs.
func TestHome(t *testing.T) {
	x := index(input(hosts(2, "fyn", "gulf", "delta")))
	for a, want := range map[string]string{
		"10.1.2.3": "fyn", "::ffff:10.1.2.3": "fyn", "2001:db8::1": "fyn",
		"12.0.0.1": "gulf", "::1": "gulf", "11.0.0.1": "gulf",
	} {
		got := resolve(t, x, netip.MustParseAddr(a))
		if got.ServingRegion != want || got.BlockMatched != (want == "fyn") || got.TTL != DefaultTTL || len(got.Hosts()) != MaxHosts {
			t.Errorf("%s: %+v, want region %s", a, got, want)
		}
		if got.Hosts()[0].Region != want || got.Hosts()[1].AvailabilityZone != got.Hosts()[0].AvailabilityZone {
			t.Errorf("%s: the own availability zone does not come first", a)
		}
	}
	if _, err := x.Resolve("nothing", addr(1)); !errors.Is(err, ErrUnknownService) {
		t.Errorf("unknown service: %v", err)
	}
	if _, err := index(input(nil)).Resolve("dispatch", addr(1)); !errors.Is(err, ErrNoHost) {
		t.Errorf("no host: %v", err)
	}
}

// TestOutOfService guards against answers that name hosts that leave or are drained.
func TestOutOfService(t *testing.T) {
	list := hosts(4, "fyn", "gulf", "delta")
	for name, c := range map[string]struct {
		drains *schema.Drains
		gone   func(h *Host) bool
	}{
		"host":   {&schema.Drains{Hosts: []string{"fyn-a-1"}}, func(h *Host) bool { return h.Name == "fyn-a-1" }},
		"lost":   {&schema.Drains{LostHosts: []string{"fyn-a-1"}}, func(h *Host) bool { return h.Name == "fyn-a-1" }},
		"zone":   {&schema.Drains{AvailabilityZones: []string{"fyn-b"}}, func(h *Host) bool { return h.AvailabilityZone == "fyn-b" }},
		"region": {&schema.Drains{Regions: []string{"fyn"}}, func(h *Host) bool { return h.Region == "fyn" }},
		"leaves": {&schema.Drains{}, func(h *Host) bool { return h.Name == "fyn-a-0" }},
	} {
		t.Run(name, func(t *testing.T) {
			in := input(slices.Clone(list))
			in.Drains = c.drains
			in.Hosts[0].Leaving = name == "leaves"
			x := index(in)
			for n := range 500 {
				a := resolve(t, x, addr(n))
				if slices.ContainsFunc(a.Hosts(), c.gone) {
					t.Fatalf("block %d is sent to a host out of service", n)
				}
			}
		})
	}
}

// TestAnswerSpread guards against an answer whose hosts are all lost with one zone or region.
func TestAnswerSpread(t *testing.T) {
	x := index(input(hosts(20, "fyn", "gulf", "delta", "piedmont")))
	for n := range 200 {
		a := resolve(t, x, addr(n))
		zones, regions := make(map[string]bool), make(map[string]bool)
		for _, h := range a.Hosts() {
			zones[h.AvailabilityZone], regions[h.Region] = true, true
		}
		if !zones["fyn-a"] || !zones["fyn-b"] || len(regions) != 4 {
			t.Fatalf("block %d: zones %v, regions %v", n, zones, regions)
		}
	}
}

// TestOneHostChanges guards against a change of one host that moves blocks of others.
func TestOneHostChanges(t *testing.T) {
	list := hosts(65, "fyn", "gulf")
	before, after := index(input(list)), index(input(list[1:]))
	moved, counts := 0, make(map[string]int)
	for n := range blocks {
		was, now := resolve(t, before, addr(n)).hosts[0].Name, resolve(t, after, addr(n)).hosts[0].Name
		counts[was]++
		if was != now {
			moved++
		}
		if (was == list[0].Name) != (was != now) {
			t.Fatalf("block %d moved from %s to %s when %s left", n, was, now, list[0].Name)
		}
	}
	most := 0
	for _, c := range counts {
		most = max(most, c)
	}
	ideal := float64(blocks) / 130
	t.Logf("moved %d of %d blocks, ideal share %.0f; fullest host has %.2f of its share", moved, blocks, ideal, float64(most)/ideal)
	// Four standard deviations of a binomial draw.
	if math.Abs(float64(moved)-ideal) > 4*math.Sqrt(ideal) {
		t.Errorf("moved %d blocks, ideal %.0f", moved, ideal)
	}
}

// TestWeights guards against regions that get another share than the plan
// gives, and against a step of the plan that moves blocks between other regions.
func TestWeights(t *testing.T) {
	plan := func(list ...any) *Index {
		in := input(hosts(3, "fyn", "gulf", "delta"))
		in.Plan = &schema.Plan{Routes: []*schema.Route{{Service: "dispatch", Region: "fyn", Weights: weights(list...)}}}
		return index(in)
	}
	before, after := plan("fyn", 700, "gulf", 200, "delta", 100), plan("fyn", 600, "gulf", 200, "delta", 200)
	counts, step := make(map[string]int), 0
	for n := range blocks {
		was, now := resolve(t, before, addr(n)).ServingRegion, resolve(t, after, addr(n)).ServingRegion
		counts[was]++
		if was != now {
			step++
			if now != "delta" && was != "fyn" {
				t.Fatalf("block %d moved from %s to %s", n, was, now)
			}
		}
	}
	for region, want := range map[string]float64{"fyn": 0.7, "gulf": 0.2, "delta": 0.1} {
		if d := math.Abs(float64(counts[region])/blocks - want); d > 4*math.Sqrt(want*(1-want)/blocks) {
			t.Errorf("%s has %d of %d blocks, want %.0f %%", region, counts[region], blocks, 100*want)
		}
	}
	t.Logf("a step of 100 per mille moved %.1f %% of the blocks", 100*float64(step)/blocks)
}

// TestFailover guards against a lost region whose blocks go where the plan does not send them.
func TestFailover(t *testing.T) {
	in := input(hosts(3, "gulf", "delta"))
	route := &schema.Route{Service: "dispatch", Region: "fyn", Weights: weights("fyn", 1000, "delta", 0)}
	in.Plan = &schema.Plan{Routes: []*schema.Route{route}}
	seen := make(map[string]bool)
	for n := range 100 {
		seen[resolve(t, index(in), addr(n)).ServingRegion] = true
	}
	if !seen["gulf"] || !seen["delta"] {
		t.Errorf("without failover weights the callers go to %v only", seen)
	}
	route.Failovers = []*schema.Failover{{FailedRegion: "fyn", Weights: weights("delta", 1000)}}
	for n := range 100 {
		if got := resolve(t, index(in), addr(n)).ServingRegion; got != "delta" {
			t.Fatalf("block %d goes to %s", n, got)
		}
	}
}

// TestLoad guards against a loaded host that gets as much as idle ones, and an
// idle host that gets everything.
func TestLoad(t *testing.T) {
	list := hosts(2, "fyn")
	for i := range list[1:] {
		list[i+1].Pools = []*schema.PoolLoad{{Slots: 10, InUse: 10, Queued: 50}}
	}
	x := index(input(list))
	idle := 0
	for n := range blocks {
		if resolve(t, x, addr(n)).hosts[0].Name == list[0].Name {
			idle++
		}
	}
	// One host of weight 1 beside three of weight 0.5 gets two fifths.
	if d := math.Abs(float64(idle)/blocks - 0.4); d > 4*math.Sqrt(0.4*0.6/blocks) {
		t.Errorf("the idle host gets %d of %d", idle, blocks)
	}
}

// TestPromises guards against an account that forgets an answer within its age,
// and against one that never forgets.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := clock.Millis(rapid.IntRange(1, 10_000).Draw(t, "age"))
		limit := rapid.Uint64Range(0, 20).Draw(t, "limit")
		p := NewAnswerCounter(age)
		path := AnswerKey{"dispatch", "fyn", "gulf"}
		var given []clock.Millis
		now := clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, int(age)).Draw(t, "wait"))
			if p.TryAdd(path, limit, now) {
				given = append(given, now)
			}
			valid, recent := uint64(0), uint64(0)
			for _, at := range given {
				if now-at <= age {
					valid++
				}
				if now-at <= age+2*(age/promiseSlices+promiseSlices) {
					recent++
				}
			}
			if valid > limit {
				t.Fatalf("%d answers are valid at %d, limit %d", valid, now, limit)
			}
			if got := p.Outstanding(path, now); got < valid || got > recent {
				t.Fatalf("%d outstanding at %d, %d valid, %d recent", got, now, valid, recent)
			}
		}
	})
}

// TestShiftLimit guards against a shift above its cap.
func TestShiftLimit(t *testing.T) {
	if got := ShiftLimit(50, 200, 1000); got != 250 {
		t.Errorf("got %d, want a quarter of 1000", got)
	}
	if got := ShiftLimit(50, 40, 10); got != math.MaxUint64 {
		t.Errorf("got %d, want no limit when the demand is under the cap", got)
	}
	if got := ShiftLimit(0, 40, 10); got != 0 {
		t.Errorf("got %d, want none under a cap of zero", got)
	}
}

// benchInput returns a fleet of the design scale: 900 hosts in 7 regions.
func benchInput() snapshotter.Input {
	in := input(hosts(64, "fyn", "gulf", "delta", "piedmont", "jylland", "sjaelland", "alps"))
	in.Plan = &schema.Plan{Routes: []*schema.Route{{Service: "dispatch", Region: "fyn", Weights: weights("fyn", 700, "gulf", 200, "delta", 100)}}}
	return in
}

func BenchmarkResolve(b *testing.B) {
	x := index(benchInput())
	b.ReportAllocs()
	for n := range b.N {
		resolve(b, x, addr(n))
	}
}

func BenchmarkNewIndex(b *testing.B) {
	snap := snapshotter.Build(benchInput())
	b.ReportAllocs()
	for range b.N {
		NewIndex(snap)
	}
}
