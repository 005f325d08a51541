package leaser

import (
	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// LedgerWrite is a conditional write of the ledger.
type LedgerWrite struct {
	// IfVersion is the version that the store must have.
	IfVersion uint64
	Ledger    *schema.Ledger
}

// Input is what the host knows beside the ledger.
type Input struct {
	// StoreContactAge is the time since the last contact with the store.
	StoreContactAge clock.Millis
	// LiveHosts are the other hosts that are heard and not leaving.
	LiveHosts map[string]bool
	// LostHosts are the hosts that an operator declared lost.
	LostHosts map[string]bool
	// ExpectedHosts are the hosts that are heard or listed by the platform.
	ExpectedHosts int
}

// Action is what the host should do now.
type Action struct {
	// ReadLedger asks for a read of the ledger.
	ReadLedger bool
	// Write asks for a write, whose outcome goes to WriteResult.
	Write *LedgerWrite
}

// WriteOutcome is what is known of a write.
type WriteOutcome int

// Outcomes of a write.
const (
	// WriteApplied says that the write took effect.
	WriteApplied WriteOutcome = iota
	// WriteConflict says that the ledger has another version.
	WriteConflict
	// WriteUnknown says that no answer came; the write may take effect at any time.
	WriteUnknown
)

// draft is a ledger that is being planned.
type draft struct {
	*schema.Ledger
	changed   bool
	kind      string
	slots     int
	reclaimed []id
}

// Leave starts the hand-over of all slots. It is done when Member is false.
func (l *Leaser) Leave(now clock.Millis) {
	if l.leaving {
		return
	}
	l.leaving = true
	l.debit(l.owned(), now)
}

func (l *Leaser) debit(slots []int, now clock.Millis) {
	for _, s := range slots {
		l.debited[s] = true
	}
	l.debitAt = now
}

// Tick returns what to do now. It is called at every heartbeat interval and
// after each ledger read.
func (l *Leaser) Tick(in Input, now clock.Millis) Action {
	if !l.read {
		return Action{ReadLedger: true}
	}
	if l.omits(RuleRequiredUntilRemoved) {
		for who := range l.required {
			if !in.LiveHosts[who.host] {
				delete(l.required, who)
			}
		}
	}
	if p := l.pending; p != nil && (!p.lost || now-p.sent < writeGap) {
		return Action{ReadLedger: p.lost}
	}
	d := l.plan(in, now)
	if !d.changed && l.pending == nil {
		return Action{}
	}
	return Action{ReadLedger: l.pending != nil, Write: l.send(d, now)}
}

func (l *Leaser) plan(in Input, now clock.Millis) *draft {
	d := &draft{Ledger: proto.Clone(l.ledger).(*schema.Ledger), kind: "lease_renewed_by_store"}
	if len(d.SlotHolders) != TotalSlots {
		d.SlotHolders = make([]uint32, TotalSlots)
	}
	l.noteFree(d, now)
	if l.leaving {
		l.handOver(d, in, now)
		return d
	}
	if !l.join(d) {
		return d
	}
	for _, m := range l.ledger.GetMembers() {
		if idOf(m) != l.self() && m.GetHost() != l.cfg.Host && l.mayReclaim(m, in, now) {
			d.reclaimed = append(d.reclaimed, idOf(m))
			d.remove(idOf(m))
			d.changed = true
		}
	}
	l.claim(d, in, now)
	l.move(d, in, now)
	if l.IsMember() && l.Deadline()-now < renewMargin && l.pending == nil {
		d.changed = true
	}
	return d
}

// send records the write as pending. A write on the version of an earlier one
// without an answer keeps what the earlier one may still do.
func (l *Leaser) send(d *draft, now clock.Millis) *LedgerWrite {
	if m := find(d.Ledger, l.self()); m != nil {
		l.renewals = max(l.renewals, m.GetRenewals()) + 1
		m.Renewals = l.renewals
	}
	p := &write{
		LedgerWrite: LedgerWrite{IfVersion: l.version, Ledger: d.Ledger}, sent: now,
		reclaimed: d.reclaimed, kind: d.kind, slots: d.slots,
	}
	if l.pending != nil {
		p.reclaimed = append(p.reclaimed, l.pending.reclaimed...)
	}
	l.pending = p
	return &LedgerWrite{IfVersion: p.IfVersion, Ledger: proto.Clone(d.Ledger).(*schema.Ledger)}
}

// HandleWriteOutcome takes the outcome of the pending write. A refused write leaves
// earlier writes on the same version open until a later version is read.
func (l *Leaser) HandleWriteOutcome(o WriteOutcome, version uint64, now clock.Millis) {
	p := l.pending
	if p == nil {
		return
	}
	if o == WriteApplied {
		l.HandleLedger(version, p.Ledger, now)
		return
	}
	p.lost = true
	if l.omits(RuleTrackUnknownWrite) {
		l.pending = nil
		clear(l.debited)
	}
}

// join makes the host a member or the successor of its earlier incarnation. It
// returns false when a later incarnation of the same name is a member.
func (l *Leaser) join(d *draft) bool {
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

func (d *draft) note(kind string, slots int) {
	d.changed, d.kind, d.slots = true, kind, slots
}

func (d *draft) index(who id) int {
	for i, m := range d.Members {
		if idOf(m) == who {
			return i + 1
		}
	}
	return 0
}

// remove drops a member and frees its slots.
func (d *draft) remove(who id) {
	at := d.index(who)
	d.Members = append(d.Members[:at-1], d.Members[at:]...)
	for s, h := range d.SlotHolders {
		if int(h) == at {
			d.SlotHolders[s] = 0
		} else if int(h) > at {
			d.SlotHolders[s]--
		}
	}
}

func (d *draft) counts() []int {
	n := make([]int, len(d.Members)+1)
	for _, h := range d.SlotHolders {
		n[h]++
	}
	return n
}

func (l *Leaser) noteFree(d *draft, now clock.Millis) {
	free := d.counts()[0] > 0
	if free && !l.hasFree {
		l.freeFrom = now
	}
	l.hasFree = free
}

// claimAllAfter is the time for which slots stay free for hosts that are
// expected but not yet members.
const claimAllAfter = 3 * clock.Second

// claim takes free slots up to the equal share.
func (l *Leaser) claim(d *draft, in Input, now clock.Millis) {
	members := len(d.Members)
	if now-l.freeFrom < claimAllAfter {
		members = max(members, in.ExpectedHosts)
	}
	me, target := d.index(l.self()), (TotalSlots+members-1)/members
	have, took := d.counts()[me], 0
	for s, h := range d.SlotHolders {
		if h == 0 && have+took < target {
			d.SlotHolders[s] = uint32(me)
			took++
		}
	}
	if took > 0 {
		d.note("slots_claimed", took)
	}
}

// move gives what is over the equal share, rounded down, to live members that
// have less. Rounded up, the holders of a fleet whose size does not divide the
// slots would keep them all: 15 of 16 members with 8 each, and one with none.
// The slots are debited first and written after Quiesce.
func (l *Leaser) move(d *draft, in Input, now clock.Millis) {
	me := l.index(l.self())
	if me == 0 || len(d.reclaimed) > 0 {
		return
	}
	n := len(d.Members)
	surplus := d.counts()[d.index(l.self())] - TotalSlots/n
	slots := sortedDebited(l.debited)
	if len(slots) == 0 {
		if give := min(surplus, d.deficit(in, l.self())); give > 0 {
			l.debit(l.owned()[:give], now)
		}
		return
	}
	if now-l.debitAt < QuiescePeriod {
		return
	}
	moved := 0
	for _, s := range slots {
		if to := d.poorest(in, l.self()); to > 0 && moved < surplus {
			d.SlotHolders[s] = uint32(to)
			moved++
		}
	}
	if moved > 0 {
		d.note("slots_moved", moved)
	} else if l.pending == nil {
		clear(l.debited)
	}
}

func sortedDebited(m map[int]bool) []int {
	var out []int
	for s := range TotalSlots {
		if m[s] {
			out = append(out, s)
		}
	}
	return out
}

// deficit returns how many slots live members are short of the equal share.
func (d *draft) deficit(in Input, self id) int {
	sum, counts := 0, d.counts()
	for i, m := range d.Members {
		if in.LiveHosts[m.GetHost()] && idOf(m) != self {
			sum += max(0, TotalSlots/len(d.Members)-counts[i+1])
		}
	}
	return sum
}

// poorest returns the index of the live member with fewest slots below the equal share.
func (d *draft) poorest(in Input, self id) int {
	counts, best := d.counts(), 0
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

// handOver removes the host and gives its slots to live members.
func (l *Leaser) handOver(d *draft, in Input, now clock.Millis) {
	if d.index(l.self()) == 0 || now-l.debitAt < QuiescePeriod {
		return
	}
	slots := l.owned()
	d.remove(l.self())
	for _, s := range slots {
		if to := d.poorest(in, l.self()); to > 0 {
			d.SlotHolders[s] = uint32(to)
		}
	}
	d.note("slots_moved", len(slots))
}
