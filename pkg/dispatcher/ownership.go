package dispatcher

import (
	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

// Owner returns the host that owns a backend server: the one with the highest
// rendezvous score. It returns the empty string when there are no hosts.
func Owner(server string, hosts []string) string {
	best, bestScore := "", uint64(0)
	for _, h := range hosts {
		score := xxhash.Sum64String(h + "\x00" + server)
		if best == "" || score > bestScore || score == bestScore && h < best {
			best, bestScore = h, score
		}
	}
	return best
}

// Rules are the times and counts that keep grants exact. Tests break one at a time.
type Rules struct {
	// VoteTTL is how long an owner counts a vote, from the time of the token that the vote answers.
	VoteTTL clock.Millis
	// PromiseTTL is how long a voter keeps to its vote, from the receipt of the
	// token. It exceeds VoteLease by 25 % for clocks of different speed.
	PromiseTTL clock.Millis
	// FreshTime is the time after a host's start for which an earlier incarnation may have promises out.
	FreshTime clock.Millis
	// GrantTTL is the time from sending Acquire within which the entry host may start to use the grant.
	GrantTTL clock.Millis
	// HandOverWait is the time after winning the votes for which an owner waits
	// before it counts reports, so that late grants of the former owner are in them.
	HandOverWait clock.Millis
	// EntryHostTimeout is the silence of an entry host after which its permits are freed.
	EntryHostTimeout clock.Millis
	// DeadHostGrace is the time after proof of an entry host's death after which its
	// permits are freed. The death closed its connections, on which backend
	// servers cancel; the time covers their reaction.
	DeadHostGrace clock.Millis
	// QuorumMemberTTL is the time after a host of the region left the view for which it
	// still counts for the quorum. A longer time tolerates a longer cut and lets a
	// region of two hosts stand still for longer when one dies.
	QuorumMemberTTL clock.Millis
	// TombstoneTTL is how long a released permit is remembered, so that a late Acquire gets nothing.
	TombstoneTTL clock.Millis
	// RampTime is the time over which an arriving server goes from one slot to all.
	RampTime clock.Millis
	// EjectionDivisor bounds ejections: at most one in this many owned servers is ejected.
	EjectionDivisor int
	// Quorum returns the votes needed among a number of hosts.
	Quorum func(hosts int) int
}

// DefaultRules returns the rules in use. The permit lease is 2 s (docs/design.md, 5.6).
func DefaultRules() Rules {
	return Rules{
		VoteTTL: 2000, PromiseTTL: 2500, FreshTime: 2500, GrantTTL: 500, HandOverWait: 625,
		EntryHostTimeout: 2500, DeadHostGrace: 1000, QuorumMemberTTL: 4500,
		TombstoneTTL: 10 * clock.Second, RampTime: 10 * clock.Second, EjectionDivisor: 3, Quorum: func(n int) int { return n/2 + 1 },
	}
}

// vote is a voter's promise about one backend server.
type vote struct {
	owner   string
	expires clock.Millis
}

// Voter decides which owner a host supports for each backend server of its region.
type Voter struct {
	rules  Rules
	self   string
	start  clock.Millis
	votes  map[string]vote
	tokens map[string]token
}

// token is the latest token of an owner and the time of its receipt.
type token struct {
	value      uint64
	receivedAt clock.Millis
}

// NewVoter returns a voter that starts at the given time.
func NewVoter(rules Rules, self string, start clock.Millis) *Voter {
	return &Voter{rules: rules, self: self, start: start, votes: make(map[string]vote), tokens: make(map[string]token)}
}

// Fresh reports whether an earlier incarnation may still have promises out.
func (v *Voter) Fresh(now clock.Millis) bool { return now-v.start < v.rules.FreshTime }

// RecordToken takes a token from an owner's answer. An answer that was overtaken may
// replace a newer token; the vote then counts for a shorter time. Tokens are not
// compared, because those of a new incarnation may be lower.
func (v *Voter) RecordToken(owner string, value uint64, now clock.Millis) {
	v.tokens[owner] = token{value, now}
}

// LatestToken returns the latest token of an owner, zero when there is none.
func (v *Voter) LatestToken(owner string) uint64 { return v.tokens[owner].value }

// EndPromises ends the promises to an owner that grants nothing more.
func (v *Voter) EndPromises(owner string) {
	if owner == v.self {
		return
	}
	for server, old := range v.votes {
		if old.owner == owner {
			delete(v.votes, server)
		}
	}
}

// Votes returns the servers for which the voter supports the receiver, by the
// owners that it believes in. A promise to another owner is kept until it ends.
func (v *Voter) Votes(receiver string, owners map[string]string, now clock.Millis) []string {
	var out []string
	tok := v.tokens[receiver]
	until := tok.receivedAt + v.rules.PromiseTTL
	// An owner no longer counts a vote with so old a token.
	if receiver != v.self && (tok.value == 0 || now-tok.receivedAt >= v.rules.VoteTTL) {
		return nil
	}
	for server, owner := range owners {
		if owner != receiver {
			continue
		}
		old, promised := v.votes[server]
		// A host's promise to itself ends as soon as its own view names another
		// owner, because the same lock stops its grants.
		if promised && old.owner != receiver && old.owner != v.self && now < old.expires {
			continue
		}
		v.votes[server] = vote{receiver, until}
		out = append(out, server)
	}
	return out
}
