package player

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the checkers, from the design page.
const (
	// withdrawalBound is how long a host admits a withdrawn key at most (section 5.3).
	withdrawalBound = 10 * time.Second
	// leavingBound is how long a leaving backend server may get new requests.
	leavingBound = 5 * time.Second
)

// Checker finds breaches of one rule that always holds.
type Checker struct {
	// Name is used in scenarios and reports.
	Name string
	// Find returns one line for each breach.
	Find func(j *Journal) []string
}

// Checkers are run at the end of each scenario.
var Checkers = []Checker{
	{"over_admissions", overAdmissions},
	{"second_runs", secondRuns},
	{"false_not_run", falseNotRun},
	{"foreign_answers", foreignAnswers},
	{"cap_breaches", capBreaches},
	{"region_overloads", regionOverloads},
	{"keys_seen_by_backends", keysSeen},
	{"withdrawn_key_runs", withdrawnKeyRuns},
	{"reverted_configurations", revertedConfigurations},
	{"cut_requests", cutRequests},
	{"late_new_work", lateNewWork},
}

// bucket finds the events that exceed rate × time + burst over any interval. A
// bucket that is full at the start and never refuses runs below zero exactly
// when some interval holds more events than that.
type bucket struct {
	limit Rate
	level float64
	last  time.Duration
	began bool
}

// levelSlack absorbs the rounding of repeated additions; it is far below one request.
const levelSlack = 1e-6

// take counts an event and reports whether it exceeded the limit.
func (b *bucket) take(at time.Duration) bool {
	if !b.began {
		b.level, b.last, b.began = b.limit.Burst, at, true
	}
	b.level = min(b.limit.Burst, b.level+b.limit.PerSecond*(at-b.last).Seconds())
	b.last = at
	b.level--
	if b.level < -levelSlack {
		// Each event above the limit counts once.
		b.level++
		return true
	}
	return false
}

func overAdmissions(j *Journal) []string {
	var out []string
	buckets := make(map[string]*bucket)
	for _, a := range j.admissions {
		b := buckets[a.Workspace]
		if b == nil {
			b = &bucket{}
			buckets[a.Workspace] = b
		}
		b.limit = rateAt(j.rates[a.Workspace], a.At)
		if b.take(a.At) {
			out = append(out, fmt.Sprintf("%s: %s admitted above %g a second with burst %g",
				a.At, a.Workspace, b.limit.PerSecond, b.limit.Burst))
		}
	}
	return out
}

// rateAt returns the limit in force. Within changeBound of a change both limits
// can be in force at some hosts, so the greater one counts.
func rateAt(rates []Rate, at time.Duration) Rate {
	var out Rate
	for i, r := range rates {
		if r.From > at {
			break
		}
		out = r
		if i > 0 && at < r.From+changeBound {
			out.PerSecond = max(r.PerSecond, rates[i-1].PerSecond)
			out.Burst = max(r.Burst, rates[i-1].Burst)
		}
	}
	return out
}

// changeBound is the upper limit for a change to be in force everywhere.
const changeBound = 14 * time.Second

func secondRuns(j *Journal) []string {
	var out []string
	runs := make(map[string]int)
	for _, a := range j.arrivals {
		if runs[a.ID]++; a.Once && runs[a.ID] > 1 {
			out = append(out, fmt.Sprintf("%s: %s ran %d times, now at %s", a.At, a.ID, runs[a.ID], a.Server))
		}
	}
	return out
}

func falseNotRun(j *Journal) []string {
	var out []string
	ran := make(map[int]string)
	for _, a := range j.arrivals {
		ran[a.Try] = a.Server
	}
	for _, t := range j.tries {
		if server, ok := ran[t.Number]; ok && t.Outcome == "not_run" {
			out = append(out, fmt.Sprintf("%s: %s refused by %s as not run (%s), ran at %s", t.Done, t.ID, t.Host, t.Reason, server))
		}
	}
	return out
}

func foreignAnswers(j *Journal) []string {
	var out []string
	for _, t := range j.tries {
		if t.Foreign {
			out = append(out, fmt.Sprintf("%s: %s got an answer of another request or not the whole answer from %s", t.Done, t.ID, t.Host))
		}
	}
	return out
}

// capBreaches counts requests served outside the region of their entry host.
func capBreaches(j *Journal) []string {
	var out []string
	buckets := make(map[string]*bucket)
	for _, a := range j.arrivals {
		name := capName(a.Service, a.From, a.To)
		limit, ok := j.caps[name]
		if !ok || a.From == a.To {
			continue
		}
		b := buckets[name]
		if b == nil {
			b = &bucket{limit: limit}
			buckets[name] = b
		}
		if b.take(a.At) {
			out = append(out, fmt.Sprintf("%s: %s above %g a second with burst %g", a.At, name, limit.PerSecond, limit.Burst))
		}
	}
	return out
}

func regionOverloads(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.InUse > a.Slots {
			out = append(out, fmt.Sprintf("%s: %s has %d requests in %d slots", a.At, a.Server, a.InUse, a.Slots))
		}
	}
	return out
}

func keysSeen(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.KeySeen {
			out = append(out, fmt.Sprintf("%s: %s received a key with %s", a.At, a.Server, a.ID))
		}
	}
	return out
}

// withdrawnKeyRuns counts by the time of sending, which is never later than
// the admission.
func withdrawnKeyRuns(j *Journal) []string {
	var out []string
	byNumber := make(map[int]Try)
	for _, t := range j.tries {
		byNumber[t.Number] = t
	}
	for _, a := range j.arrivals {
		t, ok := byNumber[a.Try]
		at, gone := j.withdrawn[t.Key]
		if ok && gone && t.Sent > at+withdrawalBound {
			out = append(out, fmt.Sprintf("%s: %s ran through %s, %s after its key was withdrawn", a.At, a.ID, t.Host, t.Sent-at))
		}
	}
	return out
}

// revertedConfigurations follows each host name over restarts while it is ready.
func revertedConfigurations(j *Journal) []string {
	var out []string
	best := make(map[string]uint64)
	for _, s := range j.samples {
		if !s.Ready {
			continue
		}
		for kind, version := range s.Versions {
			name := s.Host + " " + kind
			if version < best[name] {
				out = append(out, fmt.Sprintf("%s: %s went from version %d to %d", s.At, name, best[name], version))
			}
			best[name] = max(best[name], version)
		}
	}
	slices.Sort(out)
	return out
}

func cutRequests(j *Journal) []string {
	var out []string
	for _, t := range j.tries {
		if began, ok := j.stops[t.Host]; ok && t.Cut && t.Done >= began {
			out = append(out, fmt.Sprintf("%s: %s was cut by the planned stop of %s", t.Done, t.ID, t.Host))
		}
	}
	return out
}

func lateNewWork(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if began, ok := j.leaving[a.Server]; ok && a.At > began+leavingBound {
			out = append(out, fmt.Sprintf("%s: %s got %s, %s after it began to leave", a.At, a.Server, a.ID, a.At-began))
		}
	}
	return out
}
