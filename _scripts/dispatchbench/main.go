// Command dispatchbench compares schemes for sharing backend servers between hosts,
// in virtual time with fixed seeds. Run: go run ./_scripts/dispatchbench
package main

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/dispatcher"
)

// size is the size of one service in one region of a deployment.
type size struct {
	name                  string
	hosts, servers, slots int
}

// sizes are those of one region, which has a third of the servers and of the (up to 12) hosts.
var sizes = []size{
	{"soevig/dispatch", 4, 10, 3},
	{"soevig/survey", 4, 4, 3},
	{"bollard/order-desk", 4, 7, 4},
	{"bollard/mill-ledger", 4, 4, 3},
}

const (
	// usualServiceTime is the mean of exponentially distributed service times, with a resolution of 1 ms.
	usualServiceTime = 100
	// longServiceTime lets requests outlast a pause that is longer than a lease.
	longServiceTime = 5000
	// oneWayDelay is the delay between availability zones, rounded up from 0.5 ms.
	oneWayDelay = 1
	// warmUp is the unmeasured time in which owners are elected.
	warmUp = 6000
	// faultStart is the time at which a fault begins.
	faultStart = 20000
)

// sim is one run in virtual time.
type sim struct {
	size
	meanServiceTime float64
	rng             *rand.Rand
	now             clock.Millis
	events          map[clock.Millis][]func()
	inUse           []int
	queues          [][]func()
	latencies       []int
	refused         int
	sent            int
	peakExcess      int
	// overloadMillis counts the milliseconds in which any server had more requests than slots.
	overloadMillis int
	// overloadStart and overloadEnd are the first and last such milliseconds.
	overloadStart, overloadEnd clock.Millis
}

func newSim(sz size, seed int64) *sim {
	return &sim{
		size: sz, meanServiceTime: usualServiceTime, rng: rand.New(rand.NewSource(seed)), events: make(map[clock.Millis][]func()),
		inUse: make([]int, sz.servers), queues: make([][]func(), sz.servers),
	}
}

func (s *sim) after(d clock.Millis, f func()) {
	at := s.now + max(1, d)
	s.events[at] = append(s.events[at], f)
}

// serve runs a request at a server, which queues requests in excess of its slots.
func (s *sim) serve(server int, done func()) {
	s.inUse[server]++
	s.peakExcess = max(s.peakExcess, s.inUse[server]-s.slots)
	run := func() {
		s.after(clock.Millis(s.rng.ExpFloat64()*s.meanServiceTime), func() {
			s.inUse[server]--
			if q := s.queues[server]; len(q) > 0 {
				s.queues[server] = q[1:]
				q[0]()
			}
			done()
		})
	}
	if s.inUse[server] > s.slots {
		s.queues[server] = append(s.queues[server], run)
		return
	}
	run()
}

// finish records the latency of a request that arrived after the warm-up.
func (s *sim) finish(arrived clock.Millis) {
	if arrived >= warmUp {
		s.latencies = append(s.latencies, int(s.now-arrived))
	}
}

// scheme dispatches requests that arrive at a host; tick runs every millisecond.
type scheme interface {
	arrive(s *sim, host int)
	tick(s *sim)
}

// run sends Poisson traffic at the given load until the given time.
func (s *sim) run(sch scheme, load float64, until clock.Millis) {
	next := 0.0
	rate := load * float64(s.servers*s.slots) / s.meanServiceTime
	for s.now = 0; s.now < until; s.now++ {
		events := s.events[s.now]
		delete(s.events, s.now)
		for _, f := range events {
			f()
		}
		for next <= float64(s.now) {
			next += s.rng.ExpFloat64() / rate
			if s.now >= warmUp {
				s.sent++
			}
			sch.arrive(s, s.rng.Intn(s.hosts))
		}
		sch.tick(s)
		if slices.Max(s.inUse) > s.slots {
			if s.overloadMillis == 0 {
				s.overloadStart = s.now
			}
			s.overloadMillis++
			s.overloadEnd = s.now
		}
	}
}

func (s *sim) quantile(q float64) int {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[int(q*float64(len(s.latencies)-1))]
}

// ideal is a single queue that knows the state of each slot without delay.
type ideal struct{ waiting []func(server int) }

