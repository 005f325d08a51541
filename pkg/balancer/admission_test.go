package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"catkindyke/pkg/clock"
)

// admissionReplay has twice the demand that the slots can answer, in three kinds of requests,
// of which the less urgent ones may wait longer, by 20 workspaces, of which five are large.
type admissionReplay struct {
	*replay
	kinds           []*replayKind
	asked, answered map[string]int
}

func newAdmissionReplay(demand float64, retries int) *admissionReplay {
	a := &admissionReplay{
		replay: newReplay(func(string, clock.Millis) float64 { return demand * baseRate }),
		kinds: []*replayKind{
			{class: "map", priority: 0.1, targetLatency: 250, timeout: 800},
			{class: "tiles", priority: 1.2, targetLatency: 500, timeout: 2000},
			{class: "route", priority: 2.3, targetLatency: 1000, timeout: 4000},
		},
		asked: make(map[string]int), answered: make(map[string]int),
	}
	a.retries = retries
	rng := rand.New(rand.NewPCG(replaySeed, 1))
	a.mix = func() (*replayKind, string) {
		workspace := fmt.Sprintf("w%02d", rng.IntN([]int{5, 20}[rng.IntN(2)]))
		if a.now >= a.countFrom {
			a.asked[workspace]++
		}
		return a.kinds[rng.IntN(len(a.kinds))], workspace
	}
	a.onAnswer = func(call *replayRequest) { call.kind.answered++; a.answered[call.workspace]++ }
	return a
}

// worstTenth returns the fraction of the requests that are answered for the worst-served
// tenth of the workspaces, and the mean of all workspaces.
func (a *admissionReplay) worstTenth() (worst, mean float64) {
	var ratios []float64
	for workspace, n := range a.asked {
		ratios = append(ratios, float64(a.answered[workspace])/float64(n))
	}
	slices.Sort(ratios)
	for i, ratio := range ratios {
		mean += ratio / float64(len(ratios))
		if n := len(ratios) / 10; i < n {
			worst += ratio / float64(n)
		}
	}
	return worst, mean
}

// part returns the fraction of the requests of a kind that are answered.
func (k *replayKind) part() float64 { return float64(k.answered) / float64(k.asked) }

// With twice the demand that the slots can answer, kinds of requests that may wait long must
// not be served more often than urgent ones, which may not, nor some workspaces more often
// than others. Parts vary by 0.01 from draw to draw. The target for all is 0.85 of the ideal.
func TestReplayAdmission(t *testing.T) {
	for _, retries := range []int{0, 2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d retries, seed %d", retries, seed), func(t *testing.T) {
				t.Parallel()
				a := newAdmissionReplay(6.2, retries)
				a.rng = rand.New(rand.NewPCG(seed, 0))
				a.run()
				for i, k := range a.kinds[1:] {
					if urgent := a.kinds[i]; urgent.part() < k.part()-0.02 {
						t.Errorf("%.3f of %s are answered and %.3f of %s, which are less urgent", urgent.part(), urgent.class, k.part(), k.class)
					}
				}
				if worst, mean := a.worstTenth(); worst < mean-0.05 {
					t.Errorf("%.3f of the requests are answered for the worst-served tenth of the workspaces, want at most 0.05 below the mean of %.3f", worst, mean)
				}
				if ratio := float64(a.inTime) / a.idealResponses; ratio < 0.85 {
					t.Errorf("%.3f of the ideal was answered in time, want at least 0.85", ratio)
				}
			})
		}
	}
}
