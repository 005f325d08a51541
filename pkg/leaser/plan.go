package leaser

import (
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// LedgerWrite is a conditional write of the ledger.
type LedgerWrite struct {
	// IfVersion is the stored version that the write replaces. The store
	// rejects the write when it has another one.
	IfVersion uint64
	Ledger    *schema.Ledger
}

// Input holds what Tick needs besides the ledger.
type Input struct {
	// StoreContactAge is the time since the last contact with the store.
	StoreContactAge clock.Millis
	// LiveHosts are the other hosts that send heartbeats and are not leaving.
	LiveHosts map[string]bool
	// LostHosts are the hosts that an operator has declared lost.
	LostHosts map[string]bool
	// ExpectedHosts is the number of hosts that send heartbeats or that the
	// platform lists.
	ExpectedHosts int
}

// Action is the store access that the caller should carry out.
type Action struct {
	// ReadLedger asks for a read of the ledger.
	ReadLedger bool
	// Write is a write to send, or nil. Its outcome goes to HandleWriteOutcome.
	Write *LedgerWrite
}

// WriteOutcome is the outcome of a ledger write.
type WriteOutcome int

// The outcomes of a write.
const (
	// WriteApplied means that the write took effect.
	WriteApplied WriteOutcome = iota
	// WriteConflict means that the stored ledger has another version.
	WriteConflict
	// WriteUnknown means that no response arrived. The write may still take effect.
	WriteUnknown
)

// ledgerDraft is a modified copy of the ledger, to be written.
type ledgerDraft struct {
	*schema.Ledger
	changed          bool
	kind             string
	slots            int
	reclaimedMembers []memberID
}

// Leave starts the hand-over of all slots, which is complete when IsMember
// returns false.
func (l *Leaser) Leave(now clock.Millis) {
	if l.leaving {
		return
	}
	l.leaving = true
	l.debitSlots(l.ownedSlots(), now)
}

// debitSlots stops the use of slots that will move to other members.
func (l *Leaser) debitSlots(slots []int, now clock.Millis) {
	for _, s := range slots {
		l.debitedSlots[s] = true
	}
	l.lastDebitAt = now
}

// Tick returns the next action. It is called at every heartbeat interval and
// after each ledger read.
func (l *Leaser) Tick(in Input, now clock.Millis) Action {
	if !l.hasLedger {
		return Action{ReadLedger: true}
	}
	if l.omits(RuleRequiredUntilRemoved) {
		for id := range l.requiredPromises {
			if !in.LiveHosts[id.host] {
				delete(l.requiredPromises, id)
			}
		}
	}
	if p := l.pending; p != nil && (!p.needsRead || now-p.sentAt < writeRetryInterval) {
		return Action{ReadLedger: p.needsRead}
	}
	d := l.buildDraft(in, now)
	if !d.changed && l.pending == nil {
		return Action{}
	}
	return Action{ReadLedger: l.pending != nil, Write: l.startWrite(d, now)}
}

// buildDraft returns the ledger with the changes that this host should write.
func (l *Leaser) buildDraft(in Input, now clock.Millis) *ledgerDraft {
	d := &ledgerDraft{Ledger: proto.Clone(l.ledger).(*schema.Ledger), kind: "lease_renewed_by_store"}
	if len(d.SlotHolders) != TotalSlots {
		d.SlotHolders = make([]uint32, TotalSlots)
	}
	l.trackFreeSlots(d, now)
	if l.leaving {
		l.handOverSlots(d, in, now)
		return d
	}
	if !l.joinLedger(d) {
		return d
	}
	for _, m := range l.ledger.GetMembers() {
		if idOf(m) != l.selfID() && m.GetHost() != l.cfg.Host && l.mayReclaim(m, in, now) {
			d.reclaimedMembers = append(d.reclaimedMembers, idOf(m))
			d.removeMember(idOf(m))
			d.changed = true
		}
	}
	l.claimFreeSlots(d, in, now)
	l.moveSurplus(d, in, now)
	if l.IsMember() && l.Deadline()-now < minRemainingLease && l.pending == nil {
		d.changed = true
	}
	return d
}

// startWrite records the draft as the pending write. If an earlier write on the
// same version has an unknown outcome, the members that it may still reclaim
// from are carried over.
func (l *Leaser) startWrite(d *ledgerDraft, now clock.Millis) *LedgerWrite {
	if m := findMember(d.Ledger, l.selfID()); m != nil {
		l.renewalCount = max(l.renewalCount, m.GetRenewals()) + 1
		m.Renewals = l.renewalCount
	}
	p := &pendingWrite{
		LedgerWrite: LedgerWrite{IfVersion: l.ledgerVersion, Ledger: d.Ledger}, sentAt: now,
		reclaimedMembers: d.reclaimedMembers, kind: d.kind, slots: d.slots,
	}
	if l.pending != nil {
		p.reclaimedMembers = append(p.reclaimedMembers, l.pending.reclaimedMembers...)
	}
	l.pending = p
	return &LedgerWrite{IfVersion: p.IfVersion, Ledger: proto.Clone(d.Ledger).(*schema.Ledger)}
}

// HandleWriteOutcome processes the outcome of the pending write. After a
// conflict the write stays pending until a later version is read, because an
// earlier write on the same version may have taken effect.
func (l *Leaser) HandleWriteOutcome(o WriteOutcome, version uint64, now clock.Millis) {
	p := l.pending
	if p == nil {
		return
	}
	if o == WriteApplied {
		l.HandleLedger(version, p.Ledger, now)
		return
	}
	p.needsRead = true
	if l.omits(RuleTrackUnknownWrite) {
		l.pending = nil
		clear(l.debitedSlots)
	}
}

// joinLedger adds the host as a member, or replaces its earlier incarnation. It
// returns false when a later incarnation of the host is a member.
func (l *Leaser) joinLedger(d *ledgerDraft) bool {
	for _, m := range d.Members {
		if m.GetHost() != l.cfg.Host {
			continue
		}
		if m.GetIncarnation() < l.cfg.Incarnation {
			m.Incarnation, m.Region, m.Renewals = l.cfg.Incarnation, l.cfg.Region, 0
			d.note("slots_taken_over", 0)
		}
		return m.GetIncarnation() == l.cfg.Incarnation
	}
	d.Members = append(d.Members, &schema.Member{
		Host: l.cfg.Host, Incarnation: l.cfg.Incarnation, Region: l.cfg.Region,
	})
	d.note("ledger_joined", 0)
	return true
}

func (d *ledgerDraft) note(kind string, slots int) {
	d.changed, d.kind, d.slots = true, kind, slots
}

func (d *ledgerDraft) memberIndex(id memberID) int {
	for i, m := range d.Members {
		if idOf(m) == id {
			return i + 1
		}
	}
	return 0
}

// removeMember removes a member and frees its slots.
func (d *ledgerDraft) removeMember(id memberID) {
	index := d.memberIndex(id)
	d.Members = append(d.Members[:index-1], d.Members[index:]...)
	for s, h := range d.SlotHolders {
		if int(h) == index {
			d.SlotHolders[s] = 0
		} else if int(h) > index {
			d.SlotHolders[s]--
		}
	}
}

func (d *ledgerDraft) slotCounts() []int {
	n := make([]int, len(d.Members)+1)
	for _, h := range d.SlotHolders {
		n[h]++
	}
	return n
}

// trackFreeSlots records since when the ledger has had free slots.
func (l *Leaser) trackFreeSlots(d *ledgerDraft, now clock.Millis) {
	free := d.slotCounts()[0] > 0
	if free && !l.hasFreeSlots {
		l.freeSince = now
	}
	l.hasFreeSlots = free
}

// expectedHostWait is how long free slots are left for hosts that are expected
// but not yet members.
const expectedHostWait = 3 * clock.Second

// claimFreeSlots takes free slots up to an equal share, rounded up.
func (l *Leaser) claimFreeSlots(d *ledgerDraft, in Input, now clock.Millis) {
	members := len(d.Members)
	if now-l.freeSince < expectedHostWait {
		members = max(members, in.ExpectedHosts)
	}
	self, target := d.memberIndex(l.selfID()), (TotalSlots+members-1)/members
	owned, claimed := d.slotCounts()[self], 0
	for s, h := range d.SlotHolders {
		if h == 0 && owned+claimed < target {
			d.SlotHolders[s] = uint32(self)
			claimed++
		}
	}
	if claimed > 0 {
		d.note("slots_claimed", claimed)
	}
}

// moveSurplus moves slots above the equal share, rounded down, to live members
// with fewer. With the share rounded up, a new member could get none: 15 of 16
// members would keep 8 slots each. The slots are debited first and moved in the
// ledger after QuiescePeriod.
func (l *Leaser) moveSurplus(d *ledgerDraft, in Input, now clock.Millis) {
	self := l.memberIndex(l.selfID())
	if self == 0 || len(d.reclaimedMembers) > 0 {
		return
	}
	n := len(d.Members)
	surplus := d.slotCounts()[d.memberIndex(l.selfID())] - TotalSlots/n
	slots := sortedSlots(l.debitedSlots)
	if len(slots) == 0 {
		if excess := min(surplus, d.totalDeficit(in, l.selfID())); excess > 0 {
			l.debitSlots(l.ownedSlots()[:excess], now)
		}
		return
	}
	if now-l.lastDebitAt < QuiescePeriod {
		return
	}
	moved := 0
	for _, s := range slots {
		if to := d.memberWithFewestSlots(in, l.selfID()); to > 0 && moved < surplus {
			d.SlotHolders[s] = uint32(to)
			moved++
		}
	}
	if moved > 0 {
		d.note("slots_moved", moved)
	} else if l.pending == nil {
		clear(l.debitedSlots)
	}
}

func sortedSlots(slots map[int]bool) []int {
	var out []int
	for s := range TotalSlots {
		if slots[s] {
			out = append(out, s)
		}
	}
	return out
}

// totalDeficit returns how many slots the other live members lack in total to
// have an equal share.
func (d *ledgerDraft) totalDeficit(in Input, self memberID) int {
	sum, counts := 0, d.slotCounts()
	for i, m := range d.Members {
		if in.LiveHosts[m.GetHost()] && idOf(m) != self {
			sum += max(0, TotalSlots/len(d.Members)-counts[i+1])
		}
	}
	return sum
}

// memberWithFewestSlots returns the one-based index of the other live member
// with the fewest slots, or zero when all have an equal share.
func (d *ledgerDraft) memberWithFewestSlots(in Input, self memberID) int {
	counts, best := d.slotCounts(), 0
	for i, m := range d.Members {
		if !in.LiveHosts[m.GetHost()] || idOf(m) == self || counts[i+1] >= TotalSlots/len(d.Members) {
			continue
		}
		if best == 0 || counts[i+1] < counts[best] {
			best = i + 1
		}
	}
	return best
}

// handOverSlots removes the host from the ledger and assigns its slots to live
// members.
func (l *Leaser) handOverSlots(d *ledgerDraft, in Input, now clock.Millis) {
	if d.memberIndex(l.selfID()) == 0 || now-l.lastDebitAt < QuiescePeriod {
		return
	}
	slots := l.ownedSlots()
	d.removeMember(l.selfID())
	for _, s := range slots {
		if to := d.memberWithFewestSlots(in, l.selfID()); to > 0 {
			d.SlotHolders[s] = uint32(to)
		}
	}
	d.note("slots_moved", len(slots))
}