func (c *ideal) arrive(s *sim, _ int) {
	arrived := s.now
	c.waiting = append(c.waiting, func(server int) { s.serve(server, func() { s.finish(arrived); c.tick(s) }) })
	c.tick(s)
}

func (c *ideal) tick(s *sim) {
	for server := 0; server < s.servers && len(c.waiting) > 0; server++ {
		for s.inUse[server] < s.slots && len(c.waiting) > 0 {
			f := c.waiting[0]
			c.waiting = c.waiting[1:]
			f(server)
		}
	}
}

// localChoice picks the candidate server with the fewest in-flight requests of the same host.
type localChoice struct {
	inFlight   [][]int
	candidates func(s *sim, host int) []int
}

func newLocalChoice(sz size, candidates func(*sim, int) []int) *localChoice {
	c := &localChoice{candidates: candidates}
	for range sz.hosts {
		c.inFlight = append(c.inFlight, make([]int, sz.servers))
	}
	return c
}

func (c *localChoice) arrive(s *sim, host int) {
	arrived, inFlight := s.now, c.inFlight[host]
	best := -1
	for _, i := range c.candidates(s, host) {
		if best < 0 || inFlight[i] < inFlight[best] {
			best = i
		}
	}
	inFlight[best]++
	s.after(oneWayDelay, func() {
		s.serve(best, func() {
			s.after(oneWayDelay, func() { inFlight[best]--; s.finish(arrived) })
		})
	})
}

func (c *localChoice) tick(*sim) {}

// twoRandomServers returns the candidates of power-of-two-choices.
func twoRandomServers(s *sim, _ int) []int { return s.rng.Perm(s.servers)[:2] }

// hostSubset gives each host half of the servers, so that with four hosts each server is in two subsets.
func hostSubset(s *sim, host int) []int {
	var out []int
	for i := range (s.servers + 1) / 2 {
		out = append(out, (host*s.servers/s.hosts+i)%s.servers)
	}
	return out
}

func main() {
	seconds := flag.Int("seconds", 120, "virtual seconds for each case")
	seed := flag.Int64("seed", 1, "seed")
	flag.Parse()
	until := clock.Millis(*seconds) * clock.Second
	fmt.Println("| size | load % | scheme | p50 | p99 | p99.9 | p99 / ideal | refused % | peak above slots | ms above | from | to |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, sz := range sizes {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			idealP99 := 0
			for _, name := range []string{"ideal", "local p2c", "subset", "owner"} {
				s := newSim(sz, *seed)
				s.run(newScheme(name, s, ""), load, until)
				if name == "ideal" {
					idealP99 = s.quantile(0.99)
				}
				s.print(load, name, idealP99)
			}
		}
	}
	for _, sz := range sizes {
		for _, fault := range []string{"host dies", "views differ 3 s", "cut in halves 10 s"} {
			s := newSim(sz, *seed)
			s.run(newScheme("owner", s, fault), 0.8, until)
			s.print(0.8, "owner, "+fault, 0)
		}
		s := newSim(sz, *seed)
		s.meanServiceTime = longServiceTime
		s.run(newScheme("owner", s, "host paused 4 s"), 0.8, until)
		s.print(0.8, "owner, host paused 4 s, requests of 5 s", 0)
	}
}

func newScheme(name string, s *sim, fault string) scheme {
	switch name {
	case "ideal":
		return &ideal{}
	case "local p2c":
		return newLocalChoice(s.size, twoRandomServers)
	case "subset":
		return newLocalChoice(s.size, hostSubset)
	default:
		return newOwnerScheme(s, dispatcher.DefaultRules(), fault)
	}
}

func (s *sim) print(load float64, name string, idealP99 int) {
	ratio := "-"
	if idealP99 > 0 {
		ratio = fmt.Sprintf("%.2f", float64(s.quantile(0.99))/float64(idealP99))
	}
	fmt.Printf("| %s | %.0f | %s | %d | %d | %d | %s | %.2f | %d | %d | %d | %d |\n", s.name, load*100, name,
		s.quantile(0.5), s.quantile(0.99), s.quantile(0.999), ratio,
		100*float64(s.refused)/float64(max(1, s.sent)), s.peakExcess, s.overloadMillis, s.overloadStart, s.overloadEnd)
}
