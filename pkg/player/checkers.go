package player

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the checkers, from the design page.
const (
	// revocationBound is how long a host admits a withdrawn key at most (section 5.3).
	revocationBound = 10 * time.Second
	// drainBound is how long a leaving backend server may get new requests.
	drainBound = 5 * time.Second
)

// Checker finds breaches of one rule that always holds.
type Checker struct {
	// Name is used in scenarios and reports.
	Name string
	// FindViolations returns one line for each breach.
	FindViolations func(j *Journal) []string
}

// Checkers are run at the end of each scenario.
var Checkers = []Checker{
	{"over_admissions", overAdmissions},
	{"second_runs", duplicateRuns},
	{"false_not_run", executedDespiteNotRun},
	{"foreign_answers", mismatchedResponses},
	{"cap_breaches", shiftCapViolations},
	{"region_overloads", serverOverloads},
	{"keys_seen_by_backends", keysSeenByBackends},
	{"withdrawn_key_runs", revokedKeyRuns},
	{"reverted_configurations", revertedVersions},
	{"cut_requests", requestsInterruptedByStop},
	{"late_new_work", requestsAfterDrain},
}

// tokenBucket finds the events that exceed rate × time + burst over any interval. A
// tokenBucket that is full at the start and never refuses runs below zero exactly
// when some interval holds more events than that.
type tokenBucket struct {
	limit      RateLimit
	tokens     float64
	lastUpdate time.Duration
	started    bool
}

// roundingSlack absorbs the rounding of repeated additions; it is far below one request.
const roundingSlack = 1e-6

// addEvent counts an event and reports whether it exceeded the limit.
func (b *tokenBucket) addEvent(now time.Duration) bool {
	if !b.started {
		b.tokens, b.lastUpdate, b.started = b.limit.Burst, now, true
	}
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.PerSecond*(now-b.lastUpdate).Seconds())
	b.lastUpdate = now
	b.tokens--
	if b.tokens < -roundingSlack {
		// Each event above the limit counts once.
		b.tokens++
		return true
	}
	return false
}

func overAdmissions(j *Journal) []string {
	var out []string
	buckets := make(map[string]*tokenBucket)
	for _, a := range j.admissions {
		b := buckets[a.Workspace]
		if b == nil {
			b = &tokenBucket{}
			buckets[a.Workspace] = b
		}
		b.limit = rateLimitAt(j.rateLimits[a.Workspace], a.Time)
		if b.addEvent(a.Time) {
			out = append(out, fmt.Sprintf("%s: %s admitted above %g a second with burst %g",
				a.Time, a.Workspace, b.limit.PerSecond, b.limit.Burst))
		}
	}
	return out
}

// rateLimitAt returns the limit in force. Within changeBound of a change both limits
// can be in force at some hosts, so the greater one counts.
func rateLimitAt(limits []RateLimit, t time.Duration) RateLimit {
	var out RateLimit
	for i, limit := range limits {
		if limit.ValidFrom > t {
			break
		}
		out = limit
		if i > 0 && t < limit.ValidFrom+propagationBound {
			out.PerSecond = max(limit.PerSecond, limits[i-1].PerSecond)
			out.Burst = max(limit.Burst, limits[i-1].Burst)
		}
	}
	return out
}

// propagationBound is the upper limit for a change to be in force everywhere.
const propagationBound = 14 * time.Second

func duplicateRuns(j *Journal) []string {
	var out []string
	runs := make(map[string]int)
	for _, a := range j.arrivals {
		if runs[a.ID]++; a.AtMostOnce && runs[a.ID] > 1 {
			out = append(out, fmt.Sprintf("%s: %s ran %d times, now at %s", a.Time, a.ID, runs[a.ID], a.Server))
		}
	}
	return out
}

