package registrar

import (
	"testing"

	"catkindyke/pkg/clock"
)

func entry(id string) Server { return Server{ID: id, Service: "desk", Zone: "z", Slots: 4} }

func assertHas(t *testing.T, r *Registrar, step, id string, want bool) {
	t.Helper()
	if _, ok := r.Entries()[id]; ok != want {
		t.Errorf("%s: presence of entry %s is %v, want %v", step, id, ok, want)
	}
}

// A server that leaves while the store works must get no more requests.
func TestRemoveWithoutOutage(t *testing.T) {
	r := New()
	r.Replace([]Server{entry("a"), entry("b")}, 10000)
	r.Remove("a", 11000)
	assertHas(t, r, "after its removal", "a", false)
	r.Replace(nil, 12000)
	assertHas(t, r, "after a list without the entry", "b", false)
}

// Entries that lapsed during an outage of the store come back within 2 s. If they were
// dropped at once, no server would be left to send requests to.
func TestOutageKeepsMissingEntries(t *testing.T) {
	r := New()
	r.Replace([]Server{entry("a"), entry("b")}, 10000)
	r.StartOutage(20000)
	r.Remove("b", 21000)
	assertHas(t, r, "during the outage", "b", true)
	r.Replace(nil, 25000)
	assertHas(t, r, "when the store returned", "a", true)
	r.Put(entry("a"), 26500)
	for now := clock.Millis(25000); now <= 27100; now += 100 {
		r.Expire(now)
	}
	assertHas(t, r, "after a new announcement", "a", true)
	assertHas(t, r, "missing after the grace time", "b", false)
}

// A second list without an entry must not extend its grace time.
func TestSecondListKeepsMissingSince(t *testing.T) {
	r := New()
	r.Replace([]Server{entry("a")}, 10000)
	r.StartOutage(20000)
	r.Replace(nil, 25000)
	r.Replace(nil, 26000)
	r.Expire(27100)
	assertHas(t, r, "2.1 s after it was first found missing", "a", false)
}

// A server that restarts under the same ID must be cold again.
func TestRestartIsCold(t *testing.T) {
	r := New()
	s := entry("a")
	s.StartUnixMs, s.RemainingColdTime = 1, 3000
	r.Put(s, 1000)
	s.RemainingColdTime = 0
	r.Put(s, 5000)
	if until := r.Entries()["a"].ColdUntil; until != 4000 {
		t.Errorf("cold until %d, want 4000", until)
	}
	s.StartUnixMs, s.RemainingColdTime = 2, 3000
	r.Put(s, 9000)
	if until := r.Entries()["a"].ColdUntil; until != 12000 {
		t.Errorf("after a restart cold until %d, want 12000", until)
	}
}

// The servers of a zone may be cold after an evacuation.
func TestMarkZoneCold(t *testing.T) {
	r := New()
	other := entry("b")
	other.Zone = "y"
	r.Replace([]Server{entry("a"), other}, 0)
	r.MarkZoneCold("z", func(string) clock.Millis { return 7000 })
	if r.Entries()["a"].ColdUntil != 7000 || r.Entries()["b"].ColdUntil != 0 {
		t.Errorf("cold until %d and %d, want 7000 and 0", r.Entries()["a"].ColdUntil, r.Entries()["b"].ColdUntil)
	}
}

// A single failed call is no outage in which entries lapse. A server that left after one
// still got requests for 2.5 s.
func TestShortOutageGivesNoGrace(t *testing.T) {
	r := New()
	r.Replace([]Server{entry("a")}, 10000)
	r.StartOutage(20000)
	r.Replace([]Server{entry("a")}, 20100)
	r.Remove("a", 20600)
	assertHas(t, r, "removed after a short outage", "a", false)
}

func written(id string, start int64, sequence uint64, draining bool) Server {
	s := entry(id)
	s.StartUnixMs, s.Sequence, s.Draining = start, sequence, draining
	return s
}

func assertDraining(t *testing.T, r *Registrar, step, id string, want bool) {
	t.Helper()
	if e, ok := r.Entries()[id]; !ok || e.Draining != want {
		t.Errorf("%s: present is %v and draining is %v, want true and %v", step, ok, e.Draining, want)
	}
}

