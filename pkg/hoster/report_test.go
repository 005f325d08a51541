package hoster

import (
	"testing"

	"catkindyke/pkg/balancer"
	"catkindyke/pkg/cataloger"
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

func assertUses(t *testing.T, step string, r *schema.HostReport, want int, complete bool) {
	t.Helper()
	if got := len(r.GetUses().GetWorkspaceHashes()); got != want || (r.GetUsesAfter() == 0) != complete {
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
