// Command ratebench measures wrongful refusals and over-admissions of a
// simulated fleet in virtual time and prints a Markdown table.
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
	// standing is the time after which an isolated host refuses keyed requests (design 5.3).
	standing = 10 * time.Second
)

// workspaces are eight, a few of them large.
var workspaces = map[string]limiter.Limit{
	"w0": {RatePerSecond: 200, Burst: 200}, "w1": {RatePerSecond: 100, Burst: 100},
	"w2": {RatePerSecond: 20, Burst: 20}, "w3": {RatePerSecond: 20, Burst: 20},
	"w4": {RatePerSecond: 20, Burst: 20}, "w5": {RatePerSecond: 20, Burst: 20},
	"w6": {RatePerSecond: 20, Burst: 20}, "w7": {RatePerSecond: 20, Burst: 20},
}

// bench is one run of one scenario.
type bench struct {
	*exerciser.Fleet
	load float64
	// rng draws arrivals apart from the fleet's delays, so that runs of one seed
	// have the same arrivals whatever the hosts send to each other.
	rng *rand.Rand
	// host picks the host for a request of a workspace.
	host func(workspace string) int
	// factor multiplies a workspace's load.
	factor map[string]float64
	// leaving and named say which hosts look-ups name.
	leaving, named map[int]bool
}

// scenario is a row of the table.
type scenario struct {
	name  string
	time  time.Duration
	setup func(b *bench)
	// overload says that a workspace sends more than its rate.
	overload bool
}

func (b *bench) anyHost(string) int { return b.rng.IntN(b.HostCount()) }

// arrivals sends a workspace's requests as a Poisson process.
func (b *bench) arrivals(workspace string) {
	rate := workspaces[workspace].RatePerSecond * b.load
	if x := b.factor[workspace]; x > 0 {
		rate = workspaces[workspace].RatePerSecond * x
	}
	gap := -math.Log(1-b.rng.Float64()) / rate
	b.AfterFunc(time.Duration(gap*float64(time.Second)), func() {
		b.arrivals(workspace)
		host := b.host(workspace)
		// Callers go to the next host when one does not answer.
		for i := 0; i < b.HostCount() && !b.serves(host); i++ {
			host = (host + 1) % b.HostCount()
		}
		b.Request(host, workspace)
	})
}

// serves reports whether look-ups name the host: it is live and not leaving.
func (b *bench) serves(host int) bool {
	return b.Host(host).IsRunning() && !b.leaving[host] && b.named[host]
}

// leave makes a planned stop: look-ups stop naming the host, and it hands over
// its slots after the look-up age of 5 s plus 2 s.
func (b *bench) leave(host int) {
	b.leaving[host] = true
	b.AfterFunc(7*time.Second, b.Host(host).Leave)
}

// nameHosts names a host in look-ups once it has had share slots.
func (b *bench) nameHosts() {
	for h := range b.HostCount() {
		b.named[h] = b.named[h] || b.Host(h).UsableSlots() > 0
	}
	b.AfterFunc(500*time.Millisecond, b.nameHosts)
}

// awayFrom sends callers of a region's hosts to other regions after a time.
func (b *bench) awayFrom(region int, after time.Duration) {
	b.AfterFunc(after, func() {
		b.host = func(string) int {
			for {
				if h := b.anyHost(""); b.Host(h).Region() != region {
					return h
				}
			}
		}
	})
}

func oneHost(workspace string) int { return int(workspace[1]-'0') % hosts }

func scenarios(hour time.Duration) []scenario {
	const s = time.Second
	return []scenario{
		{name: "calm", time: 300 * s, setup: func(*bench) {}},
		{name: "each workspace at one host only", time: 300 * s, setup: func(b *bench) { b.host = oneHost }},
		{name: "one workspace at 5 times its rate at one host only", time: 300 * s, setup: func(b *bench) {
			b.factor = map[string]float64{"w0": 5}
			b.host = func(w string) int {
				if w == "w0" {
					return 0
				}
				return b.anyHost(w)
			}
		}, overload: true},
		{name: "a workspace moves from one host to another", time: 60 * s, setup: func(b *bench) {
			to := 0
			b.host = func(w string) int {
				if w == "w0" {
					return to
				}
				return b.anyHost(w)
			}
			b.AfterFunc(20*s, func() { to = 1 })
		}},
		{name: "a host dies holding tokens", time: 60 * s, setup: func(b *bench) { b.AfterFunc(10*s, b.Host(1).Crash) }},
		{name: "a host is paused for 20 s and wakes", time: 60 * s, setup: func(b *bench) { b.AfterFunc(10*s, func() { b.Host(1).Pause(20 * s) }) }},
		{name: "the store is away for an hour", time: hour, setup: func(b *bench) { b.StoreDown = true }},
		{name: "the fleet grows from 8 to 12 and back", time: 180 * s, setup: func(b *bench) {
			for i := range 4 {
				b.AfterFunc(10*s+time.Duration(i)*5*s, func() { b.AddHost() })
				b.AfterFunc(90*s+time.Duration(i)*5*s, func() { b.leave(hosts + i) })
			}
		}},
		{name: "two regions cannot see each other", time: 300 * s, setup: func(b *bench) {
			b.Partitioned = func(x, y int) bool { return x != y && x+y == 3 }
		}},
		{name: "a region is isolated for an hour", time: hour, setup: func(b *bench) {
			b.Partitioned = func(x, y int) bool { return x != y && (x == 2 || y == 2) }
			b.awayFrom(2, standing)
		}},
		{name: "the store's region is lost", time: 300 * s, setup: func(b *bench) {
			b.StoreDown = true
			for i := range hosts {
				if b.Host(i).Region() == 0 {
					b.Host(i).Crash()
				}
			}
		}},
		{name: "the store is down and a host dies", time: 300 * s, setup: func(b *bench) {
			b.StoreDown = true
			b.AfterFunc(10*s, b.Host(1).Crash)
		}},
	}
}

