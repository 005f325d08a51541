package exerciser

import (
	"strings"
	"testing"
	"time"

	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
)

// TestCheckersDetectBrokenRules guards against checkers that miss a broken rule.
// It disables one rule at a time; the tests of pkg/leaser and pkg/limiter disable
// the others. Each seed is the first whose schedule shows the violation. The same
// schedule passes with the rule enabled.
func TestCheckersDetectBrokenRules(t *testing.T) {
	for _, m := range []struct {
		name, checker string
		lease         leaser.Rule
		loan          limiter.Rule
		seed          uint64
	}{
		{name: "debit_before_move", checker: "usable by", lease: leaser.RuleDebitBeforeMove, seed: 0},
		{name: "wait_for_promise_end", checker: "usable by", lease: leaser.RuleWaitForPromiseEnd, seed: 1},
		{name: "ack_required", checker: "usable by", lease: leaser.RuleAckRequired, seed: 175},
		{name: "hold_blocks_reclaim", checker: "usable by", lease: leaser.RuleHoldBlocksReclaim, seed: 4},
		{name: "no_promise_after_reclaim", checker: "usable by", lease: leaser.RuleNoPromiseAfterReclaim, seed: 80},
		{name: "required_until_removed", checker: "usable by", lease: leaser.RuleRequiredUntilRemoved, seed: 1},
		{name: "promise_from_send_time", checker: "usable by", lease: leaser.RulePromiseFromSendTime, seed: 94},
		{name: "ignore_stale_read", checker: "usable by", lease: leaser.RuleIgnoreStaleRead, seed: 2},
		{name: "track_unknown_write", checker: "usable by", lease: leaser.RuleTrackUnknownWrite, seed: 50},
		{name: "credit_once", checker: "above rate", loan: limiter.RuleCreditOnce, seed: 272},
		{name: "check_deadline", checker: "above rate", loan: limiter.RuleCheckDeadline, seed: 37},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			s := drawSchedule(seededDraw(m.seed))
			if v := s.run(); len(v) > 0 {
				t.Errorf("violations with all rules enabled: %v", v)
			}
			s.OmitLeaserRules, s.OmitLimiterRules = m.lease, m.loan
			if v := s.run(); !strings.Contains(strings.Join(v, "\n"), m.checker) {
				t.Errorf("no checker detected that rule %s is disabled; violations: %v", m.name, v)
			}
		})
	}
}

// TestSilentMembersStayRequired guards against a rule by which a host that cannot
// reach the store stops requiring promises from silent members of its region. If
// the host itself is isolated, the others reach the store and reclaim its slots
// while it uses them.
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
			t.Errorf("rules %d disabled: got violations %q, want %q", m.omit, v, m.checker)
		}
		if m.omit == 0 && (f.Host(1).UsableSlots() != 0 || f.UsableSlots() != limiter.TotalSlots) {
			t.Errorf("got %d usable slots at the host that is cut off and %d in the fleet, want 0 and all", f.Host(1).UsableSlots(), f.UsableSlots())
		}
	}
}
