package tracker

import "catkindyke/pkg/clock"

// KeyStaleness is the time after the last store contact for which requests
// that need a key are admitted without news of withdrawals.
const KeyStaleness = 10 * clock.Second

// StandingInput is what a host knows about contact with the store.
type StandingInput struct {
	// Contact is the host's own latest store contact.
	Contact clock.Millis
	// HasContact says that Contact is set.
	HasContact bool
	// Members are the other known hosts.
	Members []Member
}

// KeyDeadline returns the time until which requests that need a key may be
// admitted. A host with store contact, its own or a live member's, goes on for
// KeyStaleness. Without it the host goes on only while it hears more than half
// of the known fleet: then the store itself is down, or only a minority can
// still reach it.
func KeyDeadline(in StandingInput, now clock.Millis) clock.Millis {
	contact, has := in.Contact, in.HasContact
	heard, last := 1, now
	for _, m := range in.Members {
		if !m.Live(now) {
			continue
		}
		heard++
		last = min(last, m.heard)
		if m.hasStoreContact && (!has || m.storeContact > contact) {
			contact, has = m.storeContact, true
		}
	}
	if has && now-contact < KeyStaleness {
		return contact + KeyStaleness
	}
	if has && 2*heard > len(in.Members)+1 {
		return last + SuspectAfter
	}
	return 0
}
