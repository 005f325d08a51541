// Package leaser keeps a host's lease: it decides which share slots the host may use
// and until when.
//
// It does no I/O: the caller passes in events and the time of the host's
// clock and carries out the returned actions. The slots of the fleet are
// assigned to hosts in a ledger in the store. A host may use its slots while
// it holds a lease. It renews the lease by a write to the ledger or by promises
// of the other members of its region, which come in heartbeat responses. A
// promise is either a lease for a limited time or, while the store is
// unreachable, a hold without an end.
package leaser

import (
	"slices"

	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// TotalSlots is the number of share slots of the fleet.
const TotalSlots = 120

// Times of the protocol, each on the clock of one host.
const (
	// LeaseTTL is how long a renewal is valid, counted from when it was sent.
	LeaseTTL = 8 * clock.Second
	// ReclaimAfter is LeaseTTL plus 25 % for clocks that run at different speeds.
	ReclaimAfter = LeaseTTL + LeaseTTL/4
	// HoldContactAge is the time without store contact after which promises
	// become holds. It allows one missed poll of the store.
	HoldContactAge = 2500 * clock.Millis(1)
	// QuiescePeriod is how long slots stay unused before another host may get
	// them, so that tokens lent from them have arrived or expired.
	QuiescePeriod = 500 * clock.Millis(1)
	// minRemainingLease is the remaining lease time below which the host renews
	// its lease in the store.
	minRemainingLease = 5 * clock.Second
	// writeRetryInterval is the minimum time between two writes on the same
	// ledger version.
	writeRetryInterval = clock.Second
	// Forever is a deadline that never passes.
	Forever = clock.Millis(1) << 60
)

// Rule is a bit set of protocol rules. Tests switch rules off to show that
// their checks detect the violations that follow.
type Rule uint32

// The rules that Config.Omit can switch off.
const (
	// RuleDebitBeforeMove stops the use of slots for QuiescePeriod before they
	// are moved to another member.
	RuleDebitBeforeMove Rule = 1 << iota
	// RuleWaitForPromiseEnd delays a reclaim until the last promise to the
	// holder has expired.
	RuleWaitForPromiseEnd
	// RuleAckRequired allows a reclaim only from a member that has acknowledged
	// this host, and so depends on its promises.
	RuleAckRequired
	// RuleHoldBlocksReclaim forbids a reclaim from a member with a hold.
	RuleHoldBlocksReclaim
	// RuleRenewalBlocksReclaim delays a reclaim until the holder's ledger record
	// has been unchanged for ReclaimAfter.
	RuleRenewalBlocksReclaim
	// RuleNoPromiseAfterReclaim denies promises to members that were or are
	// being removed.
	RuleNoPromiseAfterReclaim
	// RuleRequiredUntilRemoved requires the promise of an acknowledged member
	// until a ledger without that member was read.
	RuleRequiredUntilRemoved
	// RulePromiseFromSendTime counts a promise from when its heartbeat was sent.
	RulePromiseFromSendTime
	// RuleIgnoreStaleRead ignores ledger reads that are not newer than the last one.
	RuleIgnoreStaleRead
	// RuleIgnoreStaleRelease ignores duplicate and reordered heartbeats, and
	// holds that a later heartbeat may have released.
	RuleIgnoreStaleRelease
	// RuleTrackUnknownWrite keeps a write with an unknown outcome pending until
	// a later ledger version was read.
	RuleTrackUnknownWrite
	// RuleNewMemberCapsLease ends the lease at most LeaseTTL after a new member
	// of the region was acknowledged.
	RuleNewMemberCapsLease
)

// Config configures a leaser.
type Config struct {
	// Host is the host's name.
	Host string
	// Incarnation increases with each start of the host.
	Incarnation uint64
	// Region is the host's region.
	Region string
	// Omit switches rules off, for tests only.
	Omit Rule
}

// memberID identifies one incarnation of a host.
type memberID struct {
	host        string
	incarnation uint64
}

// requiredPromise is the promise of a member that this host has acknowledged.
// Unless the renewal in the store is valid for longer, the host's lease ends
// when the first of these promises expires.
type requiredPromise struct {
	// expiresAt is when the promise ends; Forever for a hold.
	expiresAt clock.Millis
	// answeredSequence is the sequence of the heartbeat that the promise answered.
	answeredSequence uint64
	// releasedSequence is the sequence of the last heartbeat that released a
	// hold.
	releasedSequence uint64
}

// holder is the state of a member that this host gives promises to and may
// reclaim slots from.
type holder struct {
	lastSequence  uint64
	acked         bool
	firstAckAt    clock.Millis
	lastPromiseAt clock.Millis
	holdGiven     bool
}

// renewalRecord is a member's renewal count and when this host first read it.
type renewalRecord struct {
	renewals    uint64
	firstReadAt clock.Millis
}

// pendingWrite is a ledger write that is in flight or may still take effect.
type pendingWrite struct {
	LedgerWrite
	sentAt clock.Millis
	// needsRead is set when the call has ended without success, so that a read
	// of the ledger has to show what took effect.
	needsRead        bool
	reclaimedMembers []memberID
	// kind is the event to log when the write has taken effect.
	kind  string
	slots int
}

// Leaser holds one host's view of the ledger, the promises it has given and
// received, and its pending write. It is not safe for concurrent use.
type Leaser struct {
	cfg                Config
	ledgerVersion      uint64
	hasLedger          bool
	ledger             *schema.Ledger
	joinVersion        uint64
	requiredPromises   map[memberID]*requiredPromise
	holders            map[memberID]*holder
	renewalRecords     map[memberID]renewalRecord
	debitedSlots       map[int]bool
	lastDebitAt        clock.Millis
	storeLeaseDeadline clock.Millis
	usableFrom         clock.Millis
	started            bool
	pending            *pendingWrite
	renewalCount       uint64
	freeSince          clock.Millis
	hasFreeSlots       bool
	leaving            bool
	events             []Event
}

// New returns a leaser that holds no slots.
func New(cfg Config) *Leaser {
	return &Leaser{
		cfg: cfg, ledger: &schema.Ledger{}, requiredPromises: make(map[memberID]*requiredPromise), holders: make(map[memberID]*holder),
		renewalRecords: make(map[memberID]renewalRecord), debitedSlots: make(map[int]bool),
	}
}

// Event is a state change to log and count.
type Event struct {
	// Name is the name of the log event.
	Name string
	// Host is the other host involved, if any.
	Host string
	// Slots is the number of slots involved.
	Slots int
}

// Events returns the events since the last call.
func (l *Leaser) Events() []Event {
	out := l.events
	l.events = nil
	return out
}

func (l *Leaser) event(name, host string, slots int) {
	l.events = append(l.events, Event{name, host, slots})
}

func (l *Leaser) omits(r Rule) bool { return l.cfg.Omit&r != 0 }

func (l *Leaser) selfID() memberID { return memberID{l.cfg.Host, l.cfg.Incarnation} }

func idOf(m *schema.Member) memberID { return memberID{m.GetHost(), m.GetIncarnation()} }

// Version returns the last ledger version read.
func (l *Leaser) Version() uint64 { return l.ledgerVersion }

// HasLedger reports whether the ledger has been read at least once.
func (l *Leaser) HasLedger() bool { return l.hasLedger }

// IsMember reports whether this incarnation is in the last ledger read.
func (l *Leaser) IsMember() bool { return l.memberIndex(l.selfID()) > 0 }

// memberIndex returns a member's one-based index in the ledger, or zero.
func (l *Leaser) memberIndex(id memberID) int {
	return 1 + slices.IndexFunc(l.ledger.GetMembers(), func(x *schema.Member) bool { return idOf(x) == id })
}

// ownedSlots returns the slots that the ledger assigns to this host, including
// debited ones.
func (l *Leaser) ownedSlots() []int { return slotsOf(l.ledger, l.memberIndex(l.selfID())) }

func slotsOf(ledger *schema.Ledger, index int) []int {
	if index <= 0 {
		return nil
	}
	out := make([]int, 0, TotalSlots)
	for s, h := range ledger.GetSlotHolders() {
		if int(h) == index {
			out = append(out, s)
		}
	}
	return out
}

// UsableSlots returns the slots that the host may use until the deadline that
// Share returns.
func (l *Leaser) UsableSlots() []int {
	if l.omits(RuleDebitBeforeMove) {
		return l.ownedSlots()
	}
	if l.leaving {
		return nil
	}
	return slices.DeleteFunc(l.ownedSlots(), func(s int) bool { return l.debitedSlots[s] })
}

// Share returns the number of usable slots and the end of their lease.
func (l *Leaser) Share(now clock.Millis) (int, clock.Millis) {
	if now < l.usableFrom {
		return 0, 0
	}
	return len(l.UsableSlots()), l.Deadline()
}

// Deadline returns the end of the lease: the end of the renewal in the store
// or the earliest end of the required promises, whichever is later.
func (l *Leaser) Deadline() clock.Millis {
	if !l.IsMember() {
		return 0
	}
	deadline := Forever
	for _, promise := range l.requiredPromises {
		deadline = min(deadline, promise.expiresAt)
	}
	return max(deadline, l.storeLeaseDeadline)
}

// HandleLedger processes a ledger read from the store. Version 0 means that the
// store has none.
func (l *Leaser) HandleLedger(version uint64, ledger *schema.Ledger, now clock.Millis) {
	if l.hasLedger && version <= l.ledgerVersion && !l.omits(RuleIgnoreStaleRead) {
		return
	}
	if !l.started {
		l.started, l.usableFrom = true, now+QuiescePeriod
	}
	wasMember := l.IsMember()
	l.ledgerVersion, l.ledger, l.hasLedger = version, ledger, true
	if l.pending != nil && version > l.pending.IfVersion {
		l.resolvePending(now)
	}
	if l.IsMember() && !wasMember {
		l.joinVersion = version
		for _, h := range l.holders {
			h.acked = false
		}
	}
	if wasMember && !l.IsMember() {
		l.event("slots_lost", "", 0)
		l.storeLeaseDeadline = 0
	}
	l.dropAbsentMembers()
	for _, m := range ledger.GetMembers() {
		if r, ok := l.renewalRecords[idOf(m)]; !ok || r.renewals != m.GetRenewals() {
			l.renewalRecords[idOf(m)] = renewalRecord{m.GetRenewals(), now}
		}
	}
}

// resolvePending completes the pending write after a later ledger version was
// read. The ledger shows whether the write took effect.
func (l *Leaser) resolvePending(now clock.Millis) {
	p := l.pending
	if sameRenewal(l.ledger, p.Ledger, l.selfID()) {
		l.storeLeaseDeadline = max(l.storeLeaseDeadline, p.sentAt+LeaseTTL)
		l.recordApplied(p)
	}
	l.pending = nil
	clear(l.debitedSlots)
	l.lastDebitAt = now
}

// recordApplied records the events of a write that took effect.
func (l *Leaser) recordApplied(p *pendingWrite) {
	l.event(p.kind, "", p.slots)
	for _, r := range p.reclaimedMembers {
		l.event("slots_reclaimed", r.host, 0)
	}
}

// sameRenewal reports whether both ledgers have the same renewal count for a
// member. Each write by a member has a new renewal count, so equal counts show
// that the write took effect.
func sameRenewal(a, b *schema.Ledger, id memberID) bool {
	x, y := findMember(a, id), findMember(b, id)
	return x != nil && y != nil && x.GetRenewals() == y.GetRenewals()
}

func findMember(ledger *schema.Ledger, id memberID) *schema.Member {
	for _, m := range ledger.GetMembers() {
		if idOf(m) == id {
			return m
		}
	}
	return nil
}

// dropAbsentMembers forgets the promises and renewals of members that left the
// ledger.
func (l *Leaser) dropAbsentMembers() {
	for id := range l.requiredPromises {
		if l.memberIndex(id) == 0 {
			delete(l.requiredPromises, id)
		}
	}
	for id := range l.renewalRecords {
		if l.memberIndex(id) == 0 {
			delete(l.renewalRecords, id)
		}
	}
}
