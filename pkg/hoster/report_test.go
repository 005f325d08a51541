package hoster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/rationer"
	"catkindyke/pkg/registrar"
	"catkindyke/pkg/relayer"
	"catkindyke/pkg/schema"
)

func assertUses(t *testing.T, step string, r *schema.HostReport, want int, complete bool) {
	t.Helper()
	if got := len(r.GetUses().GetDemands()); got != want || (r.GetUsesAfter() == 0) != complete {
		t.Errorf("%s: %d uses after report %d, want %d and a complete report: %v", step, got, r.GetUsesAfter(), want, complete)
	}
}

// A report leaves out what the receiver has, and only that: a receiver that has lost
// its state gets a complete report.
func TestReportHoldsOnlyChanges(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 1)
		exchangeReports(a, b)
		a.admit("w")
		assertUses(t, "to a host without configuration", a.buildReport("a2"), 1, true)
		exchangeReports(a, b)
		assertUses(t, "to a host that could not apply the last report", a.buildReport("a2"), 1, true)
		makeReady(b, 1)
		n.clock.Advance(1)
		exchangeReports(a, b)
		assertUses(t, "without a request since", a.buildReport("a2"), 0, false)
		a.admit("w")
		assertUses(t, "after a request", a.buildReport("a2"), 1, false)
		assertUses(t, "to another host", a.buildReport("a3"), 1, true)
		exchangeReports(a, b)
		n.clock.Advance(20000)
		b.rationer.ExpireHosts(n.clock.Clock().Now())
		exchangeReports(a, b) // is partial and can't be applied
		assertUses(t, "to a host that has expired this one", a.buildReport("a2"), 1, true)
		exchangeReports(a, b)
		if !b.rationer.HasBaseline("a1", a.incarnation) {
			t.Error("the complete report was not applied")
		}
	})
}

// loadsAt returns what a host knows of another one's requests in flight.
func loadsAt(h *Host, name string) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return decodeInFlight(h.fleet.members[name].loads, h.serverNames)
}

func assertLoadsKnown(t *testing.T, step string, at, of *Host) {
	t.Helper()
	of.mu.Lock()
	want := of.balancer.InFlight()
	of.mu.Unlock()
	if got := loadsAt(at, of.cfg.Name); !maps.Equal(got, want) {
		t.Errorf("%s: host %s knows the loads %v of host %s, want %v", step, at.cfg.Name, got, of.cfg.Name, want)
	}
	at.fleet.mu.Lock()
	defer at.fleet.mu.Unlock()
	if m := at.fleet.members[of.cfg.Name]; m.region != of.cfg.Region || m.callerAddress != of.cfg.CallerAddress || m.peerAddress != of.cfg.PeerAddress || len(m.revisions) == 0 {
		t.Errorf("%s: host %s knows %+v of host %s", step, at.cfg.Name, m, of.cfg.Name)
	}
}

// withLoadedHosts runs hosts with several servers. The function load changes the requests in flight
// of a host.
func withLoadedHosts(t *testing.T, names []string, test func(n *testNetwork, h map[string]*Host, load func(h *Host))) {
	t.Helper()
	withHosts(t, names, func(n *testNetwork, hosts map[string]*Host) {
		var servers []registrar.Server
		for i := range 8 {
			servers = append(servers, testServer(fmt.Sprint("s", i), "za"))
		}
		for _, h := range hosts {
			makeReady(h, 1, servers...)
			h.relayer.RecordList(relayer.List{Kind: "servers", Epoch: 1, LastChange: 4, UpTo: 5, Fingerprint: 6})
		}
		running := make(map[*Host][]balancer.Choice)
		requests := 0
		test(n, hosts, func(h *Host) {
			for range 3 {
				requests++
				c, _ := h.chooseServer(balancer.Request{Service: "desk", Class: "p", Object: fmt.Sprint(requests), TargetLatency: 250, TimeLeft: 800})
				running[h] = append(running[h], c)
			}
			for len(running[h]) > 4 {
				h.finishAttempt(balancer.Attempt{Choice: running[h][0], Class: "p", Result: balancer.Answered, Duration: 100})
				running[h] = running[h][1:]
			}
		})
	})
}

