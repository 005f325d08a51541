package exerciser

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkindyke/pkg/limiter"
)

// TestMain sets a fixed seed, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const faultKinds = 12

// fault is one fault of a schedule. The method inject lists the kinds.
type fault struct {
	start, duration time.Duration
	kind, host      int
}

func (x fault) String() string {
	return fmt.Sprintf("{%v, %v, %d, %d}", x.start, x.duration, x.kind, x.host)
}

// schedule is a fleet configuration with faults. All faults end at faultPeriod.
type schedule struct {
	Config
	faults []fault
}

const (
	faultPeriod    = 60 * time.Second
	recoveryPeriod = 45 * time.Second
)

// drawInt returns a random number from lo to hi. The name is shown in failures.
type drawInt func(name string, lo, hi int) int

func drawSchedule(d drawInt) schedule {
	ms := func(name string, lo, hi int) time.Duration { return time.Duration(d(name, lo, hi)) * time.Millisecond }
	s := schedule{Config: Config{
		Seed: uint64(d("seed", 0, 1<<30)), Hosts: d("hosts", 2, 5), Regions: d("regions", 1, 2), ClockDrift: 0.01,
		Limits: map[string]limiter.Limit{"w": {RatePerSecond: 40, Burst: float64(d("burst", 10, 120))}},
	}}
	for range d("faults", 1, 8) {
		s.faults = append(s.faults, fault{
			start: ms("start", 2000, 50000), duration: ms("duration", 100, 25000),
			kind: d("kind", 0, faultKinds-1), host: d("host", 0, 4),
		})
	}
	return s
}

// seededDraw returns a drawInt whose numbers depend only on the seed.
func seededDraw(seed uint64) drawInt {
	rng := rand.New(rand.NewPCG(seed, 7))
	return func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }
}

// inject starts the fault and schedules its end.
func (x fault) inject(f *Fleet) {
	h := f.Host(x.host % f.HostCount())
	end := func(run func()) { f.AfterFunc(min(x.duration, faultPeriod-f.Now()), run) }
	switch x.kind {
	case 0:
		h.Pause(min(x.duration, faultPeriod-f.Now()))
	case 1:
		h.Crash()
		end(h.Restart)
	case 2:
		f.StoreDown = true
		end(func() { f.StoreDown = false })
	case 3:
		f.Partitioned = func(a, b int) bool { return a != b }
		end(func() { f.Partitioned = func(int, int) bool { return false } })
	case 4:
		f.Isolated = func(n int) bool { return n == h.index }
		end(func() { f.Isolated = func(int) bool { return false } })
	case 5:
		f.Faults.LoseResponseProbability = 0.7
		end(func() { f.Faults.LoseResponseProbability = 0 })
	case 6:
		f.Faults.DropProbability = 0.4
		end(func() { f.Faults.DropProbability = 0 })
	case 7:
		f.Faults.DuplicateProbability, f.Faults.DelayProbability, f.Faults.MaxExtraDelay = 0.5, 0.5, 12*time.Second
		end(func() { f.Faults.DuplicateProbability, f.Faults.DelayProbability = 0, 0 })
	case 8:
		f.AddHost()
	case 9:
		h.Leave()
		end(h.Restart)
	case 10:
		f.Partitioned = func(a, b int) bool { return a == 0 || b == 0 }
		end(func() { f.Partitioned = func(int, int) bool { return false } })
	case 11:
		f.Faults.DelayProbability, f.Faults.MaxExtraDelay = 0.6, 300*time.Millisecond
		end(func() { f.Faults.DelayProbability = 0 })
	}
}

// scheduleBursts schedules bursts of 0.5 to 1.5 times the bucket's burst, to one
// host or all, after pauses in which the buckets refill.
func (s schedule) scheduleBursts(f *Fleet) {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	burst := int(s.Limits["w"].Burst)
	for at := time.Second; at < faultPeriod+recoveryPeriod; at += time.Duration(500+rng.IntN(3000)) * time.Millisecond {
		n, host, all := burst/2+rng.IntN(burst), rng.IntN(s.Hosts), rng.IntN(2) == 0
		for i := range n {
			to := host
			if all {
				to = (host + i) % s.Hosts
			}
			f.AfterFunc(at+time.Duration(i)*2*time.Millisecond, func() { f.Request(to, "w") })
		}
	}
}

// run simulates the schedule and returns all violations, including slots that
// are not usable after the recovery period.
func (s schedule) run() []string {
	f := New(s.Config)
	for _, x := range s.faults {
		f.AfterFunc(x.start, func() { x.inject(f) })
	}
	s.scheduleBursts(f)
	f.Run(faultPeriod)
	f.Faults, f.StoreDown = Faults{}, false
	for _, h := range f.hosts {
		h.Restart()
	}
	f.Run(recoveryPeriod)
	if got := f.UsableSlots(); got != limiter.TotalSlots {
		f.recordViolation("usable_slots: %d of %d usable after all faults ended", got, limiter.TotalSlots)
	}
	return f.Violations
}

// TestSchedules guards against two hosts that use the same share slot, against
// more admissions than rate × time + burst in any interval, and against slots
// that stay unusable after all faults have ended.
func TestSchedules(t *testing.T) {
	t.Run("rapid", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			d := func(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, name) }
			if v := drawSchedule(d).run(); len(v) > 0 {
				t.Fatalf("%v", v)
			}
		})
	})
	for shard := range uint64(seedShards) {
		t.Run(fmt.Sprintf("seeds_%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < scheduleCount; seed += seedShards {
				s := drawSchedule(seededDraw(seed))
				if v := s.run(); len(v) > 0 {
					t.Fatalf("seed %d: %v\n%+v", seed, v, s)
				}
			}
		})
	}
}

const seedShards = 8
