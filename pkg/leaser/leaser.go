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
	// renewMargin is the remaining lease below which the store is asked.
	renewMargin = 5 * clock.Second
	// writeGap is the shortest time between two writes after a write without an answer.
	writeGap = clock.Second
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

// id is a host incarnation.
type id struct {
	host        string
	incarnation uint64
}

// granted is what a required member promised.
type granted struct {
	// until is when the promise ends; Forever for a hold.
	until clock.Millis
	// sent is the sequence of the heartbeat that the promise answers.
	sent uint64
	// released is the sequence of the last heartbeat that released a hold.
	released uint64
}

// given is what this host knows about a holder that it may promise to or reclaim from.
type given struct {
	seen     uint64
	acked    bool
	firstAck clock.Millis
	promised clock.Millis
	hold     bool
}

// record is a holder's ledger record and when this host first read it.
type record struct {
	renewals uint64
	since    clock.Millis
}

// write is a ledger write whose outcome is not known.
type write struct {
	LedgerWrite
	sent      clock.Millis
	lost      bool
	reclaimed []id
	// kind is the event to log when the write took effect.
	kind  string
	slots int
}

// Leaser is the state of one host. It is not safe for concurrent use.
type Leaser struct {
	cfg      Config
	version  uint64
	read     bool
	ledger   *schema.Ledger
	joined   uint64
	required map[id]*granted
	holders  map[id]*given
	records  map[id]record
	debited  map[int]bool
	debitAt  clock.Millis
	store    clock.Millis
	usableAt clock.Millis
	started  bool
	pending  *write
	renewals uint64
	freeFrom clock.Millis
	hasFree  bool
	leaving  bool
	events   []Event
}

// New returns a leaser that holds no slots.
func New(cfg Config) *Leaser {
	return &Leaser{
		cfg: cfg, ledger: &schema.Ledger{}, required: make(map[id]*granted), holders: make(map[id]*given),
		records: make(map[id]record), debited: make(map[int]bool),
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

func (l *Leaser) self() id { return id{l.cfg.Host, l.cfg.Incarnation} }

func idOf(m *schema.Member) id { return id{m.GetHost(), m.GetIncarnation()} }

// Version returns the ledger version that was read last.
func (l *Leaser) Version() uint64 { return l.version }

// HasLedger reports whether the ledger was read at least once.
func (l *Leaser) HasLedger() bool { return l.read }

// IsMember reports whether the host is in the ledger that was read last.
func (l *Leaser) IsMember() bool { return l.index(l.self()) > 0 }

// index returns the place of a member in the ledger plus one, or zero.
func (l *Leaser) index(m id) int {
	return 1 + slices.IndexFunc(l.ledger.GetMembers(), func(x *schema.Member) bool { return idOf(x) == m })
}

// owned returns the slots that the ledger gives to this host, debited ones included.
func (l *Leaser) owned() []int { return slotsOf(l.ledger, l.index(l.self())) }

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
		return l.owned()
	}
	if l.leaving {
		return nil
	}
	return slices.DeleteFunc(l.owned(), func(s int) bool { return l.debited[s] })
}

// Share returns the number of usable slots and the time until which they may be used.
func (l *Leaser) Share(now clock.Millis) (int, clock.Millis) {
	if now < l.usableAt {
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
	until := Forever
	for _, g := range l.required {
		until = min(until, g.until)
	}
	return max(until, l.store)
}

// HandleLedger takes a ledger read from the store. Version 0 is an absent object.
func (l *Leaser) HandleLedger(version uint64, ledger *schema.Ledger, now clock.Millis) {
	if l.read && version <= l.version && !l.omits(RuleIgnoreStaleRead) {
		return
	}
	if !l.started {
		l.started, l.usableAt = true, now+QuiescePeriod
	}
	was := l.IsMember()
	l.version, l.ledger, l.read = version, ledger, true
	if l.pending != nil && version > l.pending.IfVersion {
		l.resolve(now)
	}
	if l.IsMember() && !was {
		l.joined = version
		for _, g := range l.holders {
			g.acked = false
		}
	}
	if was && !l.IsMember() {
		l.event("slots_lost", "", 0)
		l.store = 0
	}
	l.forgetAbsent()
	for _, m := range ledger.GetMembers() {
		if r, ok := l.records[idOf(m)]; !ok || r.renewals != m.GetRenewals() {
			l.records[idOf(m)] = record{m.GetRenewals(), now}
		}
	}
}

// resolve ends a pending write after a later ledger version was read: the
// ledger itself now says whether the write took effect.
func (l *Leaser) resolve(now clock.Millis) {
	p := l.pending
	if sameRecord(l.ledger, p.Ledger, l.self()) {
		l.store = max(l.store, p.sent+LeaseTTL)
		l.applied(p)
	}
	l.pending = nil
	clear(l.debited)
	l.debitAt = now
}

func (l *Leaser) applied(p *write) {
	l.event(p.kind, "", p.slots)
	for _, r := range p.reclaimed {
		l.event("slots_reclaimed", r.host, 0)
	}
}

// sameRecord reports whether both ledgers have the same record of a member.
// Each write by a member has a renewal count that it never used before, so
// this tells whether the write took effect.
func sameRecord(a, b *schema.Ledger, who id) bool {
	x, y := find(a, who), find(b, who)
	return x != nil && y != nil && x.GetRenewals() == y.GetRenewals()
}

func find(l *schema.Ledger, who id) *schema.Member {
	for _, m := range l.GetMembers() {
		if idOf(m) == who {
			return m
		}
	}
	return nil
}

func (l *Leaser) forgetAbsent() {
	for who := range l.required {
		if l.index(who) == 0 {
			delete(l.required, who)
		}
	}
	for who := range l.records {
		if l.index(who) == 0 {
			delete(l.records, who)
		}
	}
}