func assertPartial(t *testing.T, step string, r *schema.HostReport, want bool) {
	t.Helper()
	if r.GetPartial() != want || (r.GetRegion() == "") != want || (len(r.GetRevisions()) == 0) != want {
		t.Errorf("%s: report %v, want a partial one: %v", step, r, want)
	}
}

// A report that is lost, arrives late or meets a host that has restarted must cost one complete
// report at most, and leave no wrong state.
func TestPartialReports(t *testing.T) {
	withLoadedHosts(t, []string{"a1", "a2", "b1"}, func(n *testNetwork, h map[string]*Host, load func(h *Host)) {
		a, b := h["a1"], h["a2"]
		load(a)
		exchangeReports(a, b)
		load(a)
		assertPartial(t, "first short report, which is lost", a.buildReport("a2"), false)
		assertPartial(t, "after it", a.buildReport("a2"), false)
		for range 3 {
			load(a)
			exchangeReports(a, b)
			assertLoadsKnown(t, "at the start", b, a)
		}
		assertPartial(t, "after exchanges", a.buildReport("a2"), true)
		load(a) // the report above is lost
		exchangeReports(a, h["b1"])
		load(a)
		exchangeReports(a, b)
		assertLoadsKnown(t, "after a lost report", b, a)
		load(a)
		early := a.buildReport("a2")
		load(a)
		late := a.buildReport("a2")
		b.handleReport(late, 0)
		b.handleReport(early, 0)
		assertLoadsKnown(t, "after an early report that came late", b, a)
		b = n.start("a2")
		makeReady(b, 1, testServer("s0", "za"), testServer("s1", "za"))
		report := a.buildReport("a2")
		assertPartial(t, "to a host that has restarted", report, true)
		b.handleReport(report, 0)
		b.fleet.mu.Lock()
		if m := b.fleet.members["a1"]; m.incarnation != 0 || m.ready {
			t.Errorf("a host that has restarted has applied a partial report: %+v", m)
		}
		b.fleet.mu.Unlock()
		a.handleReport(b.buildReport("a1"), 1)
		report = a.buildReport("a2")
		assertPartial(t, "after the report of a host that has restarted", report, false)
		b.handleReport(report, 0)
		a.handleReport(b.buildReport("a1"), 1)
		assertPartial(t, "after one complete report", a.buildReport("a2"), true)
		n.clock.Advance(completeInterval)
		assertPartial(t, "after a long time", a.buildReport("a2"), false)
	})
}

// The state that partial reports give must be the sender's, whichever reports are lost.
func TestPartialReportsMatchState(t *testing.T) {
	withLoadedHosts(t, []string{"a1", "a2", "b1"}, func(n *testNetwork, h map[string]*Host, load func(h *Host)) {
		random := rand.New(rand.NewPCG(1, 0))
		names := []string{"a1", "a2", "b1"}
		for step := range 500 {
			n.clock.Advance(clock.Millis(random.IntN(200)))
			load(h[names[random.IntN(3)]])
			i := random.IntN(3)
			from, to := h[names[i]], h[names[(i+1+random.IntN(2))%3]]
			request := from.buildReport(to.cfg.Name)
			if random.IntN(4) == 0 {
				continue
			}
			to.handleReport(request, 0)
			if request.GetSequence() > 0 {
				assertLoadsKnown(t, fmt.Sprint("step ", step), to, from)
			}
			if answer := to.buildReport(from.cfg.Name); random.IntN(4) > 0 {
				from.handleReport(answer, 1)
				assertLoadsKnown(t, fmt.Sprint("step ", step), from, to)
			}
		}
	})
}

