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
	contact, has := in.StoreContact, in.HasStoreContact
	heard, last := 1, now
	for _, m := range in.Members {
		if !m.IsLive(now) {
			continue
		}
		heard++
		last = min(last, m.heard)
		if m.hasStoreContact && (!has || m.storeContact > contact) {
			contact, has = m.storeContact, true
		}
	}
	if has && now-contact < MaxKeyStaleness {
		return contact + MaxKeyStaleness
	}
	if has && 2*heard > len(in.Members)+1 {
		return last + LivenessTimeout
	}
	return 0
}
