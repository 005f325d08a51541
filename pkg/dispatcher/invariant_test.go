package dispatcher

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// TestMain fixes the seed, so that all CI runs check the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// runSchedule runs a fleet with faults drawn from the seed: lost, late and duplicated
// messages, crashes with restarts, planned stops, and views that differ for up to 8 s.
// Pauses and network partitions that outlast a lease are residual cases. They are
// measured elsewhere and not covered here.
func runSchedule(rules Rules, seed int64, faults int) *fleet {
	return newFleet(rules, seed, 4, 4, 1).injectFaults(faults)
}

func (f *fleet) injectFaults(faults int) *fleet {
	run := func(d clock.Millis) {
		for range d {
			f.tick()
		}
	}
	run(4000)
	f.faultProbability = 0.05
	all := f.hosts[0].view
	for range faults {
		h := f.hosts[f.rng.Intn(len(f.hosts))]
		switch f.rng.Intn(5) {
		case 0:
			f.crash(h)
			run(clock.Millis(100 + f.rng.Intn(4000)))
			f.start(h)
		case 1:
			f.splitViews(all)
			run(clock.Millis(500 + f.rng.Intn(7500)))
			for _, h := range f.hosts {
				f.setView(h, all)
			}
		case 3:
			f.leave(h)
			run(clock.Millis(500 + f.rng.Intn(4000)))
			f.crash(h)
			run(clock.Millis(100 + f.rng.Intn(4000)))
			f.start(h)
		case 2:
			h.pausedUntil = f.now + clock.Millis(f.rng.Intn(1500))
		default:
			f.maxDelay = clock.Millis(f.rng.Intn(1200))
		}
		run(clock.Millis(200 + f.rng.Intn(3000)))
	}
	return f
}

// splitViews gives some hosts a view that lacks one host.
func (f *fleet) splitViews(all []string) {
	missing := f.rng.Intn(len(all))
	view := append(append([]string{}, all[:missing]...), all[missing+1:]...)
	for i, h := range f.hosts {
		if i != missing && f.rng.Intn(2) == 0 {
			f.setView(h, view)
		}
	}
}

// endRequests ends all requests, then waits until reports have arrived and leases have expired.
func endRequests(f *fleet) {
	f.faultProbability, f.maxDelay, f.noNewRequests = 0, 2, true
	for range 6000 {
		f.tick()
	}
}

// TestSlotsNeverExceeded guards against two owners that grant the same slot, and
// against slots that are never freed.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := runSchedule(DefaultRules(), rapid.Int64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "faults"))
		if f.slotsExceeded > 0 || f.dualOwners > 0 {
			t.Fatalf("slots exceeded %d times, two owners elected %d times, %d requests served", f.slotsExceeded, f.dualOwners, f.served)
		}
		endRequests(f)
		if f.served == 0 || f.permitCount() > 0 {
			t.Fatalf("%d requests served, want some; %d permits left, want 0", f.served, f.permitCount())
		}
	})
}

// TestSlotCheckDetectsBrokenRules shows that the check in TestSlotsNeverExceeded
// fails when a rule is broken.
func TestSlotCheckDetectsBrokenRules(t *testing.T) {
	for name, mutate := range map[string]func(*Rules){
		"quorum_of_one": func(r *Rules) { r.Quorum = func(int) int { return 1 } },
		"early_expiry":  func(r *Rules) { r.EntryHostTimeout = 100 },
	} {
		t.Run(name, func(t *testing.T) {
			rules := DefaultRules()
			mutate(&rules)
			for seed := range int64(40) {
				if f := runSchedule(rules, seed, 6); f.slotsExceeded > 0 || f.dualOwners > 0 {
					return
				}
			}
			t.Error("no schedule exceeded the slots although a rule is broken")
		})
	}
}

// TestSlotCheckDetectsUnprovenDepartures shows that the checks in
// TestSlotsNeverExceeded fail when a host counts as gone without proof, and when
// permits are reported after their end.
func TestSlotCheckDetectsUnprovenDepartures(t *testing.T) {
	for name, mutate := range map[string]func(*fleet){
		"silence_is_death": func(f *fleet) { f.treatSilenceAsDeath = true },
		"announce_first":   func(f *fleet) { f.announceBeforeStop = true },
		"keep_ended":       func(f *fleet) { f.reportEndedPermits = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(40) {
				f := newFleet(DefaultRules(), seed, 4, 4, 1)
				mutate(f)
				if f.injectFaults(6); f.slotsExceeded > 0 || f.dualOwners > 0 {
					return
				}
				if endRequests(f); f.permitCount() > 0 {
					return
				}
			}
			t.Error("no schedule exceeded the slots or lost the end of a permit although a rule is broken")
		})
	}
}

