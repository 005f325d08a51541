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

// TestMain fixes the seed, so that CI gives the same verdict each time.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const faultKinds = 12

// fault is one entry of a schedule.
type fault struct {
	start, duration time.Duration
	kind, host      int
}

func (x fault) String() string {
	return fmt.Sprintf("{%v, %v, %d, %d}", x.start, x.duration, x.kind, x.host)
}

// schedule is a fleet with its faults. All faults end at faultTime.
type schedule struct {
	Config
	faults []fault
}

const (
	faultPeriod    = 60 * time.Second
	recoveryPeriod = 45 * time.Second
)

// drawInt returns a number from lo to hi; name is for reports.
type drawInt func(name string, lo, hi int) int

func drawSchedule(d drawInt) schedule {
	ms := func(name string, lo, hi int) time.Duration { return time.Duration(d(name, lo, hi)) * time.Millisecond }
	s := schedule{Config: Config{
		Seed: uint64(d("seed", 0, 1<<30)), Hosts: d("hosts", 2, 5), Regions: d("regions", 1, 2), ClockDrift: 0.01,
		Limits: map[string]limiter.Limit{"w": {RatePerSecond: 40, Burst: float64(d("burst", 10, 120))}},
	}}
	for range d("faults", 1, 8) {
		s.faults = append(s.faults, fault{
			start: ms("at", 2000, 50000), duration: ms("length", 100, 25000),
			kind: d("kind", 0, faultKinds-1), host: d("host", 0, 4),
		})
	}
	return s
}

// seededDraw returns a draw that depends on the seed only.
func seededDraw(seed uint64) drawInt {
	rng := rand.New(rand.NewPCG(seed, 7))
	return func(_ string, lo, hi int) int { return lo + rng.IntN(hi-lo+1) }
}

// inject starts a fault and plans its end.
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

// scheduleBursts plans bursts above the bucket's, to one host or to all, after
// pauses in which buckets fill.
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

// run plays a schedule and returns the violations of all checkers.
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

// TestSchedules guards against two hosts that use one share slot, against more
// admissions than rate × time + burst in any interval, and against slots that
// stay unused after all failures have ended.
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