// A host of an earlier version must get reports that it understands.
func TestReportsToEarlierVersion(t *testing.T) {
	withLoadedHosts(t, []string{"a1", "a2"}, func(_ *testNetwork, h map[string]*Host, load func(h *Host)) {
		a, b := h["a1"], h["a2"]
		for range 4 {
			load(a)
			a.admit("w")
			r := a.buildReport("a2")
			assertPartial(t, "to an earlier version", r, false)
			if len(r.GetLoads().GetShortHashes()) > 0 || len(r.GetUses().GetShortHashes()) > 0 || len(r.GetLoads().GetServerHashes()) == 0 {
				t.Errorf("report %v to an earlier version has short hashes", r)
			}
			b.handleReport(r, 0)
			answer := b.buildReport("a1")
			answer.TakesPartial = false
			a.handleReport(answer, 1)
		}
	})
}

// Servers whose short hashes are the same must not get each other's loads.
func TestSharedShortHashes(t *testing.T) {
	names := make(namesByHash)
	names.add("s1")
	hash := xxhash.Sum64String("s1")
	names[shortHash(hash)] = "" // as another name with the same lower bits does
	var s reportedState
	s.observe(1, map[string]int{"s1": 2}, nil, nil, names)
	r := &schema.HostReport{}
	s.encode(r, true)
	if got := r.GetLoads(); len(got.GetShortHashes()) > 0 || len(got.GetServerHashes()) != 1 || got.GetServerHashes()[0] != hash {
		t.Errorf("loads %v, want the full hash of s1", got)
	}
	s.observe(2, map[string]int{"s1": 2}, nil, nil, make(namesByHash))
	if s.base(1) != 0 {
		t.Error("a report with full hashes is the base of one with short hashes")
	}
	uses := encodeUsage(map[string]rationer.Usage{"s1": {Admitted: 3}}, names, true)
	if got := decodeUsage(uses, names); len(uses.GetShortHashes()) > 0 || got["s1"].Admitted != 3 {
		t.Errorf("uses %v decoded as %v, want the full hash and 3 admitted", uses, got)
	}
}

// Reports that arrive out of order must not count admissions twice.
func TestReportsOutOfOrder(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(_ *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 1)
		makeReady(b, 1)
		exchangeReports(a, b)
		a.admit("w")
		early := a.buildReport("a2")
		a.admit("w")
		late := a.buildReport("a2")
		b.handleReport(late, 0)
		b.handleReport(early, 0)
		if got := b.rationer.UsageSince(0, b.cfg.Clock.Now()); len(got) != 0 {
			t.Errorf("own uses %v of a host without requests", got)
		}
		if _, sequence := b.fleet.lastApplied("a1"); sequence != late.GetSequence() {
			t.Errorf("report %d counts as the last, want %d", sequence, late.GetSequence())
		}
	})
}

// A report that is built while a new configuration arrives must not confirm the old one
// with the age of the new one: another host would then accept a revoked key for too long.
func TestReportPairsVersionAndConfirmation(t *testing.T) {
	const versions = 20000
	withHosts(t, []string{"a1"}, func(_ *testNetwork, h map[string]*Host) {
		a := h["a1"]
		catalogs := make([]*cataloger.Catalog, versions)
		for i := range catalogs {
			c, err := cataloger.New(cataloger.Config{Version: uint64(i)})
			if err != nil {
				t.Fatal(err)
			}
			catalogs[i] = c
		}
		a.catalog.Store(catalogs[0])
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i, c := range catalogs {
				a.catalog.Store(c)
				a.confirmConfig(clock.Millis(i)) // version i is the newest one at time i
			}
		}()
		for running := true; running; {
			select {
			case <-done:
				running = false
			default:
			}
			version, ageMs := a.reportedConfig(versions)
			if asOf := versions - (ageMs - 1); ageMs > 0 && asOf > version {
				t.Fatalf("version %d is confirmed as of time %d, at which version %d was the newest", version, asOf, asOf)
			}
		}
	})
}