// usesSlotTwice lets an owner take over a server while a grant of the former owner
// is still on its way to an entry host, and reports whether the only slot is used twice.
func usesSlotTwice(rules Rules, arrival clock.Millis) bool {
	const electedAt = 10000
	hosts := []string{"a", "b", "c"}
	server := Server{Name: "s0", Slots: 1}
	self := Owner("s0", hosts)
	d := New(Config{Self: self, Epoch: 1, Rules: rules})
	permits := NewPermitTable(rules)
	permits.Add("late", "", "svc", "w")
	using, granted := false, false
	for now := clock.Millis(electedAt); now < electedAt+4000; now += 50 {
		d.SetView(View{EligibleOwners: hosts, LiveInRegion: hosts, LiveHosts: hosts, Services: []Service{{Name: "svc", ServiceTime: 10, Servers: []Server{server}}}}, now)
		if now == electedAt+arrival {
			using = permits.AcceptGrant("late", "s0", electedAt-50, now)
		}
		if now == electedAt+arrival+50 && !using {
			permits.Remove("late")
		}
		for i, h := range hosts {
			r := &schema.ReportPermitsRequest{Host: h, Incarnation: 1, Token: d.IssueToken(now - 10), Votes: []string{"s0"}, RegionHosts: 3}
			if i == 0 {
				r.Permits = permits.InRegion("")
			}
			d.HandleReport(r, now)
		}
		d.Acquire(Request{Host: "b", Incarnation: 1, ID: "new", Service: "svc", Workspace: "w", Deadline: now + 5000}, now)
		for _, dec := range d.Step(now) {
			granted = granted || dec.Granted
		}
		if using && granted {
			return true
		}
	}
	return false
}

// TestLateGrant guards against the use of a former owner's grant that the new owner doesn't know of.
func TestLateGrant(t *testing.T) {
	for _, tc := range []struct {
		name    string
		mutate  func(*Rules)
		arrival clock.Millis
		twice   bool
	}{
		{"rules_early", func(*Rules) {}, 300, false},
		{"rules_late", func(*Rules) {}, 2000, false},
		{"no_hand_over_wait", func(r *Rules) { r.HandOverWait = 0 }, 300, true},
		{"no_grant_limit", func(r *Rules) { r.GrantTTL = 1 << 30 }, 2000, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := DefaultRules()
			tc.mutate(&rules)
			if got := usesSlotTwice(rules, tc.arrival); got != tc.twice {
				t.Errorf("slot used twice: %v, want %v", got, tc.twice)
			}
		})
	}
}

// electsTwoOwners moves a voter from one owner to another while its earlier vote
// still counts, and reports whether both owners are elected at once. With restart,
// the voter is a new incarnation that has no record of its vote.
func electsTwoOwners(rules Rules, restart bool) bool {
	const start = 10000
	hosts := []string{"a", "b", "c"}
	old := Owner("s0", hosts)
	rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == old })
	next := Owner("s0", rest)
	voter := rest[0]
	if voter == next {
		voter = rest[1]
	}
	dispatchers := make(map[string]*Dispatcher)
	for _, h := range hosts {
		dispatchers[h] = New(Config{Self: h, Epoch: 1, Rules: rules})
	}
	for now := clock.Millis(start); now < start+4000; now += 50 {
		if restart && now == start+1000 {
			dispatchers[voter] = New(Config{Self: voter, Epoch: 2, Start: now, Rules: rules})
		}
		for _, h := range hosts {
			view := hosts
			if h != old && now >= start+1000 {
				view = rest
			}
			dispatchers[h].SetView(View{EligibleOwners: view, LiveInRegion: view, LiveHosts: view, Services: []Service{{Name: "svc", Servers: []Server{{Name: "s0", Slots: 1}}}}}, now)
		}
		for _, to := range []string{old, next} {
			for _, from := range []string{voter, to} {
				v := dispatchers[from].Voter()
				// The former owner cannot reach the voter after the view changes.
				if from != to && to == old && now >= start+1000 {
					continue
				}
				v.RecordToken(to, dispatchers[to].IssueToken(now), now)
				dispatchers[to].HandleReport(&schema.ReportPermitsRequest{
					Host: from, Incarnation: 1, Token: v.LatestToken(to), Votes: v.Votes(to, dispatchers[from].Owners(), now),
					RegionHosts: uint32(dispatchers[from].RegionHosts(now)), Fresh: v.Fresh(now),
				}, now)
			}
		}
		elected := 0
		for _, h := range []string{old, next} {
			if s := dispatchers[h].servers["s0"]; s.owned && dispatchers[h].isElected(s, now) {
				elected++
			}
		}
		if elected == 2 {
			return true
		}
	}
	return false
}

// TestVotePromises guards against two owners that are elected at once because a
// voter changed or forgot its vote.
func TestVotePromises(t *testing.T) {
	for _, tc := range []struct {
		name    string
		mutate  func(*Rules)
		restart bool
		twice   bool
	}{
		{"rules", func(*Rules) {}, false, false},
		{"rules_restart", func(*Rules) {}, true, false},
		{"no_promise", func(r *Rules) { r.PromiseTTL = 0 }, false, true},
		{"promise_shorter_than_vote", func(r *Rules) { r.PromiseTTL = r.VoteTTL / 2 }, false, true},
		{"quorum_of_one", func(r *Rules) { r.Quorum = func(int) int { return 1 } }, false, true},
		{"no_fresh_time", func(r *Rules) { r.FreshTime = 0 }, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := DefaultRules()
			tc.mutate(&rules)
			if got := electsTwoOwners(rules, tc.restart); got != tc.twice {
				t.Errorf("two owners elected: %v, want %v", got, tc.twice)
			}
		})
	}
}