// cell is the outcome of one run.
type cell struct {
	exerciser.Result
	writes     int
	borrows    int
	violations int
	first      string
}

func run(sc scenario, load float64, static bool, seed uint64) cell {
	b := &bench{load: load, rng: rand.New(rand.NewPCG(seed, 3)), leaving: make(map[int]bool), named: make(map[int]bool), Fleet: exerciser.New(exerciser.Config{
		Seed: seed, Hosts: hosts, Regions: regions, Limits: workspaces, ClockDrift: 0.0001, StaticShares: static,
	})}
	b.host = b.anyHost
	b.nameHosts()
	for w := range len(workspaces) {
		b.AfterFunc(3*time.Second, func() { b.arrivals(fmt.Sprintf("w%d", w)) })
	}
	b.Run(warmUp)
	b.ResetCounts()
	sc.setup(b)
	b.Run(sc.time)
	c := cell{Result: b.Results(), writes: b.LedgerWrites, borrows: b.BorrowRequests, violations: len(b.Violations)}
	if c.violations > 0 {
		c.first = b.Violations[0]
	}
	return c
}

// refused is the share of requests within the rate that were refused. Above
// the rate, which requests are admitted is arbitrary, so the shortfall counts.
func (c cell) refused(overload bool) float64 {
	wrong := c.WrongfulRefusals
	if overload {
		wrong = max(0, c.WithinLimit-c.Admitted)
	}
	return 100 * float64(wrong) / float64(max(1, c.WithinLimit))
}

func main() {
	seed := flag.Uint64("seed", 1, "seed")
	hour := flag.Duration("hour", time.Hour, "length of the scenarios of an hour")
	match := flag.String("scenario", "", "run only the scenarios whose names match this regular expression")
	parallel := flag.Int("parallel", 4, "scenarios run at once")
	flag.Parse()
	columns := []struct {
		load   float64
		static bool
	}{{0.5, false}, {0.5, true}, {0.9, false}, {0.9, true}}
	var rows []scenario
	only := regexp.MustCompile(*match)
	for _, sc := range scenarios(*hour) {
		if only.MatchString(sc.name) {
			rows = append(rows, sc)
		}
	}
	cells := make([][4]cell, len(rows))
	var wg sync.WaitGroup
	slots := make(chan struct{}, *parallel)
	for i, sc := range rows {
		for j, col := range columns {
			wg.Go(func() {
				slots <- struct{}{}
				cells[i][j] = run(sc, col.load, col.static, *seed)
				<-slots
			})
		}
	}
	wg.Wait()
	fmt.Println("| scenario | requests | wrongful at 50 % load | static split | wrongful at 90 % load | static split | ideal refuses at 90 % load | borrows per request at 90 % load | over-admissions | ledger writes |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for i, sc := range rows {
		c, overload := cells[i], sc.overload
		fmt.Printf("| %s | %d | %.3f %% | %.3f %% | %.3f %% | %.3f %% | %.3f %% | %.2f | %d | %d |\n", sc.name, c[0].Sent+c[2].Sent,
			c[0].refused(overload), c[1].refused(overload), c[2].refused(overload), c[3].refused(overload),
			100*float64(c[2].Sent-c[2].WithinLimit)/float64(max(1, c[2].Sent)),
			float64(c[2].borrows)/float64(max(1, c[2].Sent)),
			c[0].OverAdmissions+c[2].OverAdmissions, c[0].writes)
		for _, j := range []int{0, 2} {
			if c[j].violations > 0 {
				fmt.Printf("VIOLATION in %s: %s\n", sc.name, c[j].first)
			}
		}
	}
}
