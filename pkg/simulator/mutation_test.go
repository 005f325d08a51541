package simulator

import (
	"strings"
	"testing"

	"catkindyke/pkg/leaser"
	"catkindyke/pkg/limiter"
)

// mutationSeeds bounds the schedules tried for each mutation.
const mutationSeeds = 3000

// TestCheckersNotice breaks each rule once and guards against checkers that
// would let it pass.
func TestCheckersNotice(t *testing.T) {
	for _, m := range []struct {
		name, checker string
		lease         leaser.Rule
		loan          limiter.Rule
	}{
		{name: "debit_first", checker: "usable by", lease: leaser.RuleDebitFirst},
		{name: "promise_wait", checker: "usable by", lease: leaser.RulePromiseWait},
		{name: "ack_wait", checker: "usable by", lease: leaser.RuleAckWait},
		{name: "ack_needed", checker: "usable by", lease: leaser.RuleAckNeeded},
		{name: "hold_blocks", checker: "usable by", lease: leaser.RuleHoldBlocks},
		{name: "record_wait", checker: "usable by", lease: leaser.RuleRecordWait},
		{name: "no_promise_after_reclaim", checker: "usable by", lease: leaser.RuleNoPromiseAfterReclaim},
		{name: "required_until_read", checker: "usable by", lease: leaser.RuleRequiredUntilRead},
		{name: "count_from_send", checker: "usable by", lease: leaser.RuleCountFromSend},
		{name: "stale_read", checker: "usable by", lease: leaser.RuleStaleRead},
		{name: "stale_release", checker: "usable by", lease: leaser.RuleStaleRelease},
		{name: "unknown_write", checker: "usable by", lease: leaser.RuleUnknownWrite},
		{name: "new_member_cap", checker: "usable by", lease: leaser.RuleNewMemberCap},
		{name: "debit_loan", checker: "above rate", loan: limiter.RuleDebitLoan},
		{name: "reserve_loan", checker: "above rate", loan: limiter.RuleReserveLoan},
		{name: "sequence", checker: "above rate", loan: limiter.RuleSequence},
		{name: "late_answer", checker: "above rate", loan: limiter.RuleLateAnswer},
		{name: "credit_once", checker: "above rate", loan: limiter.RuleCreditOnce},
		{name: "cap_credit", checker: "above rate", loan: limiter.RuleCapCredit},
		{name: "lapse", checker: "above rate", loan: limiter.RuleLapse},
		{name: "lender_lease", checker: "above rate", loan: limiter.RuleLenderLease},
		{name: "check_deadline", checker: "above rate", loan: limiter.RuleCheckDeadline},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSeeds) {
				s := drawSchedule(seeded(seed))
				s.OmitLease, s.OmitLoan = m.lease, m.loan
				if v := s.run(); strings.Contains(strings.Join(v, "\n"), m.checker) {
					t.Logf("seed %d: %s", seed, v[0])
					return
				}
			}
			t.Errorf("no checker noticed that rule %s is broken", m.name)
		})
	}
}
