package hoster

import (
	"testing"

	"catkindyke/pkg/schema"
)

func assertUses(t *testing.T, step string, r *schema.HostReport, want int, whole bool) {
	t.Helper()
	if got := len(r.GetUses().GetWorkspaceHashes()); got != want || (r.GetUsesAfter() == 0) != whole {
		t.Errorf("%s: %d uses after report %d, want %d and a whole report: %v", step, got, r.GetUsesAfter(), want, whole)
	}
}

// A report to a host leaves out what that host has, and only that: a host that
// has lost what it knew is told everything again.
func TestReportHoldsWhatChanged(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(n *network, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		fill(a, 1)
		exchange(a, b)
		a.admit("w")
		assertUses(t, "to a host without configuration", a.report("a2"), 1, true)
		exchange(a, b)
		assertUses(t, "to a host that could not take the last report", a.report("a2"), 1, true)
		fill(b, 1)
		n.clock.Advance(1)
		exchange(a, b)
		assertUses(t, "without a request since", a.report("a2"), 0, false)
		a.admit("w")
		assertUses(t, "after a request", a.report("a2"), 1, false)
		assertUses(t, "to another host", a.report("a3"), 1, true)
		exchange(a, b)
		n.clock.Advance(20000)
		b.rationer.ExpireHosts(n.clock.Clock().Now())
		exchange(a, b) // is partial and can't be taken
		assertUses(t, "to a host that has forgotten this one", a.report("a2"), 1, true)
		exchange(a, b)
		if !b.rationer.HasBaseline("a1", a.incarnation) {
			t.Error("the whole report was not taken")
		}
	})
}

// Reports that overtake each other must not count admissions twice.
func TestReportsOutOfOrder(t *testing.T) {
	withHosts(t, []string{"a1", "a2"}, func(_ *network, h map[string]*Host) {
		a, b := h["a1"], h["a2"]
		fill(a, 1)
		fill(b, 1)
		exchange(a, b)
		a.admit("w")
		early := a.report("a2")
		a.admit("w")
		late := a.report("a2")
		b.receive(late, 0)
		b.receive(early, 0)
		if got := b.rationer.UsageSince(0, b.cfg.Clock.Now()); len(got) != 0 {
			t.Errorf("own uses %v of a host without requests", got)
		}
		if _, sequence := b.fleet.last("a1"); sequence != late.GetSequence() {
			t.Errorf("report %d counts as the last, want %d", sequence, late.GetSequence())
		}
	})
}
