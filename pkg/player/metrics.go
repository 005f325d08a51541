package player

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Metric returns a figure of the scenario since the last reset. A name may end
// in a dot and the workspace or region that it is for.
func (p *Player) Metric(name string) (float64, error) {
	base, arg, _ := strings.Cut(name, ".")
	for _, c := range Checkers {
		if c.Name == base {
			return float64(len(p.check(c))), nil
		}
	}
	results := p.since(arg)
	switch base {
	case "sent":
		return float64(len(results)), nil
	case "answered", "refused", "lost", "failed":
		return float64(count(results, func(r result) bool { return kindOf(r) == base })), nil
	case "p50_ms", "p99_ms":
		q := map[string]float64{"p50_ms": 0.5, "p99_ms": 0.99}[base]
		return quantile(results, q), nil
	case "longest_try_ms":
		return p.longestTry(), nil
	case "wrongful_refusals":
		within, wrong := p.entitled(results)
		return share(float64(wrong), float64(within), 0), nil
	case "worst_served":
		return p.worstServed(arg), nil
	case "runs", "served_in", "amplification", "shifted":
		return p.arrivalMetric(base, arg, len(results)), nil
	case "ready_hosts", "hosts_behind", "conflicts", "store_rejected":
		return p.fleetMetric(base), nil
	}
	if reason, ok := strings.CutPrefix(base, "refused_"); ok {
		return float64(count(results, func(r result) bool { return r.last.Reason == reason })), nil
	}
	return 0, fmt.Errorf("unknown metric %q", name)
}

func (p *Player) check(c Checker) []string {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	return c.Find(p.journal)
}

// kindOf says what became of a request: answered by a backend server, failed
// there, refused by a host, or lost.
func kindOf(r result) string {
	switch {
	case r.last.Outcome != "":
		return "refused"
	case r.last.Status == 0:
		return "lost"
	case r.last.Status >= 500:
		return "failed"
	}
	return "answered"
}

// since returns the results after the last reset, of one workspace if it is named.
func (p *Player) since(workspace string) []result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []result
	for _, r := range p.results {
		if r.sent >= p.resetAt && (workspace == "" || r.workspace == workspace) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b result) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.id, b.id))
	})
	return out
}

func count(results []result, ok func(result) bool) int {
	n := 0
	for _, r := range results {
		if ok(r) {
			n++
		}
	}
	return n
}

// quantile returns a quantile of the latency of answered requests in milliseconds.
func quantile(results []result, q float64) float64 {
	var took []time.Duration
	for _, r := range results {
		if kindOf(r) == "answered" {
			took = append(took, r.done-r.sent)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	i := min(len(took)-1, int(q*float64(len(took))))
	return float64(took[i]) / float64(time.Millisecond)
}

// refusals counts the refused requests since the last reset by reason.
func (p *Player) refusals() map[string]int {
	out := make(map[string]int)
	for _, r := range p.since("") {
		if r.last.Reason != "" {
			out[r.last.Reason]++
		}
	}
	return out
}

// longestTry returns how long one host took at most, in milliseconds.
func (p *Player) longestTry() float64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	var longest time.Duration
	for _, t := range p.journal.tries {
		if t.Sent >= p.resetAt {
			longest = max(longest, t.Done-t.Sent)
		}
	}
	return float64(longest) / float64(time.Millisecond)
}

// entitled counts the requests within the rate of their workspace, as one
// bucket for the whole fleet would admit them, and those of them that were refused.
func (p *Player) entitled(results []result) (within, wrong int) {
	buckets := make(map[string]*bucket)
	for _, r := range results {
		if r.key == "" {
			continue
		}
		b := buckets[r.workspace]
		if b == nil {
			b = &bucket{}
			buckets[r.workspace] = b
		}
		p.journal.mu.Lock()
		b.limit = rateAt(p.journal.rates[r.workspace], r.sent)
		p.journal.mu.Unlock()
		if b.take(r.sent) {
			continue
		}
		within++
		if kindOf(r) == "refused" {
			wrong++
		}
	}
	return within, wrong
}

// worstServed returns the smallest share of entitled requests that a workspace
// had answered. With a workspace it returns the share of that one.
func (p *Player) worstServed(workspace string) float64 {
	worst := 1.0
	for _, w := range p.cfg.GetWorkspaces() {
		if workspace != "" && w.GetName() != workspace {
			continue
		}
		results := p.since(w.GetName())
		within, _ := p.entitled(results)
		answered := count(results, func(r result) bool { return r.key != "" && kindOf(r) == "answered" })
		worst = min(worst, share(float64(answered), float64(within), 1))
	}
	return worst
}

// share divides, with a value for empty wholes.
func share(part, whole, empty float64) float64 {
	if whole == 0 {
		return empty
	}
	return part / whole
}

func (p *Player) arrivalMetric(base, arg string, sent int) float64 {
	p.journal.mu.Lock()
	defer p.journal.mu.Unlock()
	n := 0
	for _, a := range p.journal.arrivals {
		if a.At < p.resetAt {
			continue
		}
		if base == "amplification" || base == "runs" && a.ID == arg || base == "served_in" && a.To == arg ||
			base == "shifted" && a.From != a.To {
			n++
		}
	}
	if base == "amplification" {
		return share(float64(n), float64(sent), 0)
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
	for _, h := range p.live() {
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

// isBehind reports whether a host lacks an accepted version.
func (p *Player) isBehind(versions map[string]uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, v := range p.accepted {
		if versions[kind] < v {
			return true
		}
	}
	return false
}

// Holds compares a metric with a value such as 12, 0.95 or 1%.
func (p *Player) Holds(name, op, value string) (float64, bool, error) {
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
	return 0, false, fmt.Errorf("unknown comparison %q", op)
}
