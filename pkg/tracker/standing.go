package tracker

import "catkindyke/pkg/clock"

// MaxKeyStaleness is the time after the last store contact for which requests
// that need a key are admitted without news of withdrawals.
const MaxKeyStaleness = 10 * clock.Second

// KeyDeadlineInput is what a host knows about contact with the store.
type KeyDeadlineInput struct {
	// StoreContact is the host's own latest store contact.
	StoreContact clock.Millis
	// HasStoreContact says that Contact is set.
	HasStoreContact bool
	// Members are the other known hosts.
	Members []Member
}

// KeyDeadline returns the time until which requests that need a key may be
// admitted. A host with store contact, its own or a live member's, goes on for
// KeyStaleness. Without it the host goes on only while it hears more than half
// of the known fleet: then the store itself is down, or only a minority can
// still reach it.
func KeyDeadline(in KeyDeadlineInput, now clock.Millis) clock.Millis {
	lastContact, hasContact := in.StoreContact, in.HasStoreContact
	liveHosts, oldestReport := 1, now
	for _, m := range in.Members {
		if !m.IsLive(now) {
			continue
		}
		liveHosts++
		oldestReport = min(oldestReport, m.reportedAt)
		if m.hasStoreContact && (!hasContact || m.storeContact > lastContact) {
			lastContact, hasContact = m.storeContact, true
		}
	}
	if hasContact && now-lastContact < MaxKeyStaleness {
		return lastContact + MaxKeyStaleness
	}
	if hasContact && 2*liveHosts > len(in.Members)+1 {
		return oldestReport + LivenessTimeout
	}
	return 0
}