// A restored store has entries from before its backup. Servers that drain, have started anew or
// have left since must not be taken for what they were.
func TestEntriesOfRestoredStore(t *testing.T) {
	withRestored := func(t *testing.T, test func(r *Registrar)) {
		t.Helper()
		r := New()
		r.Replace([]Server{written("drains", 1, 8, true), written("restarted", 20, 1, false), written("left", 1, 5, false), written("joined", 1, 1, false)}, 10000)
		r.Remove("left", 11000)
		r.StartRestore(20000)
		r.Replace([]Server{written("drains", 1, 6, false), written("restarted", 10, 9, true), written("left", 1, 7, false)}, 20000)
		assertDraining(t, r, "older entry", "drains", true)
		assertDraining(t, r, "entry of an earlier start", "restarted", false)
		assertHas(t, r, "entry of a server that left", "left", false)
		assertHas(t, r, "missing entry", "joined", true)
		test(r)
	}
	t.Run("written again", func(t *testing.T) {
		withRestored(t, func(r *Registrar) {
			r.Put(written("joined", 1, 2, false), 21000)
			r.Remove("left", 21500)
			r.Replace([]Server{written("drains", 1, 9, true), written("restarted", 20, 3, false), written("joined", 1, 2, false)}, 20000+RestoreGrace)
			r.Expire(30000)
			assertHas(t, r, "written again", "joined", true)
			assertHas(t, r, "removed again", "left", false)
			assertDraining(t, r, "written again", "drains", true)
		})
	})
	t.Run("not written again", func(t *testing.T) {
		withRestored(t, func(r *Registrar) {
			list := []Server{written("drains", 1, 6, false), written("restarted", 20, 3, false), written("left", 1, 7, false)}
			r.Replace(list, 20000+RestoreGrace)
			r.Expire(20000 + RestoreGrace)
			assertHas(t, r, "not written again", "joined", false)
			assertHas(t, r, "not written again", "left", false)
		})
	})
	t.Run("a server that left is alive after all", func(t *testing.T) {
		for step, listed := range map[string]Server{"next entry": written("left", 1, 8, false), "new start": written("left", 2, 1, false)} {
			withRestored(t, func(r *Registrar) {
				r.Replace([]Server{listed}, 20000+RestoreGrace)
				assertHas(t, r, step, "left", true)
			})
		}
		withRestored(t, func(r *Registrar) {
			r.Put(written("left", 1, 7, false), 20500)
			assertHas(t, r, "change of the entry", "left", true)
		})
	})
}

// An entry that arrives late must not undo a later one of the same start.
func TestLateEntry(t *testing.T) {
	r := New()
	r.Put(written("a", 1, 8, true), 1000)
	r.Put(written("a", 1, 7, false), 2000)
	assertDraining(t, r, "earlier entry", "a", true)
	r.Put(written("a", 2, 1, false), 3000)
	assertDraining(t, r, "new start", "a", false)
	r.Put(written("b", 0, 8, true), 1000)
	r.Put(written("b", 0, 1, false), 2000)
	assertDraining(t, r, "unknown start", "b", false)
}

// A server that leaves shortly after an outage has left in order. It still got requests for
// 2.1 s after its removal was known.
func TestServerLeavesAfterOutage(t *testing.T) {
	r := New()
	r.Replace([]Server{entry("a"), entry("b")}, 10000)
	r.StartOutage(20000)
	r.Replace([]Server{entry("a"), entry("b")}, 25000)
	r.Remove("a", 27000)
	r.Expire(27100)
	assertHas(t, r, "2.1 s after the outage", "a", false)
	r.Remove("b", 27200)
	assertHas(t, r, "removed later than that", "b", false)
}

// A host that was cut off kept entries for 2.1 s that had been removed while the store was
// available, as another host knew. A server that left got requests that long after the cut.
func TestRemovedElsewhereWhileStoreWasAvailable(t *testing.T) {
	for step, test := range map[string]struct {
		since, until clock.Millis
		restored     bool
		dropped      bool
	}{
		"no gap elsewhere":                         {since: 10000, until: 24900, dropped: true},
		"an outage elsewhere ended 2.1 s before":   {since: 22900, until: 24900, dropped: true},
		"an outage elsewhere ended later":          {since: 22901, until: 24900},
		"nothing heard shortly before":             {since: 10000, until: 24599},
		"restored just now":                        {since: 10000, until: 24900, restored: true},
		"an outage elsewhere begins with the list": {since: 25001, until: 25001},
	} {
		for order, listFirst := range map[string]bool{"known before the list": false, "known after the list": true} {
			r := New()
			r.Replace([]Server{entry("a"), entry("b")}, 10000)
			r.StartOutage(20000)
			if test.restored {
				r.StartRestore(25000)
			}
			if listFirst {
				r.Replace([]Server{entry("b")}, 25000)
			}
			r.RecordContinuity(test.since, test.until)
			if !listFirst {
				r.Replace([]Server{entry("b")}, 25000)
			}
			r.Expire(25000)
			assertHas(t, r, step+", "+order, "a", !test.dropped)
			assertHas(t, r, step+", "+order, "b", true)
		}
	}
	t.Run("removal heard of during the outage", func(t *testing.T) {
		r := New()
		r.Replace([]Server{entry("a"), entry("b")}, 10000)
		r.StartOutage(20000)
		r.Remove("a", 24000)
		r.RecordContinuity(10000, 25000)
		r.Remove("b", 25000)
		r.Expire(25000)
		assertHas(t, r, "heard before the report", "a", false)
		assertHas(t, r, "heard with the report", "b", false)
	})
	t.Run("several reports", func(t *testing.T) {
		r := New()
		r.RecordContinuity(10000, 24900)
		r.RecordContinuity(24800, 24950)
		if r.continuity != (continuity{10000, 24900}) {
			t.Errorf("a report of a shorter time replaced a longer one: %v", r.continuity)
		}
		r.RecordContinuity(24800, 25301)
		if r.continuity != (continuity{24800, 25301}) {
			t.Errorf("an outdated report was kept: %v", r.continuity)
		}
	})
}
