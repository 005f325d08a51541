package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
)

// Design scale (design page, section 1.4).
const (
	designHosts   = 900
	designBlocks  = 2_400_000
	designLookups = 840_000.0 / designHosts
)

// metric selects one value of a point.
type metric struct {
	name, unit string
	value      func(point) float64
}

// metrics are the values for which slopes are fitted.
var metrics = []metric{
	{"sent between hosts", "B/s", func(p point) float64 { return p.sentBytes }},
	{"messages", "1/s", func(p point) float64 { return p.messages }},
	{"cpu", "% of a core", func(p point) float64 { return p.cpuPercent }},
	{"heap", "MB", func(p point) float64 { return p.heapMB }},
	{"store reads", "1/s", func(p point) float64 { return p.storeReads }},
	{"store writes", "1/s", func(p point) float64 { return p.storeWrites }},
}

var sweeps = []string{"hosts", "workspaces", "blocks", "changes"}

// printReport prints the slopes of each run and compares the last run with the budget.
func printReport(results []map[string][]point) {
	fmt.Println("\nslopes for each host, with standard errors, by run; two runs agree when they differ by less than twice the joint error")
	lines := make(map[string]line)
	for _, sweep := range sweeps {
		for _, m := range metrics {
			var fits []line
			for _, r := range results {
				if len(r[sweep]) > 1 {
					fits = append(fits, fit(r[sweep], m))
				}
			}
			if len(fits) == 0 {
				continue
			}
			fmt.Printf("%-10s %-18s", sweep, m.name)
			for _, l := range fits {
				fmt.Printf(" %11.4g ± %-8.2g at zero %-8.4g;", l.slope, l.slopeErr, l.intercept)
			}
			first, last := fits[0], fits[len(fits)-1]
			agreement := "one run"
			if len(fits) > 1 {
				agreement = "differ"
				if math.Abs(first.slope-last.slope) <= 2*math.Hypot(first.slopeErr, last.slopeErr) {
					agreement = "agree"
				}
			}
			fmt.Printf(" %s, %s\n", m.unit, agreement)
			lines[sweep+" "+m.name] = last
		}
	}
	fmt.Printf("\nat %d hosts\n", designHosts)
	for _, c := range []struct {
		metric, name  string
		scale, budget float64
	}{
		{"sent between hosts", "control traffic sent, B/s for each host", 1, 2000},
		{"cpu", "control cpu, % of a core for each host", 1, 1.8},
		{"store reads", "store reads of the fleet, 1/s", designHosts, 2000},
	} {
		if l, ok := lines["hosts "+c.metric]; ok {
			printVerdict(c.name, l.valueAt(designHosts)*c.scale, 2*l.stdErrAt(designHosts)*c.scale, c.budget)
		}
	}
	if l, ok := lines["hosts heap"]; ok {
		printVerdict("heap without blocks, MB for each host", l.valueAt(designHosts), 2*l.stdErrAt(designHosts), 128)
	}
	if l, ok := lines["blocks heap"]; ok {
		printVerdict("heap of all blocks on 8 hosts, MB", l.valueAt(designBlocks), 2*l.stdErrAt(designBlocks), 128)
	}
	last := results[len(results)-1]
	inForce, load := 0.0, 0.0
	for _, p := range last["changes"] {
		inForce = max(inForce, p.inForceMs)
	}
	for _, p := range last["blocks"] {
		load = max(load, p.blocksLoadSeconds)
	}
	if inForce > 0 {
		printVerdict("change in force on 16 hosts, slowest, s", inForce/1000, 0, 14)
	}
	if load > 0 {
		printVerdict("all blocks replaced on 8 hosts, slowest, s", load, 0, 14)
	}
	if points := last["hosts"]; len(points) > 0 {
		// The smallest fleet is used: the other work of a large fleet in the process hides a look-up's cost.
		fmt.Printf("%-46s %10.3g %% of a core\n", "look-ups at the design scale", points[0].lookupUs*designLookups/1e4)
	}
}

// printVerdict compares an estimate plus its margin, twice the standard error, with the budget.
func printVerdict(name string, value, margin, budget float64) {
	result := "holds"
	if value+margin > budget {
		result = "does not hold"
	}
	fmt.Printf("%-46s %10.4g ± %-8.2g budget %-6.4g %s\n", name, value, margin, budget, result)
}

func plotAll(results []map[string][]point, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for sweep, points := range results[len(results)-1] {
		if len(points) < 2 {
			continue
		}
		for _, m := range metrics {
			name := strings.ReplaceAll(sweep+"-"+m.name, " ", "-") + ".svg"
			svg := plot(points, m, sweep, m.name+", "+m.unit+" for each host")
			if err := os.WriteFile(filepath.Join(dir, name), []byte(svg), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

// plot returns an SVG of the points and the fitted line.
func plot(points []point, m metric, xName, yName string) string {
	const width, height, left, bottom = 480.0, 300.0, 60.0, 40.0
	maxX, maxY := 1e-9, 1e-9
	for _, p := range points {
		maxX, maxY = max(maxX, p.x), max(maxY, m.value(p))
	}
	l := fit(points, m)
	maxY = max(maxY, l.valueAt(maxX)) * 1.1
	px := func(x float64) float64 { return left + x/maxX*(width-left-20) }
	py := func(v float64) float64 { return height - bottom - max(0, v)/maxY*(height-bottom-20) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><path d="M%.0f 20V%.0fH%.0f" fill="none" stroke="black"/>`+"\n", left, height-bottom, width-20)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`+"\n", px(0), py(l.valueAt(0)), px(maxX), py(l.valueAt(maxX)))
	for _, p := range points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3" fill="firebrick"/>`, px(p.x), py(m.value(p)))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.0f" text-anchor="middle">%.0f</text>`+"\n", px(p.x), height-bottom+14, p.x)
	}
	for _, v := range []float64{0, maxY / 2, maxY} {
		fmt.Fprintf(&b, `<text x="%.0f" y="%.1f" text-anchor="end">%.3g</text>`+"\n", left-4, py(v)+4, v)
	}
	fmt.Fprintf(&b, `<text x="%.0f" y="%.0f" text-anchor="middle">%s</text><text x="%.0f" y="14">%s</text></svg>`+"\n", width/2, height-8, xName, left, yName)
	return b.String()
}
