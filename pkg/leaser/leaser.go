// Package leaser decides which share slots a host may use and until when. It
// is pure: events and the host's own time go in, actions come out.
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
	// LeaseTTL is how long a renewal lasts, counted from when it was sent.
	LeaseTTL = 8 * clock.Second
	// ReclaimAfter is the lease time plus 25 %, which covers clocks that run at different speeds.
	ReclaimAfter = LeaseTTL + LeaseTTL/4
	// HoldContactAge is the age of store contact from which promises are holds. It
	// allows one missed poll of the store.
	HoldContactAge = 2500 * clock.Millis(1)
	// QuiescePeriod is how long slots stay unused before another host may get them,
	// so that tokens lent from them have arrived or expired.
	QuiescePeriod = 500 * clock.Millis(1)
	// minRemainingLease is the remaining lease below which the store is asked.
	minRemainingLease = 5 * clock.Second
	// writeRetryInterval is the shortest time between two writes after a write without an answer.
	writeRetryInterval = clock.Second
	// Forever is a deadline that does not pass.
	Forever = clock.Millis(1) << 60
)

// Rule names a rule of the protocol that tests can omit to show that their checkers notice.
type Rule uint32

// The rules that Config.Omit can switch off.
const (
	RuleDebitBeforeMove Rule = 1 << iota
	RuleWaitForPromiseEnd
	RuleAckRequired
	RuleHoldBlocksReclaim
	RuleRenewalBlocksReclaim
	RuleNoPromiseAfterReclaim
	RuleRequiredUntilRemoved
	RulePromiseFromSendTime
	RuleIgnoreStaleRead
	RuleIgnoreStaleRelease
	RuleTrackUnknownWrite
	RuleNewMemberCapsLease
)

// Config configures a leaser.
type Config struct {
	// Host is the name of the host.
	Host string
	// Incarnation grows with each start of the host.
	Incarnation uint64
	// Region of the host.
	Region string
	// Omit switches rules off; only tests set it.
	Omit Rule
}

// memberID is a host incarnation.
type memberID struct {
	host        string
	incarnation uint64
}

// requiredPromise is what a required member promised.
type requiredPromise struct {
	// expiresAt is when the promise ends; Forever for a hold.
	expiresAt clock.Millis
	// answeredSequence is the sequence of the heartbeat that the promise answers.
	answeredSequence uint64
	// releasedSequence is the sequence of the last heartbeat that releasedSequence a hold.
	releasedSequence uint64
}

// holder is what this host knows about a holder that it may promise to or reclaim from.
type holder struct {
	lastSequence  uint64
	acked         bool
	firstAckAt    clock.Millis
	lastPromiseAt clock.Millis
	holdGiven     bool
}

// renewalRecord is a holder's ledger renewalRecord and when this host first read it.
type renewalRecord struct {
	renewals    uint64
	firstReadAt clock.Millis
}

// pendingWrite is a ledger pendingWrite whose outcome is not known.
type pendingWrite struct {
	LedgerWrite
	sentAt           clock.Millis
	needsRead        bool
	reclaimedMembers []memberID
	// kind is the event to log when the write took effect.
	kind  string
	slots int
}

// Leaser is the state of one host. It is not safe for concurrent use.
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

// Event is something to log and count.
type Event struct {
	// Name is the log event in snake case.
	Name string
	// Host is the other host concerned, if any.
	Host string
	// Slots is the number of slots concerned.
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

// Version returns the ledger version that was read last.
func (l *Leaser) Version() uint64 { return l.ledgerVersion }

// HasLedger reports whether the ledger was read at least once.
func (l *Leaser) HasLedger() bool { return l.hasLedger }

// IsMember reports whether the host is in the ledger that was read last.
func (l *Leaser) IsMember() bool { return l.memberIndex(l.selfID()) > 0 }

// memberIndex returns the place of a member in the ledger plus one, or zero.
func (l *Leaser) memberIndex(id memberID) int {
	return 1 + slices.IndexFunc(l.ledger.GetMembers(), func(x *schema.Member) bool { return idOf(x) == id })
}

// ownedSlots returns the slots that the ledger gives to this host, debited ones included.
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

// UsableSlots returns the slots that the host may use until the deadline of Share.
func (l *Leaser) UsableSlots() []int {
	if l.omits(RuleDebitBeforeMove) {
		return l.ownedSlots()
	}
	if l.leaving {
		return nil
	}
	return slices.DeleteFunc(l.ownedSlots(), func(s int) bool { return l.debitedSlots[s] })
}

// Share returns the number of usable slots and the time until which they may be used.
func (l *Leaser) Share(now clock.Millis) (int, clock.Millis) {
	if now < l.usableFrom {
		return 0, 0
	}
	return len(l.UsableSlots()), l.Deadline()
}

// Deadline returns the end of the lease: the later of the store's renewal and
// the earliest promise of a required member.
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

// HandleLedger takes a ledger read from the store. Version 0 is an absent object.
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

// resolvePending ends a pending write after a later ledger version was read: the
// ledger itself now says whether the write took effect.
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

func (l *Leaser) recordApplied(p *pendingWrite) {
	l.event(p.kind, "", p.slots)
	for _, r := range p.reclaimedMembers {
		l.event("slots_reclaimed", r.host, 0)
	}
}

// sameRenewal reports whether both ledgers have the same record of a member.
// Each write by a member has a renewal count that it never used before, so
// this tells whether the write took effect.
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
