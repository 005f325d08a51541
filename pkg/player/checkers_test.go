package player

import (
	"testing"
	"time"
)

const second = time.Second

// calmJournal is a run without a breach; each fault below changes one thing.
func calmJournal() *Journal {
	j := newJournal()
	j.rates["lakes"] = []Rate{{PerSecond: 1, Burst: 2}}
	j.caps[capName("dispatch", "fyn", "jylland")] = Rate{PerSecond: 1, Burst: 1}
	j.withdrawn["old-key"] = 10 * second
	j.stops["host-1"] = 10 * second
	j.leaving["dispatch-1"] = 10 * second
	j.admissions = []Admission{{0, "lakes"}, {0, "lakes"}, {second, "lakes"}, {2 * second, "lakes"}}
	j.arrivals = []Arrival{
		{At: second, Try: 1, ID: "a", Once: true, Service: "dispatch", Server: "dispatch-1", From: "fyn", To: "jylland", InUse: 3, Slots: 3},
		{At: 2 * second, Try: 2, ID: "b", Service: "dispatch", Server: "dispatch-1", From: "fyn", To: "jylland", InUse: 1, Slots: 3},
		{At: 15 * second, Try: 3, ID: "b", Service: "dispatch", Server: "dispatch-1", From: "fyn", To: "fyn", InUse: 1, Slots: 3},
	}
	j.tries = []Try{
		{ID: "a", Number: 1, Host: "host-1", Key: "key", Done: second, Status: 200},
		{ID: "b", Number: 2, Host: "host-0", Key: "key", Done: 3 * second, Cut: true},
		{ID: "b", Number: 3, Host: "host-0", Key: "old-key", Sent: 15 * second, Done: 16 * second, Status: 200},
		{ID: "c", Number: 4, Host: "host-0", Key: "key", Status: 503, Outcome: "not_run"},
	}
	j.samples = []Sample{
		{Host: "host-0", Ready: true, Versions: map[string]uint64{"config": 2}},
		{Host: "host-0", Versions: map[string]uint64{"config": 0}},
		{Host: "host-0", Ready: true, Versions: map[string]uint64{"config": 2}},
	}
	return j
}

// faults holds one deliberate breach for each checker.
var faults = map[string]func(*Journal){
	"over_admissions":       func(j *Journal) { j.admissions[3].At = 2*second - time.Millisecond },
	"second_runs":           func(j *Journal) { j.arrivals[2].ID, j.arrivals[2].Once = "a", true },
	"false_not_run":         func(j *Journal) { j.tries[0].Outcome = "not_run" },
	"foreign_answers":       func(j *Journal) { j.tries[0].Foreign = true },
	"cap_breaches":          func(j *Journal) { j.arrivals[1].At = 2*second - time.Millisecond },
	"region_overloads":      func(j *Journal) { j.arrivals[0].InUse = 4 },
	"keys_seen_by_backends": func(j *Journal) { j.arrivals[0].KeySeen = true },
	"withdrawn_key_runs":    func(j *Journal) { j.tries[2].Sent = 20*second + 1 },
	"reverted_configurations": func(j *Journal) {
		j.samples[2].Versions = map[string]uint64{"config": 1}
	},
	"cut_requests":  func(j *Journal) { j.tries[1].Host, j.tries[1].Done = "host-1", 11*second },
	"late_new_work": func(j *Journal) { j.arrivals[2].At = 15*second + 1 },
}

// TestCheckersFindFaults guards against a checker that never fails, or that
// fails on an allowed run.
func TestCheckersFindFaults(t *testing.T) {
	for _, c := range Checkers {
		t.Run(c.Name, func(t *testing.T) {
			if found := c.Find(calmJournal()); len(found) > 0 {
				t.Errorf("breaches in an allowed run: %q", found)
			}
			inject, ok := faults[c.Name]
			if !ok {
				t.Fatal("no deliberate fault for this checker")
			}
			j := calmJournal()
			inject(j)
			if found := c.Find(j); len(found) != 1 {
				t.Errorf("found %q, want one breach", found)
			}
			for _, other := range Checkers {
				if found := other.Find(j); other.Name != c.Name && len(found) > 0 {
					t.Errorf("%s also fails: %q", other.Name, found)
				}
			}
		})
	}
}
