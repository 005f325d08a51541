package player

import (
	"fmt"
	"slices"
	"time"
)

// Limits that the design page sets.
const (
	// revocationBound is the longest time for which a host still admits a revoked key
	// (section 5.3).
	revocationBound = 10 * time.Second
	// drainBound is how long a draining backend server may still get new requests.
	drainBound = 5 * time.Second
)

// Checker finds violations of one invariant in a run.
type Checker struct {
	// Name identifies the checker in scenarios and reports.
	Name string
	// FindViolations returns one line for each violation.
	FindViolations func(j *Journal) []string
}

// Checkers run at the end of each scenario.
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

// tokenBucket finds events in excess of rate × time + burst over any interval. A bucket
// that starts full and refuses nothing goes below zero exactly when some interval
// contains more events than that.
type tokenBucket struct {
	limit      RateLimit
	tokens     float64
	lastUpdate time.Duration
	started    bool
}

// roundingSlack absorbs rounding errors of repeated additions; it is far below one token.
const roundingSlack = 1e-6

// addEvent takes a token for an event and reports whether the event exceeds the limit.
func (b *tokenBucket) addEvent(now time.Duration) bool {
	if !b.started {
		b.tokens, b.lastUpdate, b.started = b.limit.Burst, now, true
	}
	b.tokens = min(b.limit.Burst, b.tokens+b.limit.PerSecond*(now-b.lastUpdate).Seconds())
	b.lastUpdate = now
	b.tokens--
	if b.tokens < -roundingSlack {
		// Restore the token, so that each excess event is reported once.
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
			out = append(out, fmt.Sprintf("%s: workspace %s: request admitted above the limit of %g a second with burst %g",
				a.Time, a.Workspace, b.limit.PerSecond, b.limit.Burst))
		}
	}
	return out
}

// rateLimitAt returns the limit at time t. Within propagationBound of a change some hosts
// may still use the old limit, so the greater of the two counts.
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

// propagationBound is the longest time until all hosts use a change.
const propagationBound = 14 * time.Second

func duplicateRuns(j *Journal) []string {
	var out []string
	runs := make(map[string]int)
	for _, a := range j.arrivals {
		if runs[a.ID]++; a.AtMostOnce && runs[a.ID] > 1 {
			out = append(out, fmt.Sprintf("%s: request %s ran %d times, the last time at %s", a.Time, a.ID, runs[a.ID], a.Server))
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
			out = append(out, fmt.Sprintf("%s: request %s was refused by %s as not run (%s), but ran at %s", refused.EndedAt, refused.ID, refused.Host, refused.Reason, server))
		}
	}
	return out
}

func mismatchedResponses(j *Journal) []string {
	var out []string
	for _, attempt := range j.attempts {
		if attempt.Mismatched {
			out = append(out, fmt.Sprintf("%s: request %s got a mismatched or incomplete response from %s", attempt.EndedAt, attempt.ID, attempt.Host))
		}
	}
	return out
}

// shiftCapViolations checks the rate of requests that run outside the region of their
// entry host.
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
			out = append(out, fmt.Sprintf("%s: requests on %s above the cap of %g a second with burst %g", a.Time, name, limit.PerSecond, limit.Burst))
		}
	}
	return out
}

func serverOverloads(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.InFlight > a.Slots {
			out = append(out, fmt.Sprintf("%s: server %s has %d in-flight requests and %d slots", a.Time, a.Server, a.InFlight, a.Slots))
		}
	}
	return out
}

func keysSeenByBackends(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if a.KeySeen {
			out = append(out, fmt.Sprintf("%s: server %s received a key with request %s", a.Time, a.Server, a.ID))
		}
	}
	return out
}

// revokedKeyRuns compares the time at which the caller sent the request, which is never
// later than its admission.
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
			out = append(out, fmt.Sprintf("%s: request %s, sent to %s %s after its key was revoked, ran", a.Time, a.ID, attempt.Host, attempt.SentAt-revokedAt))
		}
	}
	return out
}

// revertedVersions finds hosts whose document versions went back while they were ready,
// also across restarts.
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
				out = append(out, fmt.Sprintf("%s: %s went back from version %d to %d", s.Time, name, highest[name], version))
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
			out = append(out, fmt.Sprintf("%s: request %s was cut by the planned stop of %s", attempt.EndedAt, attempt.ID, attempt.Host))
		}
	}
	return out
}

func requestsAfterDrain(j *Journal) []string {
	var out []string
	for _, a := range j.arrivals {
		if drainStart, ok := j.drainStartedAt[a.Server]; ok && a.Time > drainStart+drainBound {
			out = append(out, fmt.Sprintf("%s: server %s got request %s %s after it began to leave", a.Time, a.Server, a.ID, a.Time-drainStart))
		}
	}
	return out
}
