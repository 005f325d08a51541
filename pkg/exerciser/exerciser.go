// Package exerciser simulates the leasers and limiters of a fleet in virtual
// time, with random faults from a seed. It is used only by tests and benchmarks.
package exerciser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
	"catkindyke/pkg/schema"
)

const (
	// The message delays are one way, as in the two deployments.
	sameRegionDelay   = 500 * time.Microsecond
	crossRegionDelay  = 20 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	pollInterval      = time.Second
	storeTimeout      = 2 * time.Second
)

// Config configures a simulated fleet.
type Config struct {
	Seed    uint64
	Hosts   int
	Regions int
	// StoreRegion is the region of the store.
	StoreRegion int
	Limits      map[string]limiter.Limit
	// ClockDrift is the largest relative deviation of a host's clock rate, such
	// as 0.01.
	ClockDrift float64
	// StaticShares gives each started host an equal share and disables lending.
	StaticShares bool
	// OmitLeaserRules and OmitLimiterRules disable rules, to test that the
	// simulation detects the consequences.
	OmitLeaserRules  leaser.Rule
	OmitLimiterRules limiter.Rule
}

// Faults configures random faults.
type Faults struct {
	// DropProbability and DuplicateProbability apply to each message between
	// hosts, DelayProbability also to calls of the store and their responses.
	DropProbability, DuplicateProbability, DelayProbability float64
	// MaxExtraDelay is the largest extra delay of a delayed message.
	MaxExtraDelay time.Duration
	// LoseResponseProbability is the probability that the response to a store
	// call is lost after the call took effect.
	LoseResponseProbability float64
}

// Fleet is a simulated fleet.
type Fleet struct {
	cfg             Config
	rng             *rand.Rand
	now             time.Duration
	queue           eventQueue
	lastEventNumber uint64
	hosts           []*Host
	audits          map[string]*audit

	// Faults may be changed at any time.
	Faults Faults
	// StoreDown makes calls to the store fail without a response.
	StoreDown bool
	// Partitioned reports whether messages from one region to another are dropped.
	Partitioned func(from, to int) bool
	// Isolated reports whether all messages from and to a host are dropped.
	Isolated func(host int) bool
	// LostHosts are the names of hosts that an operator declared lost.
	LostHosts map[string]bool
	// Violations describes the first 20 violations of the invariants: no slot is
	// usable by two hosts, and no bucket admits more than rate × time + burst.
	Violations []string
	// LedgerWrites counts the ledger writes that reached the store, conflicts
	// included.
	LedgerWrites int
	// BorrowRequests counts the borrow requests that hosts have sent.
	BorrowRequests int

	ledgerVersion uint64
	ledger        *schema.Ledger
}

type event struct {
	due    time.Duration
	number uint64
	run    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].number < e[j].number
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// New returns a fleet whose hosts start within the first second.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), ledger: &schema.Ledger{}, LostHosts: make(map[string]bool),
		audits:      make(map[string]*audit),
		Partitioned: func(int, int) bool { return false }, Isolated: func(int) bool { return false },
	}
	for name, limit := range cfg.Limits {
		f.audits[name] = newAudit(limit, cfg.ClockDrift)
	}
	for range cfg.Hosts {
		f.AddHost()
	}
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// Rand returns the fleet's random number generator.
func (f *Fleet) Rand() *rand.Rand { return f.rng }

// HostCount returns the number of hosts added so far, also of stopped ones.
func (f *Fleet) HostCount() int { return len(f.hosts) }

// Host returns the host with the given index.
func (f *Fleet) Host(n int) *Host { return f.hosts[n] }

// AfterFunc calls run after a delay. Calls due at the same time run in the order
// in which they were scheduled.
func (f *Fleet) AfterFunc(delay time.Duration, run func()) {
	f.lastEventNumber++
	heap.Push(&f.queue, event{f.now + delay, f.lastEventNumber, run})
}

// Run advances the virtual time by d and runs all events due until then.
func (f *Fleet) Run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].due <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.due
		e.run()
	}
	f.now = end
}

// AddHost adds a host that starts within a second, and returns its index.
func (f *Fleet) AddHost() int {
	n := len(f.hosts)
	h := &Host{fleet: f, index: n, name: fmt.Sprintf("h%02d", n), region: n % f.cfg.Regions}
	h.clockRate = 1 + f.cfg.ClockDrift*(2*f.rng.Float64()-1)
	f.hosts = append(f.hosts, h)
	f.AfterFunc(time.Duration(f.rng.IntN(int(time.Second))), h.Restart)
	return n
}

func (f *Fleet) drawMessageDelay(from, to int) time.Duration {
	d := sameRegionDelay
	if from != to {
		d = crossRegionDelay
	}
	if f.rng.Float64() < f.Faults.DelayProbability {
		d += time.Duration(f.rng.Float64() * float64(f.Faults.MaxExtraDelay))
	}
	return d
}

// send delivers a message from one host to another, unless it is dropped.
func (f *Fleet) send(from, to *Host, run func()) {
	if f.Partitioned(from.region, to.region) || f.Isolated(from.index) || f.Isolated(to.index) || f.rng.Float64() < f.Faults.DropProbability {
		return
	}
	copies := 1
	if f.rng.Float64() < f.Faults.DuplicateProbability {
		copies = 2
	}
	for range copies {
		f.AfterFunc(f.drawMessageDelay(from.region, to.region), func() { to.deliver(to.incarnation, run) })
	}
}

// callStore calls the store. It runs handle there and then, at the host, the
// function that handle returned.
func (f *Fleet) callStore(h *Host, handle func() func()) {
	if f.Partitioned(h.region, f.cfg.StoreRegion) || f.Isolated(h.index) {
		return
	}
	incarnation := h.incarnation
	f.AfterFunc(f.drawMessageDelay(h.region, f.cfg.StoreRegion), func() {
		if f.StoreDown {
			return
		}
		respond := handle()
		if f.rng.Float64() < f.Faults.LoseResponseProbability || f.Partitioned(h.region, f.cfg.StoreRegion) || f.Isolated(h.index) {
			return
		}
		f.AfterFunc(f.drawMessageDelay(h.region, f.cfg.StoreRegion), func() { h.deliver(incarnation, respond) })
	})
}

// putLedger writes the ledger if its version matches, and then makes all hosts
// read it, as their watches do.
func (f *Fleet) putLedger(w *leaser.LedgerWrite) (uint64, bool) {
	f.LedgerWrites++
	if w.IfVersion != f.ledgerVersion {
		return 0, false
	}
	f.ledgerVersion++
	f.ledger = proto.Clone(w.Ledger).(*schema.Ledger)
	for _, h := range f.hosts {
		h.readLedger()
	}
	return f.ledgerVersion, true
}

func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.Violations) < 20 {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
	}
}

// toHostClock converts virtual time to the time of a clock with the given rate.
func toHostClock(t time.Duration, clockRate float64) clock.Millis {
	return clock.Millis(float64(t) * clockRate / float64(time.Millisecond))
}
