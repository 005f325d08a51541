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

const blockCount = 20_000

// makeHosts returns hosts spread evenly over the zones "<region>-a" and "<region>-b".
func makeHosts(perZone int, regions ...string) (out []snapshotter.Host) {
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

// makeWeights converts pairs of a region and its weight in per mille.
func makeWeights(list ...any) (out []*schema.Weight) {
	for i := 0; i < len(list); i += 2 {
		out = append(out, &schema.Weight{Region: list[i].(string), PerMille: uint32(list[i+1].(int))})
	}
	return out
}

func makeInput(list []snapshotter.Host) snapshotter.Input {
	cfg := &schema.Config{
		Services: []*schema.Service{{Name: "dispatch"}},
		Sites:    []*schema.Site{{Name: "odense", Region: "fyn", Blocks: []string{"10.0.0.0/8", "2001:db8::/32"}}, {Name: "moon", Blocks: []string{"11.0.0.0/8"}}},
	}
	table, _ := locator.NewTableFromSites(cfg.GetSites())
	return snapshotter.Input{Self: snapshotter.Host{Name: "self", Region: "gulf"}, Config: cfg, SiteBlocks: table, Hosts: list, Ready: true}
}

func makeIndex(in snapshotter.Input) *Index { return NewIndex(snapshotter.Build(in)) }

// blockAddr returns an address in the n-th /24 of 10.0.0.0/8.
func blockAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n), 9}) }

func mustResolve(t rapid.TB, x *Index, a netip.Addr) Answer {
	t.Helper()
	out, err := x.Resolve("dispatch", a)
	if err != nil {
		t.Fatalf("%s: %v", a, err)
	}
	return out
}

// TestHomeRegion checks that callers are sent to their home region, or to the
// region of the answering host if no block with a region contains their address.
func TestHomeRegion(t *testing.T) {
	x := makeIndex(makeInput(makeHosts(2, "fyn", "gulf", "delta")))
	for a, want := range map[string]string{
		"10.1.2.3": "fyn", "::ffff:10.1.2.3": "fyn", "2001:db8::1": "fyn",
		"12.0.0.1": "gulf", "::1": "gulf", "11.0.0.1": "gulf",
	} {
		got := mustResolve(t, x, netip.MustParseAddr(a))
		if got.ServingRegion != want || got.BlockMatched != (want == "fyn") || got.TTL != DefaultTTL || len(got.Hosts()) != MaxHosts {
			t.Errorf("%s: %+v, want region %s", a, got, want)
		}
		if got.Hosts()[0].Region != want || got.Hosts()[1].AvailabilityZone != got.Hosts()[0].AvailabilityZone {
			t.Errorf("%s: the hosts of the first availability zone do not come first", a)
		}
	}
	if _, err := x.Resolve("nothing", blockAddr(1)); !errors.Is(err, ErrUnknownService) {
		t.Errorf("unknown service: %v", err)
	}
	if _, err := makeIndex(makeInput(nil)).Resolve("dispatch", blockAddr(1)); !errors.Is(err, ErrNoHost) {
		t.Errorf("no host: %v", err)
	}
}

// TestUnavailableHostsExcluded checks that answers contain no hosts that are leaving or drained.
func TestUnavailableHostsExcluded(t *testing.T) {
	list := makeHosts(4, "fyn", "gulf", "delta")
	for name, c := range map[string]struct {
		drains     *schema.Drains
		isExcluded func(h *Host) bool
	}{
		"host":   {&schema.Drains{Hosts: []string{"fyn-a-1"}}, func(h *Host) bool { return h.Name == "fyn-a-1" }},
		"lost":   {&schema.Drains{LostHosts: []string{"fyn-a-1"}}, func(h *Host) bool { return h.Name == "fyn-a-1" }},
		"zone":   {&schema.Drains{AvailabilityZones: []string{"fyn-b"}}, func(h *Host) bool { return h.AvailabilityZone == "fyn-b" }},
		"region": {&schema.Drains{Regions: []string{"fyn"}}, func(h *Host) bool { return h.Region == "fyn" }},
		"leaves": {&schema.Drains{}, func(h *Host) bool { return h.Name == "fyn-a-0" }},
	} {
		t.Run(name, func(t *testing.T) {
			in := makeInput(slices.Clone(list))
			in.Drains = c.drains
			in.Hosts[0].Leaving = name == "leaves"
			x := makeIndex(in)
			for n := range 500 {
				a := mustResolve(t, x, blockAddr(n))
				if slices.ContainsFunc(a.Hosts(), c.isExcluded) {
					t.Fatalf("block %d is sent to a host out of service", n)
				}
			}
		})
	}
}

