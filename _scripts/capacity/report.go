package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Design scale of section 1.4 of the design page.
const (
	designHosts   = 900
	designBlocks  = 2_400_000
	designChanges = 940.0 / 86400
	designLookups = 840_000.0 / designHosts
)

// measures are the figures for which slopes are fitted.
var measures = []struct {
	name, unit string
	y          func(point) float64
}{
	{"sent between hosts", "B/s", func(p point) float64 { return p.bytes }},
	{"messages", "1/s", func(p point) float64 { return p.messages }},
	{"cpu", "% of a core", func(p point) float64 { return p.cpuPercent }},
	{"heap", "MB", func(p point) float64 { return p.heapMB }},
	{"store reads", "1/s", func(p point) float64 { return p.reads }},
}

func report(results map[string][]point) {
	fmt.Println("\nslopes for each host, with standard errors")
	lines := make(map[string]line)
	for _, sweep := range []string{"hosts", "workspaces", "blocks", "changes"} {
		for _, m := range measures {
			l := fit(results[sweep], m.y)
			lines[sweep+" "+m.name] = l
			fmt.Printf("%-10s %-18s %12.4g ± %-9.2g %s for each; %.4g at zero\n", sweep, m.name, l.slope, l.slopeErr, m.unit, l.intercept)
		}
	}
	fmt.Printf("\nat %d hosts, %d blocks, %.0f changes a day, %.0f look-ups a second for each host\n", designHosts, designBlocks, designChanges*86400, designLookups)
	at := func(name string) (float64, float64) {
		l := lines["hosts "+name]
		return l.at(designHosts), 2 * l.err(designHosts)
	}
	bytes, bytesErr := at("sent between hosts")
	verdict("control traffic sent, B/s for each host", bytes, bytesErr, 2000)
	cpu, cpuErr := at("cpu")
	verdict("control cpu, % of a core for each host", cpu, cpuErr, 1.8)
	mem, memErr := at("heap")
	blocks := lines["blocks heap"]
	verdict("heap, MB for each host, with all blocks", mem+blocks.slope*designBlocks, memErr+2*blocks.slopeErr*designBlocks, 128)
	reads, readsErr := at("store reads")
	verdict("store reads of the fleet, 1/s", reads*designHosts, readsErr*designHosts, 2000)
	inForce, load := 0.0, 0.0
	for _, p := range results["changes"] {
		inForce = max(inForce, p.inForceMs)
	}
	for _, p := range results["blocks"] {
		load = max(load, p.loadSeconds)
	}
	// The work of a large fleet in the same process hides that of a look-up.
	lookup := results["hosts"][0].lookupUs
	verdict("change in force on 16 hosts, slowest, s", inForce/1000, 0, 14)
	verdict("all blocks replaced on 8 hosts, slowest, s", load, 0, 14)
	verdict("look-up in the handler, smallest fleet, µs", lookup, 0, 30)
	fmt.Printf("%-46s %10.3g %% of a core\n", "look-ups at the design scale", lookup*designLookups/1e4)
	for _, name := range []string{"change in force on 900 hosts, s", "store writes of the fleet, 1/s (shares and planner)", "lost zone, region cut off, rack restart"} {
		fmt.Printf("%-46s not measured\n", name)
	}
}

// verdict compares an estimate and twice its standard error with the budget.
func verdict(name string, value, margin, budget float64) {
	word := "holds"
	if value+margin > budget {
		word = "does not hold"
	}
	fmt.Printf("%-46s %10.4g ± %-8.2g budget %-6.4g %s\n", name, value, margin, budget, word)
}

func plotAll(results map[string][]point, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for sweep, points := range results {
		for _, m := range measures {
			name := strings.ReplaceAll(sweep+"-"+m.name, " ", "-") + ".svg"
			svg := plot(points, m.y, sweep, m.name+", "+m.unit+" for each host")
			if err := os.WriteFile(filepath.Join(dir, name), []byte(svg), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

// plot draws the points and the fitted line.
func plot(points []point, y func(point) float64, xName, yName string) string {
	const width, height, left, bottom = 480.0, 300.0, 60.0, 40.0
	maxX, maxY := 1e-9, 1e-9
	for _, p := range points {
		maxX, maxY = max(maxX, p.x), max(maxY, y(p))
	}
	l := fit(points, y)
	maxY = max(maxY, l.at(maxX)) * 1.1
	px := func(x float64) float64 { return left + x/maxX*(width-left-20) }
	py := func(v float64) float64 { return height - bottom - max(0, v)/maxY*(height-bottom-20) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><path d="M%.0f 20V%.0fH%.0f" fill="none" stroke="black"/>`+"\n", left, height-bottom, width-20)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="steelblue"/>`+"\n", px(0), py(l.at(0)), px(maxX), py(l.at(maxX)))
	for _, p := range points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3" fill="firebrick"/>`, px(p.x), py(y(p)))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.0f" text-anchor="middle">%.0f</text>`+"\n", px(p.x), height-bottom+14, p.x)
	}
	for _, v := range []float64{0, maxY / 2, maxY} {
		fmt.Fprintf(&b, `<text x="%.0f" y="%.1f" text-anchor="end">%.3g</text>`+"\n", left-4, py(v)+4, v)
	}
	fmt.Fprintf(&b, `<text x="%.0f" y="%.0f" text-anchor="middle">%s</text><text x="%.0f" y="14">%s</text></svg>`+"\n", width/2, height-8, xName, left, yName)
	return b.String()
}
