package leaser

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// HeartbeatFields are the parts of a heartbeat request that the leaser fills in.
type HeartbeatFields struct {
	// LedgerVersion is the version that the sender has read.
	LedgerVersion uint64
	// AckedIncarnation is the receiver's incarnation, or zero.
	AckedIncarnation uint64
	// ReleaseHold says that the sender relies on no hold of the receiver.
	ReleaseHold bool
}

// Heartbeat is a heartbeat request as received.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	HeartbeatFields
}

// BuildHeartbeat returns the fields of a heartbeat request to a host. Only
// members of the own region in the ledger are acknowledged; from then on their
// promises are required.
func (l *Leaser) BuildHeartbeat(host string, sequence uint64, now clock.Millis) HeartbeatFields {
	f := HeartbeatFields{LedgerVersion: l.version}
	for _, m := range l.ledger.GetMembers() {
		if m.GetHost() != host || host == l.cfg.Host || m.GetRegion() != l.cfg.Region {
			continue
		}
		g := l.required[idOf(m)]
		if g == nil {
			// The lease may have been without end so far, and a new member
			// may reclaim from ReclaimAfter on.
			g = &granted{until: now + LeaseTTL}
			if l.omits(RuleNewMemberCapsLease) {
				g.until = max(l.Deadline(), g.until)
			}
			l.required[idOf(m)] = g
		}
		f.AckedIncarnation = m.GetIncarnation()
		if g.until != Forever {
			f.ReleaseHold, g.released = true, sequence
		}
	}
	return f
}

// HandleHeartbeat takes a heartbeat request and returns the promise to answer with.
// A request that is not newer than the last one gets none and releases
// nothing: the sender may rely on a hold given since.
func (l *Leaser) HandleHeartbeat(h Heartbeat, contactAge, now clock.Millis) schema.PromiseKind {
	if h.AckedIncarnation != l.cfg.Incarnation {
		return schema.PromiseKind_PROMISE_KIND_NONE
	}
	who := id{h.Host, h.Incarnation}
	g := l.holders[who]
	if g == nil {
		g = &given{}
		l.holders[who] = g
	}
	if h.Sequence <= g.seen && !l.omits(RuleIgnoreStaleRelease) {
		return schema.PromiseKind_PROMISE_KIND_NONE
	}
	g.seen = max(g.seen, h.Sequence)
	if h.ReleaseHold {
		g.hold = false
	}
	// An acknowledgement from before this host joined does not count: the
	// sender may have dropped and newly acknowledged this host since.
	if l.IsMember() && h.LedgerVersion >= l.joined && !g.acked {
		g.acked, g.firstAck = true, now
	}
	return l.promise(who, g, h.LedgerVersion, contactAge, now)
}

// promise gives no promise to a sender that was removed from the ledger. A
// sender that has read a later ledger may have joined since; every reclaim by
// this host is known to such a sender or still pending.
func (l *Leaser) promise(who id, g *given, version uint64, contactAge, now clock.Millis) schema.PromiseKind {
	removed := l.index(who) == 0 && version <= l.version
	if removed && !l.omits(RuleNoPromiseAfterReclaim) || l.reclaiming(who) {
		return schema.PromiseKind_PROMISE_KIND_NONE
	}
	g.promised = now
	if contactAge <= HoldContactAge {
		return schema.PromiseKind_PROMISE_KIND_LEASE
	}
	if !g.hold {
		l.event("hold_given", who.host, 0)
	}
	g.hold = true
	return schema.PromiseKind_PROMISE_KIND_HOLD
}

// reclaiming reports whether a write that takes the holder's slots may still take effect.
func (l *Leaser) reclaiming(who id) bool {
	if l.pending == nil || l.omits(RuleNoPromiseAfterReclaim) {
		return false
	}
	for _, r := range l.pending.reclaimed {
		if r == who {
			return true
		}
	}
	return false
}

// HeartbeatResponse is a heartbeat response with what is known of its request.
type HeartbeatResponse struct {
	Host        string
	Incarnation uint64
	// Sequence and Sent are of the request that is answered.
	Sequence uint64
	Sent     clock.Millis
	Promise  schema.PromiseKind
}

// HandleResponse takes the response to a heartbeat. The promise counts from the
// time at which the request was sent, and answers older than one already used are ignored.
func (l *Leaser) HandleResponse(a HeartbeatResponse, now clock.Millis) {
	g := l.required[id{a.Host, a.Incarnation}]
	if g == nil || a.Promise == schema.PromiseKind_PROMISE_KIND_NONE || a.Sequence <= g.sent {
		return
	}
	g.sent = a.Sequence
	from := a.Sent
	if l.omits(RulePromiseFromSendTime) {
		from = now
	}
	// A later request may already have released this hold, so that it counts
	// as a promise for the lease time only.
	if a.Promise == schema.PromiseKind_PROMISE_KIND_HOLD && (a.Sequence >= g.released || l.omits(RuleIgnoreStaleRelease)) {
		g.until = Forever
		return
	}
	if g.until == Forever {
		// The lease promise replaces the hold; the next request releases it.
		g.until = 0
	}
	g.until = max(g.until, from+LeaseTTL)
}

// mayReclaim reports whether all conditions for taking a holder's slots hold.
func (l *Leaser) mayReclaim(m *schema.Member, in Input, now clock.Millis) bool {
	who := idOf(m)
	r, ok := l.records[who]
	if !ok || now-r.since <= ReclaimAfter && !l.omits(RuleRenewalBlocksReclaim) {
		return false
	}
	if in.LostHosts[m.GetHost()] && !in.LiveHosts[m.GetHost()] {
		return true
	}
	g := l.holders[who]
	if m.GetRegion() != l.cfg.Region || now >= l.Deadline() {
		return false
	}
	if g == nil || !g.acked {
		return l.omits(RuleAckRequired)
	}
	if g.hold && !l.omits(RuleHoldBlocksReclaim) {
		return false
	}
	// The first acknowledgement is also answered with a promise, so that this
	// wait is covered by the next one; it stays as a second defence.
	if now-g.firstAck <= ReclaimAfter {
		return false
	}
	return now-g.promised > ReclaimAfter || l.omits(RuleWaitForPromiseEnd) && !in.LiveHosts[m.GetHost()]
}
