package player

import (
	"testing"
	"time"
)

const second = time.Second

// journalWithoutViolations returns a run that passes all checkers. Each function in
// injectedViolations changes one thing in it.
func journalWithoutViolations() *Journal {
	j := newJournal()
	j.rateLimits["lakes"] = []RateLimit{{PerSecond: 1, Burst: 2}}
	j.shiftCaps[shiftCapName("dispatch", "fyn", "jylland")] = RateLimit{PerSecond: 1, Burst: 1}
	j.revokedAt["old-key"] = 10 * second
	j.stopStartedAt["host-1"] = 10 * second
	j.drainStartedAt["dispatch-1"] = 10 * second
	j.admissions = []Admission{{0, "lakes"}, {0, "lakes"}, {second, "lakes"}, {2 * second, "lakes"}}
	j.arrivals = []Arrival{
		{Time: second, AttemptNumber: 1, ID: "a", AtMostOnce: true, Service: "dispatch", Server: "dispatch-1", EntryRegion: "fyn", ServerRegion: "jylland", InFlight: 3, Slots: 3},
		{Time: 2 * second, AttemptNumber: 2, ID: "b", Service: "dispatch", Server: "dispatch-1", EntryRegion: "fyn", ServerRegion: "jylland", InFlight: 1, Slots: 3},
		{Time: 15 * second, AttemptNumber: 3, ID: "b", Service: "dispatch", Server: "dispatch-1", EntryRegion: "fyn", ServerRegion: "fyn", InFlight: 1, Slots: 3},
	}
	j.attempts = []Attempt{
		{ID: "a", Number: 1, Host: "host-1", Key: "key", EndedAt: second, Status: 200},
		{ID: "b", Number: 2, Host: "host-0", Key: "key", EndedAt: 3 * second, Interrupted: true},
		{ID: "b", Number: 3, Host: "host-0", Key: "old-key", SentAt: 15 * second, EndedAt: 16 * second, Status: 200},
		{ID: "c", Number: 4, Host: "host-0", Key: "key", Status: 503, Outcome: "not_run"},
	}
	j.samples = []Sample{
		{Host: "host-0", Ready: true, Versions: map[string]uint64{"config": 2}},
		{Host: "host-0", Versions: map[string]uint64{"config": 0}},
		{Host: "host-0", Ready: true, Versions: map[string]uint64{"config": 2}},
	}
	return j
}

// injectedViolations holds one deliberate violation for each checker.
var injectedViolations = map[string]func(*Journal){
	"over_admissions":       func(j *Journal) { j.admissions[3].Time = 2*second - time.Millisecond },
	"second_runs":           func(j *Journal) { j.arrivals[2].ID, j.arrivals[2].AtMostOnce = "a", true },
	"false_not_run":         func(j *Journal) { j.attempts[0].Outcome = "not_run" },
	"foreign_answers":       func(j *Journal) { j.attempts[0].Mismatched = true },
	"cap_breaches":          func(j *Journal) { j.arrivals[1].Time = 2*second - time.Millisecond },
	"region_overloads":      func(j *Journal) { j.arrivals[0].InFlight = 4 },
	"keys_seen_by_backends": func(j *Journal) { j.arrivals[0].KeySeen = true },
	"withdrawn_key_runs":    func(j *Journal) { j.attempts[2].SentAt = 20*second + 1 },
	"reverted_configurations": func(j *Journal) {
		j.samples[2].Versions = map[string]uint64{"config": 1}
	},
	"cut_requests":  func(j *Journal) { j.attempts[1].Host, j.attempts[1].EndedAt = "host-1", 11*second },
	"late_new_work": func(j *Journal) { j.arrivals[2].Time = 15*second + 1 },
}

// TestCheckersFindViolations guards against a checker that misses a violation or
// reports one in an allowed run.
func TestCheckersFindViolations(t *testing.T) {
	for _, c := range Checkers {
		t.Run(c.Name, func(t *testing.T) {
			if violations := c.FindViolations(journalWithoutViolations()); len(violations) > 0 {
				t.Errorf("violations in an allowed run: %q", violations)
			}
			inject, ok := injectedViolations[c.Name]
			if !ok {
				t.Fatal("injectedViolations has no entry for this checker")
			}
			j := journalWithoutViolations()
			inject(j)
			if violations := c.FindViolations(j); len(violations) != 1 {
				t.Errorf("found %q, want one violation", violations)
			}
			for _, other := range Checkers {
				if violations := other.FindViolations(j); other.Name != c.Name && len(violations) > 0 {
					t.Errorf("checker %s also reports: %q", other.Name, violations)
				}
			}
		})
	}
}
