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
	f := HeartbeatFields{LedgerVersion: l.ledgerVersion}
	for _, m := range l.ledger.GetMembers() {
		if m.GetHost() != host || host == l.cfg.Host || m.GetRegion() != l.cfg.Region {
			continue
		}
		promise := l.requiredPromises[idOf(m)]
		if promise == nil {
			// The lease may have been without end so far, and a new member
			// may reclaim from ReclaimAfter on.
			promise = &requiredPromise{expiresAt: now + LeaseTTL}
			if l.omits(RuleNewMemberCapsLease) {
				promise.expiresAt = max(l.Deadline(), promise.expiresAt)
			}
			l.requiredPromises[idOf(m)] = promise
		}
		f.AckedIncarnation = m.GetIncarnation()
		if promise.expiresAt != Forever {
			f.ReleaseHold, promise.releasedSequence = true, sequence
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
	id := memberID{h.Host, h.Incarnation}
	sender := l.holders[id]
	if sender == nil {
		sender = &holder{}
		l.holders[id] = sender
	}
	if h.Sequence <= sender.lastSequence && !l.omits(RuleIgnoreStaleRelease) {
		return schema.PromiseKind_PROMISE_KIND_NONE
	}
	sender.lastSequence = max(sender.lastSequence, h.Sequence)
	if h.ReleaseHold {
		sender.holdGiven = false
	}
	// An acknowledgement from before this host joined does not count: the
	// sender may have dropped and newly acknowledged this host since.
	if l.IsMember() && h.LedgerVersion >= l.joinVersion && !sender.acked {
		sender.acked, sender.firstAckAt = true, now
	}
	return l.promiseFor(id, sender, h.LedgerVersion, contactAge, now)
}

// promiseFor gives no promiseFor to a sender that was removed from the ledger. A
// sender that has read a later ledger may have joined since; every reclaim by
// this host is known to such a sender or still pending.
func (l *Leaser) promiseFor(id memberID, sender *holder, version uint64, contactAge, now clock.Millis) schema.PromiseKind {
	removed := l.memberIndex(id) == 0 && version <= l.ledgerVersion
	if removed && !l.omits(RuleNoPromiseAfterReclaim) || l.isReclaiming(id) {
		return schema.PromiseKind_PROMISE_KIND_NONE
	}
	sender.lastPromiseAt = now
	if contactAge <= HoldContactAge {
		return schema.PromiseKind_PROMISE_KIND_LEASE
	}
	if !sender.holdGiven {
		l.event("hold_given", id.host, 0)
	}
	sender.holdGiven = true
	return schema.PromiseKind_PROMISE_KIND_HOLD
}

// isReclaiming reports whether a write that takes the holder's slots may still take effect.
func (l *Leaser) isReclaiming(id memberID) bool {
	if l.pending == nil || l.omits(RuleNoPromiseAfterReclaim) {
		return false
	}
	for _, r := range l.pending.reclaimedMembers {
		if r == id {
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
func (l *Leaser) HandleResponse(resp HeartbeatResponse, now clock.Millis) {
	promise := l.requiredPromises[memberID{resp.Host, resp.Incarnation}]
	if promise == nil || resp.Promise == schema.PromiseKind_PROMISE_KIND_NONE || resp.Sequence <= promise.answeredSequence {
		return
	}
	promise.answeredSequence = resp.Sequence
	start := resp.Sent
	if l.omits(RulePromiseFromSendTime) {
		start = now
	}
	// A later request may already have released this hold, so that it counts
	// as a promise for the lease time only.
	if resp.Promise == schema.PromiseKind_PROMISE_KIND_HOLD && (resp.Sequence >= promise.releasedSequence || l.omits(RuleIgnoreStaleRelease)) {
		promise.expiresAt = Forever
		return
	}
	if promise.expiresAt == Forever {
		// The lease promise replaces the hold; the next request releases it.
		promise.expiresAt = 0
	}
	promise.expiresAt = max(promise.expiresAt, start+LeaseTTL)
}

// mayReclaim reports whether all conditions for taking a holder's slots hold.
func (l *Leaser) mayReclaim(m *schema.Member, in Input, now clock.Millis) bool {
	id := idOf(m)
	record, ok := l.renewalRecords[id]
	if !ok || now-record.firstReadAt <= ReclaimAfter && !l.omits(RuleRenewalBlocksReclaim) {
		return false
	}
	if in.LostHosts[m.GetHost()] && !in.LiveHosts[m.GetHost()] {
		return true
	}
	h := l.holders[id]
	if m.GetRegion() != l.cfg.Region || now >= l.Deadline() {
		return false
	}
	if h == nil || !h.acked {
		return l.omits(RuleAckRequired)
	}
	if h.holdGiven && !l.omits(RuleHoldBlocksReclaim) {
		return false
	}
	// The first acknowledgement is also answered with a promise, so that this
	// wait is covered by the next one; it stays as a second defence.
	if now-h.firstAckAt <= ReclaimAfter {
		return false
	}
	return now-h.lastPromiseAt > ReclaimAfter || l.omits(RuleWaitForPromiseEnd) && !in.LiveHosts[m.GetHost()]
}
