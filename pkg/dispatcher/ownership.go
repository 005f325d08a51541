package dispatcher

import (
	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

// Owner returns the host that owns a backend server: the one with the highest
// rendezvous hash. It returns the empty string when there are no hosts.
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

// Rules are the times and counts that keep two hosts from granting the same slot,
// and that bound ejections. Tests break one at a time.
type Rules struct {
	// VoteTTL is how long an owner counts a vote, from the time at which it issued the
	// token that the vote answers.
	VoteTTL clock.Millis
	// PromiseTTL is how long a voter keeps to its vote, from the receipt of the token.
	// It exceeds VoteTTL by 25 % to allow for clocks of different speed.
	PromiseTTL clock.Millis
	// FreshTime is the time after a host's start for which promises of an earlier incarnation may still hold.
	FreshTime clock.Millis
	// GrantTTL is the time from sending Acquire within which the entry host may start to use the grant.
	GrantTTL clock.Millis
	// HandOverWait is how long an elected owner waits before it counts reports, so
	// that late grants of the former owner are in them.
	HandOverWait clock.Millis
	// EntryHostTimeout is how long an entry host may be silent before its permits are freed.
	EntryHostTimeout clock.Millis
	// DeadHostGrace is the time from the proof of an entry host's death until its
	// permits are freed. Its connections have closed, on which backend servers cancel
	// its requests; the time covers their reaction.
	DeadHostGrace clock.Millis
	// QuorumMemberTTL is how long a host of the region that left the view still counts
	// for the quorum. A longer time tolerates longer network partitions, but a region of
	// two hosts grants nothing for longer when one dies.
	QuorumMemberTTL clock.Millis
	// TombstoneTTL is how long a released permit is remembered, so that a late Acquire gets no slot.
	TombstoneTTL clock.Millis
	// RampTime is the time over which the limit of a new or returned server grows from one slot to all.
	RampTime clock.Millis
	// EjectionDivisor bounds ejections: at most one in this many owned servers is ejected.
	EjectionDivisor int
	// Quorum returns the number of votes needed among the given number of hosts.
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

// vote is a voter's promise to one owner for one backend server.
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

// token is the latest token of an owner.
type token struct {
	value      uint64
	receivedAt clock.Millis
}

// NewVoter returns the voter of a host that starts at the given time.
func NewVoter(rules Rules, self string, start clock.Millis) *Voter {
	return &Voter{rules: rules, self: self, start: start, votes: make(map[string]vote), tokens: make(map[string]token)}
}

// Fresh reports whether promises of an earlier incarnation may still hold.
func (v *Voter) Fresh(now clock.Millis) bool { return now-v.start < v.rules.FreshTime }

// RecordToken records a token from an owner's response. A response that arrives out
// of order may replace a newer token; the vote then counts for a shorter time.
// Tokens are not compared, because those of a new incarnation may be lower.
func (v *Voter) RecordToken(owner string, value uint64, now clock.Millis) {
	v.tokens[owner] = token{value, now}
}

// LatestToken returns the latest token of an owner, or zero if there is none.
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

// Votes returns the servers for which the host votes for the receiver, given the
// owners in its own view. A promise to another owner is kept until it expires.
func (v *Voter) Votes(receiver string, owners map[string]string, now clock.Millis) []string {
	var out []string
	latest := v.tokens[receiver]
	expires := latest.receivedAt + v.rules.PromiseTTL
	// The owner no longer counts votes with a token this old.
	if receiver != v.self && (latest.value == 0 || now-latest.receivedAt >= v.rules.VoteTTL) {
		return nil
	}
	for server, owner := range owners {
		if owner != receiver {
			continue
		}
		old, promised := v.votes[server]
		// A host's promise to itself ends as soon as its own view names another owner,
		// because it stops granting under the same lock.
		if promised && old.owner != receiver && old.owner != v.self && now < old.expires {
			continue
		}
		v.votes[server] = vote{receiver, expires}
		out = append(out, server)
	}
	return out
}
