// Command measure prints the metrics of section 1.2 of the design page for both deployments.
// It runs the hosts' limiters, leasers and dispatchers on one event queue with a fixed seed,
// so its output is reproducible.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

type deployment struct {
	name        string
	clientDelay time.Duration
	services    []service
	workspaces  []*schema.Workspace
}

// deployments are those of section 1.3 of the design page.
var deployments = []deployment{
	{name: "sovig", clientDelay: 8 * time.Millisecond, services: []service{
		{"dispatch", 30, 3, 40 * time.Millisecond, 0.85}, {"survey", 12, 3, 120 * time.Millisecond, 0.15},
	}},
	{name: "bollard", clientDelay: 3 * time.Millisecond, services: []service{
		{"order-desk", 20, 4, 50 * time.Millisecond, 0.8}, {"mill-ledger", 12, 3, 80 * time.Millisecond, 0.2},
	}},
}

type testCase struct {
	name  string
	load  float64
	setup func(*world)
}

var cases = []testCase{
	{"calm", 0.4, nil},
	{"peak", 0.9, nil},
	{"one_tenant_5x", 0.6, func(w *world) { w.loadFactors[w.workspaces[0].GetName()] = 5 }},
	{"region_lost_at_peak", 0.8, func(w *world) { w.AfterFunc(eventTime, w.loseRegion) }},
	{"store_away", 0.6, func(w *world) { w.StoreDown = true }},
	{"drain", 0.5, func(w *world) { w.AfterFunc(eventTime, w.drainRegion) }},
}

// loseRegion crashes the last region's hosts; callers notice when their connections fail.
func (w *world) loseRegion() {
	last := regions - 1
	w.regions[last].lost, w.avoidedRegion = true, last
	for n := range hosts {
		if w.Host(n).Region() == last {
			w.Host(n).Crash()
		}
	}
}

// drainRegion drains the last region; callers use its hosts until their look-ups expire.
func (w *world) drainRegion() {
	last := regions - 1
	w.regions[last].drainStart = w.Now()
	w.AfterFunc(lookupTTL, func() { w.avoidedRegion = last })
}

type figures struct {
	p50, p99, drainTime                     time.Duration
	headroom, worstServed, wrongfulRefusals float64
	overAdmissions, overloads, secondRuns   int
	lateRuns                                int
}

func (f figures) breaches() int { return f.overAdmissions + f.overloads + f.secondRuns + f.lateRuns }

func (f figures) print(prefix string) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	fmt.Printf("%s.p50_ms=%.1f\n%s.p99_ms=%.1f\n", prefix, ms(f.p50), prefix, ms(f.p99))
	fmt.Printf("%s.headroom=%.3f\n%s.drain_ms=%.0f\n", prefix, f.headroom, prefix, ms(f.drainTime))
	fmt.Printf("%s.worst_served=%.4f\n%s.wrongful_refusals=%.5f\n", prefix, f.worstServed, prefix, f.wrongfulRefusals)
	fmt.Printf("%s.over_admissions=%d\n%s.region_overloads=%d\n", prefix, f.overAdmissions, prefix, f.overloads)
	fmt.Printf("%s.second_runs=%d\n%s.late_new_work=%d\n", prefix, f.secondRuns, prefix, f.lateRuns)
}

func main() {
	seed := flag.Uint64("seed", 1, "seed")
	report := flag.String("report", "", "file.svg for a plot of the same run")
	config := flag.String("config", "_fixtures/config", "directory of the configurations")
	flag.Parse()
	rows, breaches, err := run(*seed, *config)
	if err == nil && *report != "" {
		err = os.WriteFile(*report, []byte(plot(rows)), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
	if breaches > 0 {
		fmt.Fprintf(os.Stderr, "measure: %d breaches of rules that always hold\n", breaches)
		os.Exit(1)
	}
}

// row is the result of one case for the system and for the baseline.
type row struct {
	name             string
	system, baseline figures
}

// run prints all figures and counts the breaches, except those of the baseline.
func run(seed uint64, dir string) (rows []row, breaches int, err error) {
	for _, d := range deployments {
		content, err := os.ReadFile(filepath.Join(dir, d.name, "base.yaml"))
		if err != nil {
			return nil, 0, err
		}
		cfg, err := parser.Parse("base.yaml", content)
		if err != nil {
			return nil, 0, err
		}
		d.workspaces = cfg.GetWorkspaces()
		var deploymentRows []row
		for _, c := range cases {
			r := row{d.name + "." + c.name, newWorld(d, seed, false).run(c), newWorld(d, seed, true).run(c)}
			r.system.print(r.name)
			r.baseline.print(r.name + ".baseline")
			breaches += r.system.breaches()
			deploymentRows = append(deploymentRows, r)
		}
		for _, w := range weightings {
			system, baseline := w.meanScores(deploymentRows)
			fmt.Printf("%s.score_%s=%.4f\n%s.baseline.score_%s=%.4f\n", d.name, w.name, system, d.name, w.name, baseline)
		}
		rows = append(rows, deploymentRows...)
	}
	return rows, breaches, nil
}
