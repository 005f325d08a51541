package hoster

import (
	"testing"

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
