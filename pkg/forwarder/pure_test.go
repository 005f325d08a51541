package forwarder

import (
	"math/rand/v2"
	"testing"
)

// TestLifecycle guards against a state that is skipped and against an outcome
// that forgets an earlier copy.
func TestLifecycle(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var l Lifecycle
		sent := 0
		for range 20 {
			before := l.State()
			if rng.IntN(5) == 0 {
				if l.RevertSend() {
					sent--
					assertEqual(t, before, StateSent, "state before Unsent")
				}
			} else if next := State(rng.IntN(5)); l.Transition(next) {
				if next == StateSent {
					sent++
				}
				back := next == StateAdmitted && (before == StatePermitted || before == StateSent)
				if next != before+1 && !back {
					t.Fatalf("moved from %d to %d", before, next)
				}
			} else {
				assertEqual(t, l.State(), before, "state after a refused move")
			}
			assertEqual(t, l.Outcome() == NotRun, sent == 0, "not_run without copies")
		}
	}
}

// TestRetryBudget guards against retries above the percentage over any prefix
// of the requests sent, bursts after quiet periods included.
func TestRetryBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, percent := range []uint32{0, 1, 10, 50} {
		var b RetryBudget
		sent, retries := 0, 0
		for range 20000 {
			b.CountRequest(percent)
			sent++
			for rng.IntN(3) == 0 && b.TakeRetry() {
				retries++
			}
			effective := int(percent)
			if effective == 0 {
				effective = defaultRetryPercent
			}
			if retries*100 > sent*effective {
				t.Fatalf("%d retries for %d requests at %d %%", retries, sent, effective)
			}
		}
		burst := 0
		for b.TakeRetry() {
			burst++
		}
		if burst > maxRetryCredit/retryCost {
			t.Errorf("burst of %d retries", burst)
		}
	}
}

// TestSilenceTracker guards against a server that is blamed for one silent connection,
// and against one that stays unblamed when all its connections are silent.
func TestSilenceTracker(t *testing.T) {
	s := NewSilenceTracker()
	assertEqual(t, s.RecordSilence("a", 0), false, "blame for the first silence")
	s.RecordResponse("a", 100)
	assertEqual(t, s.RecordSilence("a", 50), false, "blame when another connection answered since")
	assertEqual(t, s.RecordSilence("a", 150), false, "blame for the first silence since the answer")
	assertEqual(t, s.RecordSilence("a", 160), true, "blame for the second silence in a row")
	assertEqual(t, s.RecordSilence("b", 160), false, "blame of another server")
}
