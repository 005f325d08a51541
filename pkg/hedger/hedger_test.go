package hedger

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"catkindyke/pkg/clock"
)

func assertDelay(t *testing.T, h *Hedger, estimate, low, high clock.Millis) {
	t.Helper()
	earliest, got := h.Delays("look", estimate)
	if got < low || got > high || earliest > got || 2*earliest < 3*estimate {
		t.Errorf("earliest delay of %d and usual delay of %d ms with an estimate of %d ms, want a usual one of %d to %d", earliest, got, estimate, low, high)
	}
}

// Requests that take seven times as long, 3 in 100, must be found, and the others left
// alone whatever the estimate is.
func TestDelay(t *testing.T) {
	h := New()
	assertDelay(t, h, 100, 300, 300)
	for i := range 1000 {
		took := clock.Millis(100 + i%60)
		if i%33 == 0 {
			took = 700
		}
		h.Observe("look", took)
	}
	assertDelay(t, h, 40, 150, 180)
	assertDelay(t, h, 200, 400, 400)
	t.Run("times that have changed", func(t *testing.T) {
		for range 1000 {
			h.Observe("look", 2000)
		}
		assertDelay(t, h, 100, 1900, 2300)
	})
}

// The requests that are given up once a second attempt has answered must not shorten the
// next delays: the share of second attempts would grow by itself.
func TestSupersededAttemptsKeepDelay(t *testing.T) {
	h := New()
	for i := range 5000 {
		took := clock.Millis(100)
		if i%16 == 0 {
			_, usual := h.Delays("look", 30)
			took = min(700, usual+50)
		}
		h.Observe("look", took)
	}
	assertDelay(t, h, 30, 120, 770) // the upper bound of the bucket of 700 ms
}

// The work of second attempts must stay below their share, but for that of the last one,
// however many requests are slow.
func TestShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, requests, started, last := New(), 0, 0.0, 0.0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(rt, "events") {
			if isRequest {
				requests++
				h.CountRequest()
			} else if h.Allows() {
				work := rapid.Float64Range(0.5, 3).Draw(rt, "work")
				h.Spend(100, clock.Millis(100*work))
				started += math.Max(1, work)
				last = math.Max(1, work)
			}
			if started-last+1 > maxShare*float64(requests) && started > 0 {
				rt.Fatalf("second attempts with the work of %.1f requests, beside %d", started, requests)
			}
		}
	})
}
