package dispatcher

import (
	"fmt"
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// TestEjectionShare guards against ejecting more than a third of the servers.
func TestEjectionShare(t *testing.T) {
	for servers := range 10 {
		d, _ := single(servers, 1, 0, nil)
		for now := clock.Millis(2000); now < 6000; now += 100 {
			for i := range servers {
				d.Health("svc", fmt.Sprintf("s%d", i), true, false, now)
			}
			tickSingle(d, now, nil)
			out := 0
			for _, s := range d.servers {
				if now < s.health.ejected {
					out++
				}
			}
			if 3*out > servers {
				t.Fatalf("%d of %d servers ejected", out, servers)
			}
		}
	}
}

// TestRamp guards against a cold server that gets all of its load at once.
func TestRamp(t *testing.T) {
	var h health
	h.arrive(0)
	for now, want := range map[clock.Millis]int{0: 1, 4999: 1, 5000: 2, 9999: 2, 10000: 3} {
		if got := h.limit(3, now); got != want {
			t.Errorf("at %d: %d slots, want %d", now, got, want)
		}
	}
}

// TestLeaving guards against new permits for a server that says it is leaving.
func TestLeaving(t *testing.T) {
	d, _ := single(1, 3, 0, nil)
	d.Health("svc", "s0", true, true, 2000)
	dec := d.Acquire(Request{Host: "a", Incarnation: 1, ID: "x", Service: "svc", Workspace: "w", Deadline: 9000}, 2000)
	if dec.Reason != ReasonNoServer {
		t.Errorf("decision %+v", dec)
	}
	d.Health("svc", "s0", false, false, 3000)
	if got := d.servers["s0"].health.limit(3, 3000); got != 1 {
		t.Errorf("%d slots after the return, want 1", got)
	}
}

// TestNoOscillation guards against a server that is ejected again for failures
// reported late, from before its return. The trace is logged.
func TestNoOscillation(t *testing.T) {
	if n := ejectionChanges(t, false); n != 2 {
		t.Errorf("%d changes, want one ejection and one return", n)
	}
	if n := ejectionChanges(t, true); n <= 2 {
		t.Errorf("%d changes when late failures count, want more than 2", n)
	}
}

// ejectionChanges counts changes of state; countLate breaks the rule that
// results of permits from before the return are not counted.
func ejectionChanges(t *testing.T, countLate bool) int {
	const lag = 8000
	d, _ := single(3, 1, 0, nil)
	s := d.servers["s0"]
	changes, was := 0, false
	for now := clock.Millis(2000); now < 60000; now += 200 {
		// The server fails for 7 s; each result arrives 8 s after the grant.
		if granted := now - lag; granted >= 2000 {
			r := schema.PermitResult_PERMIT_RESULT_OK
			if granted < 9000 {
				r = schema.PermitResult_PERMIT_RESULT_FAILED
			}
			s.result(r, granted, now)
			d.ejectOutliers(d.pools["svc"], now)
		}
		if countLate {
			s.health.since = 0
		}
		tickSingle(d, now, nil)
		if out := now < s.health.ejected; out != was {
			changes, was = changes+1, out
			t.Logf("t=%d ms ejected=%v", now, out)
		}
	}
	return changes
}