// TestAnswerSpread checks that answers contain hosts of several zones and regions,
// so that the failure of one does not make all of them unreachable.
func TestAnswerSpread(t *testing.T) {
	x := makeIndex(makeInput(makeHosts(20, "fyn", "gulf", "delta", "piedmont")))
	for n := range 200 {
		a := mustResolve(t, x, blockAddr(n))
		zones, regions := make(map[string]bool), make(map[string]bool)
		for _, h := range a.Hosts() {
			zones[h.AvailabilityZone], regions[h.Region] = true, true
		}
		if !zones["fyn-a"] || !zones["fyn-b"] || len(regions) != 4 {
			t.Fatalf("block %d: zones %v, regions %v", n, zones, regions)
		}
	}
}

// TestHostRemovalMovesOnlyItsBlocks checks that the removal of a host does not
// move blocks of other hosts.
func TestHostRemovalMovesOnlyItsBlocks(t *testing.T) {
	list := makeHosts(65, "fyn", "gulf")
	before, after := makeIndex(makeInput(list)), makeIndex(makeInput(list[1:]))
	moved, counts := 0, make(map[string]int)
	for n := range blockCount {
		oldHost, newHost := mustResolve(t, before, blockAddr(n)).hosts[0].Name, mustResolve(t, after, blockAddr(n)).hosts[0].Name
		counts[oldHost]++
		if oldHost != newHost {
			moved++
		}
		if (oldHost == list[0].Name) != (oldHost != newHost) {
			t.Fatalf("block %d moved from %s to %s when %s left", n, oldHost, newHost, list[0].Name)
		}
	}
	maxCount := 0
	for _, c := range counts {
		maxCount = max(maxCount, c)
	}
	ideal := float64(blockCount) / 130
	t.Logf("moved %d of %d blocks, ideal share %.0f; the most loaded host has %.2f of its share", moved, blockCount, ideal, float64(maxCount)/ideal)
	// Four standard deviations of a binomial draw.
	if math.Abs(float64(moved)-ideal) > 4*math.Sqrt(ideal) {
		t.Errorf("moved %d blocks, ideal %.0f", moved, ideal)
	}
}

// TestPlanWeights checks that regions serve the shares that the plan assigns, and
// that a change of two weights moves no blocks between other regions.
func TestPlanWeights(t *testing.T) {
	makeIndexWithPlan := func(list ...any) *Index {
		in := makeInput(makeHosts(3, "fyn", "gulf", "delta"))
		in.Plan = &schema.Plan{Routes: []*schema.Route{{Service: "dispatch", Region: "fyn", Weights: makeWeights(list...)}}}
		return makeIndex(in)
	}
	before, after := makeIndexWithPlan("fyn", 700, "gulf", 200, "delta", 100), makeIndexWithPlan("fyn", 600, "gulf", 200, "delta", 200)
	counts, moved := make(map[string]int), 0
	for n := range blockCount {
		oldRegion, newRegion := mustResolve(t, before, blockAddr(n)).ServingRegion, mustResolve(t, after, blockAddr(n)).ServingRegion
		counts[oldRegion]++
		if oldRegion != newRegion {
			moved++
			if newRegion != "delta" && oldRegion != "fyn" {
				t.Fatalf("block %d moved from %s to %s", n, oldRegion, newRegion)
			}
		}
	}
	for region, want := range map[string]float64{"fyn": 0.7, "gulf": 0.2, "delta": 0.1} {
		if d := math.Abs(float64(counts[region])/blockCount - want); d > 4*math.Sqrt(want*(1-want)/blockCount) {
			t.Errorf("%s has %d of %d blocks, want %.0f %%", region, counts[region], blockCount, 100*want)
		}
	}
	t.Logf("a step of 100 per mille moved %.1f %% of the blocks", 100*float64(moved)/blockCount)
}