func executedDespiteNotRun(j *Journal) []string {
	var out []string
	serverOf := make(map[int]string)
	for _, a := range j.arrivals {
		serverOf[a.AttemptNumber] = a.Server
	}
	for _, refused := range j.attempts {
		if server, ok := serverOf[refused.Number]; ok && refused.Outcome == "not_run" {
			out = append(out, fmt.Sprintf("%s: %s refused by %s as not run (%s), ran at %s", refused.EndedAt, refused.ID, refused.Host, refused.Reason, server))
		}
	}
	return out
}

func mismatchedResponses(j *Journal) []string {
	var out []string
	for _, attempt := range j.attempts {
		if attempt.Mismatched {
			out = append(out, fmt.Sprintf("%s: %s got an answer of another request or not the whole answer from %s", attempt.EndedAt, attempt.ID, attempt.Host))
		}
	}
	return out
}

// shiftCapViolations counts requests served outside the region of their entry host.
func shiftCapViolations(j *Journal) []string {
	var out []string
	buckets := make(map[string]*tokenBucket)
	for _, a := range j.arrivals {
		name := shiftCapName(a.Service, a.EntryRegion, a.ServerRegion)
		limit, ok := j.shiftCaps[name]
		if !ok || a.EntryRegion == a.ServerRegion {
			continue
		}
		b := buckets[name]
		if b == nil {
			b = &tokenBucket{limit: limit}
			buckets[name] = b
		}
		if b.addEvent(a.Time) {
			out = append(out, fmt.Sprintf("%s: %s above %g a second with burst %g", a.Time, name, limit.PerSecond, limit.Burst))
		}
	}
	return out
}

func serverOverloads(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.InFlight > a.Slots {
			out = append(out, fmt.Sprintf("%s: %s has %d requests in %d slots", a.Time, a.Server, a.InFlight, a.Slots))
		}
	}
	return out
}

func keysSeenByBackends(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.KeySeen {
			out = append(out, fmt.Sprintf("%s: %s received a key with %s", a.Time, a.Server, a.ID))
		}
	}
	return out
}

// revokedKeyRuns counts by the time of sending, which is never later than
// the admission.
func revokedKeyRuns(j *Journal) []string {
	var out []string
	attempts := make(map[int]Attempt)
	for _, attempt := range j.attempts {
		attempts[attempt.Number] = attempt
	}
	for _, a := range j.arrivals {
		attempt, ok := attempts[a.AttemptNumber]
		revokedAt, revoked := j.revokedAt[attempt.Key]
		if ok && revoked && attempt.SentAt > revokedAt+revocationBound {
			out = append(out, fmt.Sprintf("%s: %s ran through %s, %s after its key was withdrawn", a.Time, a.ID, attempt.Host, attempt.SentAt-revokedAt))
		}
	}
	return out
}

// revertedVersions follows each host name over restarts while it is ready.
func revertedVersions(j *Journal) []string {
	var out []string
	highest := make(map[string]uint64)
	for _, s := range j.samples {
		if !s.Ready {
			continue
		}
		for kind, version := range s.Versions {
			name := s.Host + " " + kind
			if version < highest[name] {
				out = append(out, fmt.Sprintf("%s: %s went from version %d to %d", s.Time, name, highest[name], version))
			}
			highest[name] = max(highest[name], version)
		}
	}
	slices.Sort(out)
	return out
}

func requestsInterruptedByStop(j *Journal) []string {
	var out []string
	for _, attempt := range j.attempts {
		if stopStart, ok := j.stopStartedAt[attempt.Host]; ok && attempt.Interrupted && attempt.EndedAt >= stopStart {
			out = append(out, fmt.Sprintf("%s: %s was cut by the planned stop of %s", attempt.EndedAt, attempt.ID, attempt.Host))
		}
	}
	return out
}

func requestsAfterDrain(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if drainStart, ok := j.drainStartedAt[a.Server]; ok && a.Time > drainStart+drainBound {
			out = append(out, fmt.Sprintf("%s: %s got %s, %s after it began to leave", a.Time, a.Server, a.ID, a.Time-drainStart))
		}
	}
	return out
}
