package rationer

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

// fleet is several rationers that hear of each other.
type fleet struct {
	hosts []*Rationer
	now   clock.Millis
	// isolated are the hosts that no report reaches or leaves.
	isolated   map[int]bool
	admittedAt []clock.Millis
}

func newFleet(n int, limit Limit) *fleet {
	f := &fleet{now: 100000, isolated: make(map[int]bool)}
	for i := range n {
		r := New(Config{ReservationTTL: 6500, RateSlack: 8})
		for j := range n {
			if j != i {
				r.AddHost(hostName(j), f.now)
			}
		}
		r.SetLimits(map[string]Limit{"w": limit}, f.now)
		f.hosts = append(f.hosts, r)
	}
	return f
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

// exchange gives every host the reports of the others that reach it.
func (f *fleet) exchange() {
	for i, r := range f.hosts {
		report := Report{Incarnation: 1, Usage: r.UsageSince(0, f.now)}
		for j, other := range f.hosts {
			if i != j && f.isolated[i] == f.isolated[j] {
				other.ApplyReport(hostName(i), report, f.now)
			}
		}
	}
	for _, r := range f.hosts {
		r.ExpireHosts(f.now)
	}
}

// offer gives a host requests and returns how many it admitted.
func (f *fleet) offer(host, n int) int {
	admitted := 0
	for range n {
		if ok, _ := f.hosts[host].Admit("w", f.now); ok {
			f.admittedAt = append(f.admittedAt, f.now)
			admitted++
		}
	}
	return admitted
}

// maxExcess is the largest number of requests over rate and burst in any
// window of a length.
func (f *fleet) maxExcess(limit Limit, window clock.Millis) float64 {
	excess, first := 0.0, 0
	for i, at := range f.admittedAt {
		for f.admittedAt[first] <= at-window {
			first++
		}
		excess = max(excess, float64(i-first+1)-limit.Rate*float64(window)/1000-limit.Burst)
	}
	return excess
}

// Reports that leave out what has not changed lead to the same knowledge as whole
// ones, whichever of them are lost.
func TestPartialReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workspaces := []string{"a", "b", "c"}
		limits := map[string]Limit{"a": {100, 100}, "b": {10, 20}, "c": {1000, 1000}}
		sender, full, partial := New(Config{}), New(Config{}), New(Config{})
		for _, r := range []*Rationer{sender, full, partial} {
			r.SetLimits(limits, 0)
		}
		now, acked := clock.Millis(1000), clock.Millis(0)
		for range 40 {
			now += clock.Millis(rapid.IntRange(1, 900).Draw(rt, "pause"))
			for range rapid.IntRange(0, 5).Draw(rt, "requests") {
				sender.Admit(rapid.SampledFrom(workspaces).Draw(rt, "workspace"), now)
			}
			if rapid.IntRange(0, 3).Draw(rt, "lost") == 0 {
				continue
			}
			full.ApplyReport("s", Report{Incarnation: 1, Usage: sender.UsageSince(0, now)}, now)
			partial.ApplyReport("s", Report{Incarnation: 1, Usage: sender.UsageSince(acked, now)}, now)
			acked = now
			for _, w := range workspaces {
				a, b := full.hosts["s"].usage[w], partial.hosts["s"].usage[w]
				if a.Admitted != b.Admitted || math.Abs(a.Demand-b.Demand) > minReportedDemand {
					rt.Fatalf("%s: %+v by whole reports, %+v by partial ones", w, a, b)
				}
				if a, b := full.buckets[w].fleetLevel, partial.buckets[w].fleetLevel; math.Abs(a-b) > 1e-6*limits[w].Burst {
					rt.Fatalf("%s: level %v by whole reports, %v by partial ones", w, a, b)
				}
			}
		}
	})
}

// The users' bound: rate and burst over all hosts, with a tenth and 20 requests
// over in any 5 s, however demand moves and hosts are cut off.
func TestFleetKeepsRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(5, 200).Draw(rt, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.5, 2).Draw(rt, "burst")
		n := rapid.IntRange(1, 12).Draw(rt, "hosts")
		f := newFleet(n, limit)
		// A cut lasts no longer than SilentLife: a host that is cut off stops
		// admitting before that, because it can't know the newest configuration.
		isolatedSteps := 0
		for range 300 {
			f.now += 100
			f.exchange()
			switch {
			case isolatedSteps > 0:
				if isolatedSteps--; isolatedSteps == 0 {
					f.isolated = make(map[int]bool)
				}
			case rapid.IntRange(0, 100).Draw(rt, "event") == 0:
				f.isolated[rapid.IntRange(0, n-1).Draw(rt, "cut host")] = true
				isolatedSteps = rapid.IntRange(1, 60).Draw(rt, "cut for")
			}
			host := rapid.IntRange(0, n-1).Draw(rt, "busy host")
			f.offer(host, rapid.IntRange(0, int(limit.Rate/2)+1).Draw(rt, "requests"))
		}
		bound := 0.1*(5*limit.Rate+limit.Burst) + 20
		if got := f.maxExcess(limit, 5000); got > bound {
			rt.Errorf("%.0f requests over rate and burst in 5 s, want at most %.0f", got, bound)
		}
	})
}

