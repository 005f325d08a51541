// Command ratebench measures wrongful refusals and over-admissions of a simulated fleet in
// virtual time and prints a Markdown table.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"sync"
	"time"

	"catkindyke/pkg/exerciser"
	"catkindyke/pkg/limiter"
)

const (
	hosts   = 8
	regions = 3
	warmUp  = 30 * time.Second
	// isolationTimeout is the time after which an isolated host refuses requests with a key (design 5.3).
	isolationTimeout = 10 * time.Second
)

// workspaces are the simulated workspaces, two of them with higher rates.
var workspaces = map[string]limiter.Limit{
	"w0": {RatePerSecond: 200, Burst: 200}, "w1": {RatePerSecond: 100, Burst: 100},
	"w2": {RatePerSecond: 20, Burst: 20}, "w3": {RatePerSecond: 20, Burst: 20},
	"w4": {RatePerSecond: 20, Burst: 20}, "w5": {RatePerSecond: 20, Burst: 20},
	"w6": {RatePerSecond: 20, Burst: 20}, "w7": {RatePerSecond: 20, Burst: 20},
}

// bench is one run of a scenario.
type bench struct {
	*exerciser.Fleet
	load float64
	// rng is separate from the fleet's random delays, so that a seed gives the same arrivals
	// whatever messages the hosts exchange.
	rng *rand.Rand
	// pickHost returns the entry host for a workspace's request.
	pickHost func(workspace string) int
	// loadFactors replaces load for single workspaces.
	loadFactors map[string]float64
	// leaving and listed decide which hosts look-ups name.
	leaving, listed map[int]bool
}

// scenario is one row of the table.
type scenario struct {
	name     string
	duration time.Duration
	setup    func(b *bench)
	// overload is set if a workspace exceeds its rate.
	overload bool
}

func (b *bench) anyHost(string) int { return b.rng.IntN(b.HostCount()) }

// scheduleArrival schedules a workspace's requests as a Poisson process.
func (b *bench) scheduleArrival(workspace string) {
	rate := workspaces[workspace].RatePerSecond * b.load
	if factor := b.loadFactors[workspace]; factor > 0 {
		rate = workspaces[workspace].RatePerSecond * factor
	}
	interval := -math.Log(1-b.rng.Float64()) / rate
	b.AfterFunc(time.Duration(interval*float64(time.Second)), func() {
		b.scheduleArrival(workspace)
		host := b.pickHost(workspace)
		// Callers retry at the next host if one does not answer.
		for i := 0; i < b.HostCount() && !b.isListed(host); i++ {
			host = (host + 1) % b.HostCount()
		}
		b.Request(host, workspace)
	})
}

// isListed reports whether look-ups name the host: it is up, has had share slots and is not leaving.
func (b *bench) isListed(host int) bool {
	return b.Host(host).IsRunning() && !b.leaving[host] && b.listed[host]
}

// startPlannedStop removes a host from look-ups; it hands over its slots 2 s after the
// look-up TTL of 5 s.
func (b *bench) startPlannedStop(host int) {
	b.leaving[host] = true
	b.AfterFunc(7*time.Second, b.Host(host).Leave)
}

// updateListedHosts periodically adds hosts to look-ups once they have had share slots.
func (b *bench) updateListedHosts() {
	for h := range b.HostCount() {
		b.listed[h] = b.listed[h] || b.Host(h).UsableSlots() > 0
	}
	b.AfterFunc(500*time.Millisecond, b.updateListedHosts)
}

// redirectCallers sends the callers of a region's hosts to other regions after a time.
func (b *bench) redirectCallers(region int, after time.Duration) {
	b.AfterFunc(after, func() {
		b.pickHost = func(string) int {
			for {
				if h := b.anyHost(""); b.Host(h).Region() != region {
					return h
				}
			}
		}
	})
}

func fixedHost(workspace string) int { return int(workspace[1]-'0') % hosts }

