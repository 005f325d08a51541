package tracker

import "catkindyke/pkg/clock"

// MaxKeyStaleness is how long after the last store contact requests that need a key
// are admitted without news of revoked keys.
const MaxKeyStaleness = 10 * clock.Second

// KeyDeadlineInput is what a host knows about contact with the store.
type KeyDeadlineInput struct {
	// StoreContact is the time of this host's latest store contact.
	StoreContact clock.Millis
	// HasStoreContact says that StoreContact is set.
	HasStoreContact bool
	// Members are the other known hosts.
	Members []Member
}

// KeyDeadline returns the time until which requests that need a key may be admitted:
// MaxKeyStaleness after the latest store contact of this host or of a live member.
// Once that has passed, requests are admitted only while more than half of the known
// hosts are live: then either the store itself is down, or only a minority of hosts
// can still reach it.
func KeyDeadline(in KeyDeadlineInput, now clock.Millis) clock.Millis {
	lastContact, hasContact := in.StoreContact, in.HasStoreContact
	liveHosts, oldestReport := 1, now
	for _, m := range in.Members {
		if !m.IsLive(now) {
			continue
		}
		liveHosts++
		oldestReport = min(oldestReport, m.reportAt)
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