// TestFailover checks that the blocks of a region without hosts go to the regions
// that the plan lists for its failover.
func TestFailover(t *testing.T) {
	in := makeInput(makeHosts(3, "gulf", "delta"))
	route := &schema.Route{Service: "dispatch", Region: "fyn", Weights: makeWeights("fyn", 1000, "delta", 0)}
	in.Plan = &schema.Plan{Routes: []*schema.Route{route}}
	regions := make(map[string]bool)
	for n := range 100 {
		regions[mustResolve(t, makeIndex(in), blockAddr(n)).ServingRegion] = true
	}
	if !regions["gulf"] || !regions["delta"] {
		t.Errorf("without failover weights the callers go to %v only", regions)
	}
	route.Failovers = []*schema.Failover{{FailedRegion: "fyn", Weights: makeWeights("delta", 1000)}}
	for n := range 100 {
		if got := mustResolve(t, makeIndex(in), blockAddr(n)).ServingRegion; got != "delta" {
			t.Fatalf("block %d goes to %s", n, got)
		}
	}
}

// TestLoadWeights checks that a loaded host gets fewer blocks than an idle one,
// and that the idle host does not get all of them.
func TestLoadWeights(t *testing.T) {
	list := makeHosts(2, "fyn")
	for i := range list[1:] {
		list[i+1].Pools = []*schema.PoolLoad{{Slots: 10, InUse: 10, Queued: 50}}
	}
	x := makeIndex(makeInput(list))
	idleHostBlocks := 0
	for n := range blockCount {
		if mustResolve(t, x, blockAddr(n)).hosts[0].Name == list[0].Name {
			idleHostBlocks++
		}
	}
	// One host of weight 1 beside three of weight 0.5 gets two fifths.
	if d := math.Abs(float64(idleHostBlocks)/blockCount - 0.4); d > 4*math.Sqrt(0.4*0.6/blockCount) {
		t.Errorf("the idle host gets %d of %d", idleHostBlocks, blockCount)
	}
}

// TestAnswerCounter checks that answers are counted until their TTL has passed and
// dropped soon after, and that TryAdd keeps the limit.
func TestAnswerCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ttl := clock.Millis(rapid.IntRange(1, 10_000).Draw(t, "ttl"))
		limit := rapid.Uint64Range(0, 20).Draw(t, "limit")
		c := NewAnswerCounter(ttl)
		key := AnswerKey{"dispatch", "fyn", "gulf"}
		var answeredAt []clock.Millis
		now := clock.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, int(ttl)).Draw(t, "wait"))
			if c.TryAdd(key, limit, now) {
				answeredAt = append(answeredAt, now)
			}
			valid, recent := uint64(0), uint64(0)
			for _, at := range answeredAt {
				if now-at <= ttl {
					valid++
				}
				if now-at <= ttl+2*(ttl/ttlSlices+ttlSlices) {
					recent++
				}
			}
			if valid > limit {
				t.Fatalf("%d answers are valid at %d, limit %d", valid, now, limit)
			}
			if got := c.Outstanding(key, now); got < valid || got > recent {
				t.Fatalf("%d outstanding at %d, %d valid, %d recent", got, now, valid, recent)
			}
		}
	})
}

// TestShiftLimit checks that the limit keeps shifted requests within the cap.
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

// makeBenchInput returns a fleet of the design size: about 900 hosts in 7 regions.
func makeBenchInput() snapshotter.Input {
	in := makeInput(makeHosts(64, "fyn", "gulf", "delta", "piedmont", "jylland", "sjaelland", "alps"))
	in.Plan = &schema.Plan{Routes: []*schema.Route{{Service: "dispatch", Region: "fyn", Weights: makeWeights("fyn", 700, "gulf", 200, "delta", 100)}}}
	return in
}

func BenchmarkResolve(b *testing.B) {
	x := makeIndex(makeBenchInput())
	b.ReportAllocs()
	for n := range b.N {
		mustResolve(b, x, blockAddr(n))
	}
}

func BenchmarkNewIndex(b *testing.B) {
	snap := snapshotter.Build(makeBenchInput())
	b.ReportAllocs()
	for range b.N {
		NewIndex(snap)
	}
}
