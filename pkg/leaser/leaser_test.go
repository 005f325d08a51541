package leaser

import (
	"testing"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// newPair returns two members of one region, with 60 slots each, that have read
// the same ledger.
func newPair(omit Rule) (h, r *Leaser) {
	ledger := &schema.Ledger{
		Members: []*schema.Member{
			{Host: "h", Incarnation: 1, Region: "x", Renewals: 1}, {Host: "r", Incarnation: 1, Region: "x", Renewals: 1},
		},
		SlotHolders: make([]uint32, TotalSlots),
	}
	for s := range TotalSlots {
		ledger.SlotHolders[s] = uint32(1 + s%2)
	}
	h = New(Config{Host: "h", Incarnation: 1, Region: "x", Omit: omit})
	r = New(Config{Host: "r", Incarnation: 1, Region: "x", Omit: omit})
	h.HandleLedger(1, ledger, 0)
	r.HandleLedger(1, ledger, 0)
	return h, r
}

// sendHeartbeat sends a heartbeat from h to r, delivers the response and returns
// the heartbeat and the promise.
func sendHeartbeat(h, r *Leaser, seq uint64, contactAge, now clock.Millis) (Heartbeat, schema.PromiseKind) {
	m := Heartbeat{Host: "h", Incarnation: 1, Sequence: seq, HeartbeatFields: h.BuildHeartbeat("r", seq, now)}
	p := r.HandleHeartbeat(m, contactAge, now)
	h.HandleResponse(HeartbeatResponse{Host: "r", Incarnation: 1, Sequence: seq, Sent: now, Promise: p}, now)
	return m, p
}

// lostContactAge is a time without store contact for which promises are holds.
const lostContactAge = clock.Second * 60

// reclaimsSlots reports whether r reclaims the slots of h at the given time, with
// a valid lease of its own and h silent.
func reclaimsSlots(r *Leaser, now clock.Millis) bool {
	r.storeLeaseDeadline = Forever
	a := r.Tick(Input{LiveHosts: map[string]bool{}, ExpectedHosts: 2}, now)
	return a.Write != nil && findMember(a.Write.Ledger, memberID{"h", 1}) == nil
}

// TestStaleReleaseKeepsHold guards against a host that depends on a hold which
// the other side considers released, after a duplicated heartbeat or a late
// response.
func TestStaleReleaseKeepsHold(t *testing.T) {
	repeated := func(omit Rule) bool {
		h, r := newPair(omit)
		first, _ := sendHeartbeat(h, r, 1, lostContactAge, 1000)
		sendHeartbeat(h, r, 2, lostContactAge, 1500)
		r.HandleHeartbeat(first, 0, 2000)
		return h.Deadline() == Forever && reclaimsSlots(r, 60000)
	}
	lateResponse := func(omit Rule) bool {
		h, r := newPair(omit)
		m := Heartbeat{Host: "h", Incarnation: 1, Sequence: 1, HeartbeatFields: h.BuildHeartbeat("r", 1, 1000)}
		p := r.HandleHeartbeat(m, lostContactAge, 1000)
		r.HandleHeartbeat(Heartbeat{Host: "h", Incarnation: 1, Sequence: 2, HeartbeatFields: h.BuildHeartbeat("r", 2, 1500)}, 0, 1500)
		h.HandleResponse(HeartbeatResponse{Host: "r", Incarnation: 1, Sequence: 1, Sent: 1000, Promise: p}, 1600)
		return h.Deadline() > 60000 && reclaimsSlots(r, 60000)
	}
	for name, slotsUsedTwice := range map[string]func(Rule) bool{"repeated": repeated, "late_response": lateResponse} {
		t.Run(name, func(t *testing.T) {
			if slotsUsedTwice(0) {
				t.Error("slots reclaimed from a host that depends on a hold")
			}
			if !slotsUsedTwice(RuleIgnoreStaleRelease) {
				t.Error("no failure with RuleIgnoreStaleRelease switched off")
			}
		})
	}
}

// TestNewMemberCapsLease guards against a lease without an end that continues
// when a new member of the region may already reclaim the slots.
func TestNewMemberCapsLease(t *testing.T) {
	deadline := func(omit Rule) clock.Millis {
		h, r := newPair(omit)
		sendHeartbeat(h, r, 1, lostContactAge, 1000)
		ledger := &schema.Ledger{SlotHolders: h.ledger.GetSlotHolders(), Members: append(
			h.ledger.GetMembers(), &schema.Member{Host: "n", Incarnation: 1, Region: "x", Renewals: 1})}
		h.HandleLedger(2, ledger, 2000)
		h.BuildHeartbeat("n", 2, 2000)
		return h.Deadline()
	}
	if got := deadline(0); got > 2000+LeaseTTL {
		t.Errorf("lease ends at %d, want at most LeaseTTL after 2000", got)
	}
	if deadline(RuleNewMemberCapsLease) <= 2000+LeaseTTL {
		t.Error("no failure with RuleNewMemberCapsLease switched off")
	}
}

// TestHoldDuringStoreOutage guards against a lease that expires during a store
// outage, and against a hold that no lease replaces after the outage.
func TestHoldDuringStoreOutage(t *testing.T) {
	h, r := newPair(0)
	if _, p := sendHeartbeat(h, r, 1, lostContactAge, 1000); p != schema.PromiseKind_PROMISE_KIND_HOLD {
		t.Fatalf("promise %v, want a hold", p)
	}
	if slots, until := h.Share(3600 * clock.Second); slots != 60 || until != Forever {
		t.Errorf("share of %d slots until %d, want 60 until Forever", slots, until)
	}
	sendHeartbeat(h, r, 2, 0, 5000)
	if h.Deadline() != 5000+LeaseTTL {
		t.Errorf("lease ends at %d after the store outage, want LeaseTTL after 5000", h.Deadline())
	}
	sendHeartbeat(h, r, 3, 0, 5500)
	if reclaimsSlots(r, 5500+ReclaimAfter) {
		t.Error("slots reclaimed before the last promise expired")
	}
	if !reclaimsSlots(r, 5500+ReclaimAfter+1) {
		t.Error("the slots of a silent host are never reclaimed")
	}
}

// TestPromiseToNewerMember guards against a member that loses its lease because
// the store failed before the other members read the ledger that it joined in.
func TestPromiseToNewerMember(t *testing.T) {
	_, r := newPair(0)
	m := Heartbeat{Host: "n", Incarnation: 1, Sequence: 1, HeartbeatFields: HeartbeatFields{LedgerVersion: 2, AckedIncarnation: 1}}
	if p := r.HandleHeartbeat(m, lostContactAge, 1000); p != schema.PromiseKind_PROMISE_KIND_HOLD {
		t.Errorf("promise %v to a sender with a later ledger, want a hold", p)
	}
	m.Host, m.LedgerVersion = "gone", 1
	if p := r.HandleHeartbeat(m, lostContactAge, 1000); p != schema.PromiseKind_PROMISE_KIND_NONE {
		t.Errorf("promise %v to a host that is not a member, want none", p)
	}
}

// TestStoreRenewalBlocksReclaim guards against a reclaim from a host that
// renews its lease in the store while it cannot reach the members of its region.
func TestStoreRenewalBlocksReclaim(t *testing.T) {
	reclaimed := func(omit Rule) bool {
		h, r := newPair(omit)
		sendHeartbeat(h, r, 1, 0, 1000)
		renewed := &schema.Ledger{SlotHolders: r.ledger.GetSlotHolders(), Members: []*schema.Member{
			{Host: "h", Incarnation: 1, Region: "x", Renewals: 2}, {Host: "r", Incarnation: 1, Region: "x", Renewals: 1},
		}}
		r.HandleLedger(2, renewed, 11000)
		return reclaimsSlots(r, 1000+ReclaimAfter+2000)
	}
	if reclaimed(0) {
		t.Error("slots reclaimed from a host that renewed its lease 2 s ago")
	}
	if !reclaimed(RuleRenewalBlocksReclaim) {
		t.Error("no failure with RuleRenewalBlocksReclaim switched off")
	}
}

// TestLostHostIsReclaimed guards against slots that stay with a host that an
// operator declared lost, and against a reclaim from a host that is live.
func TestLostHostIsReclaimed(t *testing.T) {
	reclaimed := func(lost, live bool) bool {
		_, r := newPair(0)
		r.ledger.Members[0].Region = "y"
		r.storeLeaseDeadline = Forever
		in := Input{LiveHosts: map[string]bool{"h": live}, LostHosts: map[string]bool{"h": lost}, ExpectedHosts: 2}
		a := r.Tick(in, ReclaimAfter+1)
		return a.Write != nil && findMember(a.Write.Ledger, memberID{"h", 1}) == nil
	}
	if !reclaimed(true, false) {
		t.Error("slots not reclaimed from a lost host")
	}
	if reclaimed(true, true) || reclaimed(false, false) {
		t.Error("slots reclaimed from a host that is live or not declared lost")
	}
}

// TestNextIncarnationTakesOver guards against slots that stay with an earlier
// incarnation of a host, and against an earlier incarnation that takes them back.
func TestNextIncarnationTakesOver(t *testing.T) {
	h, _ := newPair(0)
	successor := New(Config{Host: "h", Incarnation: 2, Region: "x"})
	successor.HandleLedger(1, h.ledger, 0)
	a := successor.Tick(Input{ExpectedHosts: 2}, 0)
	if a.Write == nil || findMember(a.Write.Ledger, memberID{"h", 1}) != nil {
		t.Fatal("the new incarnation did not replace the earlier one")
	}
	successor.HandleWriteOutcome(WriteApplied, 2, 10)
	if slots, _ := successor.Share(10); slots != 0 {
		t.Errorf("%d slots usable on the new incarnation before tokens lent by the earlier one expired, want 0", slots)
	}
	if slots, until := successor.Share(QuiescePeriod); slots != 60 || until <= QuiescePeriod {
		t.Errorf("the new incarnation has %d slots until %d, want 60 slots until after QuiescePeriod", slots, until)
	}
	h.HandleLedger(2, a.Write.Ledger, 20)
	if b := h.Tick(Input{ExpectedHosts: 2}, 20); b.Write != nil || h.Deadline() != 0 {
		t.Error("the earlier incarnation keeps its lease or asks for a write")
	}
}