// A workspace that asks for less than its rate, evenly at all hosts, is not refused.
func TestNoRefusalBelowRate(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	f := newFleet(8, limit)
	refused, requested := 0, 0
	for step := range 600 {
		f.now += 50
		if step%2 == 0 {
			f.exchange()
		}
		if step < 40 {
			f.offer(step%8, 1) // demand becomes known
			continue
		}
		if step%2 == 0 { // 10 a second, half of the rate
			requested++
			refused += 1 - f.offer((step*7/2)%8, 1)
		}
	}
	if float64(refused) > 0.001*float64(requested) {
		t.Errorf("%d of %d requests below the rate were refused, want at most 0.1 %%", refused, requested)
	}
}

// Callers that all move to one host keep most of their rate within seconds.
func TestSharesFollowDemand(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	f := newFleet(8, limit)
	admitted := 0
	for step := range 200 {
		f.now += 50
		f.exchange()
		n := f.offer(0, 4) // 80 a second
		if step >= 160 {
			admitted += n
		}
	}
	if admitted < 152 { // 95 % of 2 s
		t.Errorf("%d of 160 requests admitted at one host with 80 %% of the rate", admitted)
	}
}

// The hosts together repeat no more than the budget allows.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := RetryConfig{Ratio: 0.2, Window: 10000, Slack: 56}
		hosts := rapid.IntRange(1, 12).Draw(rt, "hosts")
		var budgets []*RetryBudget
		for range hosts {
			budgets = append(budgets, NewRetryBudget(cfg))
		}
		type event struct {
			at      clock.Millis
			isRetry bool
		}
		var events []event
		now := clock.Millis(5000)
		for range 400 {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(rt, "pause"))
			b := budgets[rapid.IntRange(0, hosts-1).Draw(rt, "host")]
			for range rapid.IntRange(0, 5).Draw(rt, "requests") {
				b.CountRequest("s", now)
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 10).Draw(rt, "repeats") {
				if b.Allow("s", hosts, now) {
					events = append(events, event{now, true})
				}
			}
		}
		first := 0
		requests, retries := 0.0, 0.0
		for _, e := range events {
			if e.isRetry {
				retries++
			} else {
				requests++
			}
			for events[first].at <= e.at-cfg.Window {
				if events[first].isRetry {
					retries--
				} else {
					requests--
				}
				first++
			}
			if retries > cfg.Ratio*requests+cfg.Slack {
				rt.Fatalf("%.0f repeats of %.0f requests in 10 s", retries, requests)
			}
		}
	})
}

// offerToRandomHosts sends 10 requests a second to random hosts of a fleet of 60, which
// exchange reports every 500 ms, and returns how many were asked for and refused
// after the first 10 s. before is called ahead of each exchange.
func offerToRandomHosts(f *fleet, beforeExchange func(step int)) (requested, refused int) {
	random := uint64(7)
	for step := range 2400 {
		f.now += 25
		if step%20 == 0 {
			beforeExchange(step)
			f.exchange()
		}
		if step%4 != 0 {
			continue
		}
		random = random*6364136223846793005 + 1442695040888963407
		admitted := f.offer(int(random>>33)%60, 1)
		if step >= 400 {
			requested++
			refused += 1 - admitted
		}
	}
	return requested, refused
}

// A small workspace whose requests reach many hosts by chance is refused below
// its rate when each host only has its part.
func TestSmallRateOverManyHosts(t *testing.T) {
	limit := Limit{Rate: 16, Burst: 16}
	f := newFleet(60, limit)
	requested, refused := offerToRandomHosts(f, func(int) {})
	if float64(refused) > 0.01*float64(requested) {
		t.Errorf("%d of %d requests below the rate were refused, want at most 1 %%", refused, requested)
	}
	if excess := f.maxExcess(limit, 5000); excess > 20 {
		t.Errorf("%.0f requests over rate and burst", excess)
	}
}

// A small workspace that suddenly sends eight times its rate over many hosts
// must not use the whole bucket once at each of them.
func TestOverloadedSmallRate(t *testing.T) {
	limit := Limit{Rate: 16, Burst: 16}
	f := newFleet(60, limit)
	random := uint64(7)
	for step := range 4000 {
		f.now += 5
		if step%70 == 0 { // hosts exchange every 350 ms
			f.exchange()
		}
		random = random*6364136223846793005 + 1442695040888963407
		if overloaded := step >= 2000; overloaded && step%2 == 0 || step%20 == 0 { // 100 or 10 a second
			f.offer(int(random>>33)%60, 1)
		}
	}
	if excess := f.maxExcess(limit, 5000); excess > 0.1*(5*16+16)+20 {
		t.Errorf("%.0f requests over rate and burst, want at most 29", excess)
	}
}

// In a large fleet some host is nearly always silent; small workspaces must not
// be refused for that.
func TestSmallRateWithSilentHosts(t *testing.T) {
	f := newFleet(60, Limit{Rate: 16, Burst: 16})
	requested, refused := offerToRandomHosts(f, func(step int) {
		f.isolated = map[int]bool{step / 200 % 60: true} // another host each 5 s
	})
	if float64(refused) > 0.05*float64(requested) {
		t.Errorf("%d of %d requests below the rate were refused, want at most 5 %%", refused, requested)
	}
}