func scenarios(hour time.Duration) []scenario {
	const s = time.Second
	return []scenario{
		{name: "calm", duration: 300 * s, setup: func(*bench) {}},
		{name: "each workspace at one host only", duration: 300 * s, setup: func(b *bench) { b.pickHost = fixedHost }},
		{name: "one workspace at 5 times its rate at one host only", duration: 300 * s, setup: func(b *bench) {
			b.loadFactors = map[string]float64{"w0": 5}
			b.pickHost = func(w string) int {
				if w == "w0" {
					return 0
				}
				return b.anyHost(w)
			}
		}, overload: true},
		{name: "a workspace moves from one host to another", duration: 60 * s, setup: func(b *bench) {
			to := 0
			b.pickHost = func(w string) int {
				if w == "w0" {
					return to
				}
				return b.anyHost(w)
			}
			b.AfterFunc(20*s, func() { to = 1 })
		}},
		{name: "a host dies holding tokens", duration: 60 * s, setup: func(b *bench) { b.AfterFunc(10*s, b.Host(1).Crash) }},
		{name: "a host is paused for 20 s and wakes", duration: 60 * s, setup: func(b *bench) { b.AfterFunc(10*s, func() { b.Host(1).Pause(20 * s) }) }},
		{name: "the store is away for an hour", duration: hour, setup: func(b *bench) { b.StoreDown = true }},
		{name: "the fleet grows from 8 to 12 and back", duration: 180 * s, setup: func(b *bench) {
			for i := range 4 {
				b.AfterFunc(10*s+time.Duration(i)*5*s, func() { b.AddHost() })
				b.AfterFunc(90*s+time.Duration(i)*5*s, func() { b.startPlannedStop(hosts + i) })
			}
		}},
		{name: "two regions cannot see each other", duration: 300 * s, setup: func(b *bench) {
			b.Partitioned = func(x, y int) bool { return x != y && x+y == 3 }
		}},
		{name: "a region is isolated for an hour", duration: hour, setup: func(b *bench) {
			b.Partitioned = func(x, y int) bool { return x != y && (x == 2 || y == 2) }
			b.redirectCallers(2, isolationTimeout)
		}},
		{name: "the store's region is lost", duration: 300 * s, setup: func(b *bench) {
			b.StoreDown = true
			for i := range hosts {
				if b.Host(i).Region() == 0 {
					b.Host(i).Crash()
				}
			}
		}},
		{name: "the store is down and a host dies", duration: 300 * s, setup: func(b *bench) {
			b.StoreDown = true
			b.AfterFunc(10*s, b.Host(1).Crash)
		}},
	}
}

// outcome holds the results of one run.
type outcome struct {
	exerciser.Result
	writes         int
	borrows        int
	violations     int
	firstViolation string
}

func runScenario(sc scenario, load float64, staticSplit bool, seed uint64) outcome {
	b := &bench{load: load, rng: rand.New(rand.NewPCG(seed, 3)), leaving: make(map[int]bool), listed: make(map[int]bool), Fleet: exerciser.New(exerciser.Config{
		Seed: seed, Hosts: hosts, Regions: regions, Limits: workspaces, ClockDrift: 0.0001, StaticShares: staticSplit,
	})}
	b.pickHost = b.anyHost
	b.updateListedHosts()
	for w := range len(workspaces) {
		b.AfterFunc(3*time.Second, func() { b.scheduleArrival(fmt.Sprintf("w%d", w)) })
	}
	b.Run(warmUp)
	b.ResetCounts()
	sc.setup(b)
	b.Run(sc.duration)
	c := outcome{Result: b.Results(), writes: b.LedgerWrites, borrows: b.BorrowRequests, violations: len(b.Violations)}
	if c.violations > 0 {
		c.firstViolation = b.Violations[0]
	}
	return c
}

// refusedPercent returns the percentage of requests within the rate that were refused. Above
// the rate, which requests are admitted is arbitrary, so the shortfall counts.
func (c outcome) refusedPercent(overload bool) float64 {
	wrongful := c.WrongfulRefusals
	if overload {
		wrongful = max(0, c.WithinLimit-c.Admitted)
	}
	return 100 * float64(wrongful) / float64(max(1, c.WithinLimit))
}

func main() {
	seed := flag.Uint64("seed", 1, "seed")
	hour := flag.Duration("hour", time.Hour, "length of the scenarios of an hour")
	pattern := flag.String("scenario", "", "run only the scenarios whose names match this regular expression")
	parallel := flag.Int("parallel", 4, "scenarios run at once")
	flag.Parse()
	columns := []struct {
		load        float64
		staticSplit bool
	}{{0.5, false}, {0.5, true}, {0.9, false}, {0.9, true}}
	var selected []scenario
	nameFilter := regexp.MustCompile(*pattern)
	for _, sc := range scenarios(*hour) {
		if nameFilter.MatchString(sc.name) {
			selected = append(selected, sc)
		}
	}
	outcomes := make([][4]outcome, len(selected))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, *parallel)
	for i, sc := range selected {
		for j, col := range columns {
			wg.Go(func() {
				semaphore <- struct{}{}
				outcomes[i][j] = runScenario(sc, col.load, col.staticSplit, *seed)
				<-semaphore
			})
		}
	}
	wg.Wait()
	fmt.Println("| scenario | requests | wrongful at 50 % load | static split | wrongful at 90 % load | static split | ideal refuses at 90 % load | borrows per request at 90 % load | over-admissions | ledger writes |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for i, sc := range selected {
		c, overload := outcomes[i], sc.overload
		fmt.Printf("| %s | %d | %.3f %% | %.3f %% | %.3f %% | %.3f %% | %.3f %% | %.2f | %d | %d |\n", sc.name, c[0].Sent+c[2].Sent,
			c[0].refusedPercent(overload), c[1].refusedPercent(overload), c[2].refusedPercent(overload), c[3].refusedPercent(overload),
			100*float64(c[2].Sent-c[2].WithinLimit)/float64(max(1, c[2].Sent)),
			float64(c[2].borrows)/float64(max(1, c[2].Sent)),
			c[0].OverAdmissions+c[2].OverAdmissions, c[0].writes)
		for _, j := range []int{0, 2} {
			if c[j].violations > 0 {
				fmt.Printf("VIOLATION in %s: %s\n", sc.name, c[j].firstViolation)
			}
		}
	}
}
