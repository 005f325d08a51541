package forwarder

import (
	"math/rand/v2"
	"testing"
)

// TestLifecycle guards against skipped states and against an outcome that ignores an earlier copy.
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
					assertEqual(t, before, StateSent, "state before RevertSend")
				}
			} else if next := State(rng.IntN(5)); l.Transition(next) {
				if next == StateSent {
					sent++
				}
				back := next == StateAdmitted && (before == StatePermitted || before == StateSent)
				if next != before+1 && !back {
					t.Fatalf("transition from state %d to %d was allowed", before, next)
				}
			} else {
				assertEqual(t, l.State(), before, "state after a refused transition")
			}
			assertEqual(t, l.Outcome() == NotRun, sent == 0, "not_run without copies")
		}
	}
}

// TestRetryBudget guards against retries above the percentage in any prefix of the
// requests, also in a burst after a quiet period.
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
				t.Fatalf("%d retries for %d requests, want at most %d %%", retries, sent, effective)
			}
		}
		burst := 0
		for b.TakeRetry() {
			burst++
		}
		if burst > maxRetryCredit/retryCost {
			t.Errorf("burst of %d retries exceeds maxRetryCredit", burst)
		}
	}
}

// TestSilenceTracker guards against a fault attributed to a server for one silent connection,
// and against a server that is not at fault although all its connections are silent.
func TestSilenceTracker(t *testing.T) {
	s := NewSilenceTracker()
	assertEqual(t, s.RecordSilence("a", 0), false, "server at fault for the first silence")
	s.RecordResponse("a", 100)
	assertEqual(t, s.RecordSilence("a", 50), false, "server at fault although another connection answered since")
	assertEqual(t, s.RecordSilence("a", 150), false, "server at fault for the first silence since the response")
	assertEqual(t, s.RecordSilence("a", 160), true, "server at fault for the second silence in a row")
	assertEqual(t, s.RecordSilence("b", 160), false, "other server at fault")
}
