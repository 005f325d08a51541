package player

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Metric returns a metric of the scenario since the last reset. The name may have a
// suffix that selects a workspace, a region or a request, such as "served_in.fyn".
func (p *Player) Metric(name string) (float64, error) {
	base, arg, _ := strings.Cut(name, ".")
	for _, c := range Checkers {
		if c.Name == base {
			return float64(len(p.findViolations(c))), nil
		}
	}
	results := p.resultsSinceReset(arg)
	switch base {
	case "sent":
		return float64(len(results)), nil
	case "answered", "refused", "lost", "failed":
		return float64(countResults(results, func(r result) bool { return resultKind(r) == base })), nil
	case "p50_ms", "p99_ms":
		q := map[string]float64{"p50_ms": 0.5, "p99_ms": 0.99}[base]
		return latencyQuantile(results, q), nil
	case "longest_try_ms":
		return p.longestAttempt(), nil
	case "wrongful_refusals":
		withinRate, refused := p.countWithinRate(results)
		return ratio(float64(refused), float64(withinRate), 0), nil
	case "worst_served":
		return p.worstServed(arg), nil
	case "runs", "served_in", "amplification", "shifted":
		return p.arrivalMetric(base, arg, len(results)), nil
	case "ready_hosts", "hosts_behind", "conflicts", "store_rejected":
		return p.fleetMetric(base), nil
	}
	if reason, ok := strings.CutPrefix(base, "refused_"); ok {
		return float64(countResults(results, func(r result) bool { return r.lastAttempt.Reason == reason })), nil
	}
	return 0, fmt.Errorf("unknown metric %q", name)
}

func (p *Player) findViolations(c Checker) []string {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	return c.FindViolations(p.journal)
}

// resultKind classifies a result: answered by a backend server, failed there, refused
// by a host, or lost.
func resultKind(r result) string {
	switch {
	case r.lastAttempt.Outcome != "":
		return "refused"
	case r.lastAttempt.Status == 0:
		return "lost"
	case r.lastAttempt.Status >= 500:
		return "failed"
	}
	return "answered"
}

// resultsSinceReset returns the results since the last reset, only those of the workspace
// if it is not empty.
func (p *Player) resultsSinceReset(workspace string) []result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []result
	for _, r := range p.results {
		if r.sentAt >= p.resetAt && (workspace == "" || r.workspace == workspace) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b result) int {
		return cmp.Or(cmp.Compare(a.sentAt, b.sentAt), cmp.Compare(a.id, b.id))
	})
	return out
}

func countResults(results []result, match func(result) bool) int {
	n := 0
	for _, r := range results {
		if match(r) {
			n++
		}
	}
	return n
}

// latencyQuantile returns the q-quantile of the latency of answered requests in milliseconds.
func latencyQuantile(results []result, q float64) float64 {
	var latencies []time.Duration
	for _, r := range results {
		if resultKind(r) == "answered" {
			latencies = append(latencies, r.endedAt-r.sentAt)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	i := min(len(latencies)-1, int(q*float64(len(latencies))))
	return float64(latencies[i]) / float64(time.Millisecond)
}

// refusalsByReason counts the requests refused since the last reset by reason.
func (p *Player) refusalsByReason() map[string]int {
	out := make(map[string]int)
	for _, r := range p.resultsSinceReset("") {
		if r.lastAttempt.Reason != "" {
			out[r.lastAttempt.Reason]++
		}
	}
	return out
}

// longestAttempt returns the duration of the longest attempt in milliseconds.
func (p *Player) longestAttempt() float64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	var longest time.Duration
	for _, attempt := range p.journal.attempts {
		if attempt.SentAt >= p.resetAt {
			longest = max(longest, attempt.EndedAt-attempt.SentAt)
		}
	}
	return float64(longest) / float64(time.Millisecond)
}

// countWithinRate counts the requests that a single token bucket for the whole fleet would
// admit under their workspace's rate limit, and how many of them were refused.
func (p *Player) countWithinRate(results []result) (withinRate, refused int) {
	buckets := make(map[string]*tokenBucket)
	for _, r := range results {
		if r.key == "" {
			continue
		}
		b := buckets[r.workspace]
		if b == nil {
			b = &tokenBucket{}
			buckets[r.workspace] = b
		}
		p.journal.mu.Lock()
		b.limit = rateLimitAt(p.journal.rateLimits[r.workspace], r.sentAt)
		p.journal.mu.Unlock()
		if b.addEvent(r.sentAt) {
			continue
		}
		withinRate++
		if resultKind(r) == "refused" {
			refused++
		}
	}
	return withinRate, refused
}

// worstServed returns the lowest ratio of answered requests to requests within the rate
// limit among all workspaces, or that of one workspace if it is named.
func (p *Player) worstServed(workspace string) float64 {
	worst := 1.0
	for _, w := range p.cfg.GetWorkspaces() {
		if workspace != "" && w.GetName() != workspace {
			continue
		}
		results := p.resultsSinceReset(w.GetName())
		withinRate, _ := p.countWithinRate(results)
		answered := countResults(results, func(r result) bool { return r.key != "" && resultKind(r) == "answered" })
		worst = min(worst, ratio(float64(answered), float64(withinRate), 1))
	}
	return worst
}

// ratio divides, and returns ifZero if the denominator is zero.
func ratio(numerator, denominator, ifZero float64) float64 {
	if denominator == 0 {
		return ifZero
	}
	return numerator / denominator
}

func (p *Player) arrivalMetric(base, arg string, sent int) float64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	n := 0
	for _, a := range p.journal.arrivals {
		if a.Time < p.resetAt {
			continue
		}
		if base == "amplification" || base == "runs" && a.ID == arg || base == "served_in" && a.ServerRegion == arg ||
			base == "shifted" && a.EntryRegion != a.ServerRegion {
			n++
		}
	}
	if base == "amplification" {
		return ratio(float64(n), float64(sent), 0)
	}
	return float64(n)
}

func (p *Player) fleetMetric(base string) float64 {
	switch base {
	case "conflicts":
		return float64(p.conflicts)
	case "store_rejected":
		return float64(p.platform.Rejected())
	}
	ready, behind := 0, 0
	for _, h := range p.runningHosts() {
		if h.Snapshot().Ready() {
			ready++
		}
		if p.isBehind(h.Snapshot().Versions()) {
			behind++
		}
	}
	if base == "ready_hosts" {
		return float64(ready)
	}
	return float64(behind)
}

// isBehind reports whether a host with these versions lacks one that the store accepted.
func (p *Player) isBehind(versions map[string]uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, v := range p.acceptedVersions {
		if versions[kind] < v {
			return true
		}
	}
	return false
}

// CompareMetric returns a metric and whether its comparison with a value such as 12, 0.95
// or 1% holds.
func (p *Player) CompareMetric(name, op, value string) (float64, bool, error) {
	got, err := p.Metric(name)
	if err != nil {
		return 0, false, err
	}
	number, percent := strings.CutSuffix(value, "%")
	want, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false, err
	}
	if percent {
		want /= 100
	}
	switch op {
	case "==":
		return got, got == want, nil
	case "<=":
		return got, got <= want, nil
	case ">=":
		return got, got >= want, nil
	case "<":
		return got, got < want, nil
	case ">":
		return got, got > want, nil
	}
	return 0, false, fmt.Errorf("unknown comparison operator %q", op)
}