func assertPlacements(t *testing.T, step string, h *Host, want int) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if got := len(h.balancer.Placements(h.cfg.Clock.Now())); got != want {
		t.Errorf("%s: host %s knows %d placements, want %d", step, h.cfg.Name, got, want)
	}
}

// Hosts of a region learn from each other which servers are warm for an object, also
// those that start later. Other regions don't get these reports.
func TestPlacementsAreShared(t *testing.T) {
	withHosts(t, []string{"a1", "a2", "a3", "b1"}, func(n *testNetwork, h map[string]*Host) {
		for _, host := range h {
			makeReady(host, 1, testServer("s1", "za"), testServer("s2", "za"))
		}
		a := h["a1"]
		for _, other := range []string{"a2", "b1"} {
			exchangeReports(a, h[other])
			exchangeReports(a, h[other])
		}
		n.clock.Advance(10)
		a.chooseServer(balancer.Request{Service: "desk", Class: "p", Object: "o", TargetLatency: 250, TimeLeft: 800})
		for _, other := range []string{"a2", "b1", "a3"} {
			n.clock.Advance(10)
			exchangeReports(a, h[other])
			exchangeReports(a, h[other])
		}
		assertPlacements(t, "after a request", a, 1)
		assertPlacements(t, "same region", h["a2"], 1)
		assertPlacements(t, "same region, first exchange", h["a3"], 1)
		assertPlacements(t, "other region", h["b1"], 0)
	})
}

// Reports with placements that don't fit together, or of unknown servers, do no harm.
func TestDecodePlacements(t *testing.T) {
	names := make(namesByHash)
	names.add("s1")
	valid := encodePlacements([]balancer.Placement{{Object: 7, Server: "s1"}, {Object: 8, Server: "unknown"}})
	if got := decodePlacements(valid, names); len(got) != 1 || got[0].Object != 7 || got[0].Server != "s1" {
		t.Errorf("decoded %v, want object 7 at s1", got)
	}
	valid.ObjectHashes = nil
	if got := decodePlacements(valid, names); len(got) != 0 {
		t.Errorf("decoded %v of a list without objects", got)
	}
}

// Only a report that is known to be recent, by the report that it echoes, tells that another host
// has had the store's changes. One that a cut has held up says nothing about the time of the cut.
func TestReportedContinuity(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *testNetwork, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		makeReady(a, 5)
		makeReady(b, 5)
		start := n.clock.Clock().Now()
		for range 4 {
			n.clock.Advance(1000)
			a.Feed().ConfirmConfig(n.clock.Clock().Now())
			exchangeReports(a, b)
		}
		sentAt := n.clock.Clock().Now()
		report := a.buildReport("a2")
		n.clock.Advance(3000)
		since, until, ok := b.reportedContinuity(report, n.clock.Clock().Now())
		if !ok || since < start || until > sentAt {
			t.Errorf("from %d to %d, %v, want a part of %d to %d", since, until, ok, start, sentAt)
		}
		if got := a.buildReport("a2").UpdatedForMs; got != 0 {
			t.Errorf("a host that was not updated for 3 s states %d ms", got)
		}
		a.Feed().ConfirmConfig(n.clock.Clock().Now())
		if got := a.buildReport("a2").UpdatedForMs; got != 1 {
			t.Errorf("a host states %d ms right after a gap of 3 s, want 1", got)
		}
		report.EchoIncarnation++
		if _, _, ok := b.reportedContinuity(report, n.clock.Clock().Now()); ok {
			t.Error("a report that echoes none of this process counts")
		}
	})
}

// A host that starts must not claim that it has had the changes of the store since the
// beginning of the machine's clock.
func TestFirstConfirmationBeginsContinuity(t *testing.T) {
	var u updateTracker
	if _, ok := u.sinceAt(900); ok {
		t.Error("continuity before the first confirmation")
	}
	u.record(1000)
	if since, ok := u.sinceAt(1100); !ok || since != 1000 {
		t.Errorf("continuity since %d, %v, want since 1000", since, ok)
	}
}
