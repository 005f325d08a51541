package exerciser

import (
	"strings"
	"testing"
	"time"

	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
)

// TestCheckersDetectBrokenRules breaks rules once each (the others are broken in the tests
// of pkg/leaser and pkg/limiter) and guards against checkers that
// would let it pass. The seeds are the first that show the fault; the same
// schedules pass without the mutation.
func TestCheckersDetectBrokenRules(t *testing.T) {
	for _, m := range []struct {
		name, checker string
		lease         leaser.Rule
		loan          limiter.Rule
		seed          uint64
	}{
		{name: "debit_first", checker: "usable by", lease: leaser.RuleDebitBeforeMove, seed: 0},
		{name: "promise_wait", checker: "usable by", lease: leaser.RuleWaitForPromiseEnd, seed: 1},
		{name: "ack_needed", checker: "usable by", lease: leaser.RuleAckRequired, seed: 175},
		{name: "hold_blocks", checker: "usable by", lease: leaser.RuleHoldBlocksReclaim, seed: 4},
		{name: "no_promise_after_reclaim", checker: "usable by", lease: leaser.RuleNoPromiseAfterReclaim, seed: 80},
		{name: "required_until_read", checker: "usable by", lease: leaser.RuleRequiredUntilRemoved, seed: 1},
		{name: "count_from_send", checker: "usable by", lease: leaser.RulePromiseFromSendTime, seed: 94},
		{name: "stale_read", checker: "usable by", lease: leaser.RuleIgnoreStaleRead, seed: 2},
		{name: "unknown_write", checker: "usable by", lease: leaser.RuleTrackUnknownWrite, seed: 50},
		{name: "credit_once", checker: "above rate", loan: limiter.RuleCreditOnce, seed: 272},
		{name: "check_deadline", checker: "above rate", loan: limiter.RuleCheckDeadline, seed: 37},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			s := drawSchedule(seededDraw(m.seed))
			if v := s.run(); len(v) > 0 {
				t.Errorf("fault without a mutation: %v", v)
			}
			s.OmitLeaserRules, s.OmitLimiterRules = m.lease, m.loan
			if v := s.run(); !strings.Contains(strings.Join(v, "\n"), m.checker) {
				t.Errorf("no checker noticed that rule %s is broken; violations %v", m.name, v)
			}
		})
	}
}

// TestSilentMembersStayRequired guards against a rule by which a host without
// the store excludes members of its region that went silent: when it is the
// host that is cut off, the others reach the store and reclaim its slots.
func TestSilentMembersStayRequired(t *testing.T) {
	for _, m := range []struct {
		omit    leaser.Rule
		checker string
	}{{0, ""}, {leaser.RuleRequiredUntilRemoved, "usable by"}} {
		f := New(Config{
			Seed: 1, Hosts: 6, Regions: 2, OmitLeaserRules: m.omit,
			Limits: map[string]limiter.Limit{"w": {RatePerSecond: 40, Burst: 40}},
		})
		f.Run(30 * time.Second)
		f.Isolated = func(n int) bool { return n == 1 }
		f.Run(time.Minute)
		v := strings.Join(f.Violations, "\n")
		if m.checker == "" && v != "" || !strings.Contains(v, m.checker) {
			t.Errorf("rules omitted %d: violations %q, want %q", m.omit, v, m.checker)
		}
		if m.omit == 0 && (f.Host(1).UsableSlots() != 0 || f.UsableSlots() != limiter.TotalSlots) {
			t.Errorf("%d slots at the host that is cut off, %d usable in the fleet", f.Host(1).UsableSlots(), f.UsableSlots())
		}
	}
}
