package leaser

import (
	"catkindyke/pkg/clock"
	"catkindyke/pkg/schema"
)

// HeartbeatFields are the fields of a heartbeat request that the leaser sets.
type HeartbeatFields struct {
	// LedgerVersion is the last ledger version that the sender has read.
	LedgerVersion uint64
	// AckedIncarnation is the receiver's incarnation when the sender has
	// acknowledged it as a member and requires its promises, else zero.
	AckedIncarnation uint64
	// ReleaseHold is set when the sender no longer depends on a hold of the receiver.
	ReleaseHold bool
}

// Heartbeat is a received heartbeat request.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Sequence    uint64
	HeartbeatFields
}

// BuildHeartbeat returns the fields of a heartbeat request to a host. It
// acknowledges members of the same region, whose promises are required from
// then on.
func (l *Leaser) BuildHeartbeat(host string, sequence uint64, now clock.Millis) HeartbeatFields {
	f := HeartbeatFields{LedgerVersion: l.ledgerVersion}
	for _, m := range l.ledger.GetMembers() {
		if m.GetHost() != host || host == l.cfg.Host || m.GetRegion() != l.cfg.Region {
			continue
		}
		promise := l.requiredPromises[idOf(m)]
		if promise == nil {
			// The current lease may have no end, and the new member may
			// reclaim slots after ReclaimAfter.
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

// HandleHeartbeat processes a heartbeat request and returns the promise for the
// response. A request that is not newer than the last one gets no promise and
// releases no hold, because the sender may depend on a hold given since.
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
	// An acknowledgement from before this host joined does not count, because
	// the sender may have dropped and acknowledged this host again since.
	if l.IsMember() && h.LedgerVersion >= l.joinVersion && !sender.acked {
		sender.acked, sender.firstAckAt = true, now
	}
	return l.promiseFor(id, sender, h.LedgerVersion, contactAge, now)
}

// promiseFor returns the promise for a sender, and none if the sender was
// removed from the ledger. A sender that is not a member here but has read a
// later ledger may have joined in it; every reclaim by this host is either in
// that ledger or still pending.
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

// isReclaiming reports whether a pending write that reclaims the member's slots
// may still take effect.
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

// HeartbeatResponse is a response to a heartbeat, with the sequence and the
// send time of the request.
type HeartbeatResponse struct {
	Host        string
	Incarnation uint64
	// Sequence and Sent belong to the request.
	Sequence uint64
	Sent     clock.Millis
	Promise  schema.PromiseKind
}

// HandleResponse processes the response to a heartbeat. The promise counts from
// the time at which the request was sent. Responses that are not newer than the
// last one used are ignored.
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
	// A later request may have released this hold already, so it counts only as
	// a promise for LeaseTTL.
	if resp.Promise == schema.PromiseKind_PROMISE_KIND_HOLD && (resp.Sequence >= promise.releasedSequence || l.omits(RuleIgnoreStaleRelease)) {
		promise.expiresAt = Forever
		return
	}
	if promise.expiresAt == Forever {
		// The lease replaces the hold, which the next request releases.
		promise.expiresAt = 0
	}
	promise.expiresAt = max(promise.expiresAt, start+LeaseTTL)
}

// mayReclaim reports whether this host may reclaim a member's slots.
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
	// Redundant with the wait for the last promise below, because the first
	// acknowledgement is answered with a promise too; kept as a second safeguard.
	if now-h.firstAckAt <= ReclaimAfter {
		return false
	}
	return now-h.lastPromiseAt > ReclaimAfter || l.omits(RuleWaitForPromiseEnd) && !in.LiveHosts[m.GetHost()]
}
