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
