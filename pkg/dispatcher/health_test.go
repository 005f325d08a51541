package dispatcher

import (
	"fmt"
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// tooManyEjected fails all servers and reports whether more than a third is ejected at once.
func tooManyEjected(rules Rules) bool {
	for servers := range 10 {
		d, _ := newSingleHostWithRules(rules, servers, 1, 0, nil)
		for now := clock.Millis(2000); now < 6000; now += 100 {
			for i := range servers {
				d.RecordHealthCheck("svc", fmt.Sprintf("s%d", i), true, false, now)
			}
			stepSingleHost(d, now, nil)
			ejected := 0
			for _, s := range d.servers {
				if now < s.health.ejectedUntil {
					ejected++
				}
			}
			if 3*ejected > servers {
				return true
			}
		}
	}
	return false
}

// rampTooFast lets a server with three slots return and reports whether its limit
// deviates from a ramp of 10 s.
func rampTooFast(rules Rules) bool {
	d, _ := newSingleHostWithRules(rules, 1, 3, 0, nil)
	d.RecordHealthCheck("svc", "s0", true, true, 2000)
	d.RecordHealthCheck("svc", "s0", false, false, 3000)
	for after, want := range map[clock.Millis]int{0: 1, 4999: 1, 5000: 2, 9999: 2, 10000: 3} {
		if d.servers["s0"].health.slotLimit(3, 3000+after) != want {
			return true
		}
	}
	return false
}

// grantsAfterRelease reports whether an Acquire that arrives after its Release gets a slot.
func grantsAfterRelease(rules Rules) bool {
	d, _ := newSingleHostWithRules(rules, 1, 1, 0, nil)
	d.Release("x", schema.PermitResult_PERMIT_RESULT_UNUSED, 0, 2000)
	stepSingleHost(d, 5000, nil)
	d.Acquire(Request{Host: "a", Incarnation: 1, ID: "x", Service: "svc", Workspace: "w", Deadline: 9000}, 5000)
	d.Step(5000)
	return d.servers["s0"].inUse > 0
}

// TestServerRules guards against ejecting more than a third of the servers, against
// giving a cold server its full load at once, and against a late Acquire that takes
// a slot which nobody uses. Each check must fail when its rule is broken.
func TestServerRules(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken func(Rules) bool
		mutate func(*Rules)
	}{
		{"ejection_share", tooManyEjected, func(r *Rules) { r.EjectionDivisor = 2 }},
		{"ramp", rampTooFast, func(r *Rules) { r.RampTime = 1 }},
		{"tombstones", grantsAfterRelease, func(r *Rules) { r.TombstoneTTL = 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := DefaultRules()
			if tc.broken(rules) {
				t.Error("check fails with the default rules")
			}
			tc.mutate(&rules)
			if !tc.broken(rules) {
				t.Error("check passes although the rule is broken")
			}
		})
	}
}

// TestLeavingServerGetsNoPermits guards against new permits for a server that reports that it is leaving.
func TestLeavingServerGetsNoPermits(t *testing.T) {
	d, _ := newSingleHost(1, 3, 0, nil)
	d.RecordHealthCheck("svc", "s0", true, true, 2000)
	dec := d.Acquire(Request{Host: "a", Incarnation: 1, ID: "x", Service: "svc", Workspace: "w", Deadline: 9000}, 2000)
	if dec.Reason != ReasonNoServer {
		t.Errorf("decision %+v, want a refusal with reason no_server", dec)
	}
	d.RecordHealthCheck("svc", "s0", false, false, 3000)
	if got := d.servers["s0"].health.slotLimit(3, 3000); got != 1 {
		t.Errorf("%d slots after the return, want 1", got)
	}
}

// TestLateFailuresDoNotEjectAgain guards against a server that is ejected again for
// failures from before its return that are reported late. The changes are logged.
func TestLateFailuresDoNotEjectAgain(t *testing.T) {
	if n := countEjectionChanges(t, false); n != 2 {
		t.Errorf("%d changes, want one ejection and one return", n)
	}
	if n := countEjectionChanges(t, true); n <= 2 {
		t.Errorf("%d changes when late failures are counted, want more than 2", n)
	}
}

// countEjectionChanges returns how often a server is ejected or returns. countLate
// breaks the rule that results of permits from before the return are not counted.
func countEjectionChanges(t *testing.T, countLate bool) int {
	const resultDelay = 8000
	d, _ := newSingleHost(3, 1, 0, nil)
	s := d.servers["s0"]
	changes, wasEjected := 0, false
	for now := clock.Millis(2000); now < 60000; now += 200 {
		// The server fails for 7 s; each result arrives 8 s after the grant.
		if granted := now - resultDelay; granted >= 2000 {
			r := schema.PermitResult_PERMIT_RESULT_OK
			if granted < 9000 {
				r = schema.PermitResult_PERMIT_RESULT_FAILED
			}
			s.handleResult(r, granted, now)
			d.ejectOutliers(d.pools["svc"], now)
		}
		if countLate {
			s.health.countedSince = 0
		}
		stepSingleHost(d, now, nil)
		if ejected := now < s.health.ejectedUntil; ejected != wasEjected {
			changes, wasEjected = changes+1, ejected
			t.Logf("t=%d ms ejected=%v", now, ejected)
		}
	}
	return changes
}
