package limiter

import (
	"encoding/binary"
	"hash/maphash"
	"net/netip"
	"sync"

	"catkindyke/pkg/clock"
)

const (
	// The table holds sourceShards × sourceSets × sourceWays = 16,384 sources
	// of 24 bytes.
	sourceShards = 64
	sourceSets   = 64
	sourceWays   = 4
)

// SourceLimiter limits the rate of each source address in a table of fixed
// size. A full bucket needs no entry, so a new source replaces the entry of its
// set with the most tokens. When there are more active sources than entries,
// some are limited less than they should be, and none more.
type SourceLimiter struct {
	seed   maphash.Seed
	shards [sourceShards]sourceShard
}

type sourceShard struct {
	mu   sync.Mutex
	sets [sourceSets][sourceWays]source
}

// source is the bucket of one address. A zero key marks a free entry.
type source struct {
	key uint64
	// usedTokens is the number of tokens missing from the full bucket at
	// updatedAt.
	usedTokens float64
	updatedAt  clock.Millis
}

// NewSourceLimiter returns an empty table. Its hash has a random seed, so that
// callers cannot choose addresses that share a set.
func NewSourceLimiter() *SourceLimiter {
	return &SourceLimiter{seed: maphash.MakeSeed()}
}

// Admit takes a token for an address, or returns false and a retry time. All
// addresses of an IPv6 /64 count as one source, because one caller can own them
// all.
func (s *SourceLimiter) Admit(addr netip.Addr, limit Limit, now clock.Millis) (bool, clock.Millis) {
	if limit.RatePerSecond <= 0 {
		return true, 0
	}
	key := s.key(addr)
	shard := &s.shards[key%sourceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	e := findOrReplace(&shard.sets[key/sourceShards%sourceSets], key, limit.RatePerSecond, now)
	if e.usedTokens+1 <= limit.Burst {
		e.usedTokens++
		return true, 0
	}
	return false, clock.Millis((e.usedTokens+1-limit.Burst)/limit.RatePerSecond*1000) + 1
}

// key returns the nonzero hash of an IPv4 address or an IPv6 /64 prefix.
func (s *SourceLimiter) key(addr netip.Addr) uint64 {
	raw := addr.As16()
	n := 16
	if addr.Is6() && !addr.Is4In6() {
		n = 8
	}
	var h maphash.Hash
	h.SetSeed(s.seed)
	_, _ = h.Write(raw[:n])
	_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, uint32(n)))
	return max(h.Sum64(), 1)
}

// findOrReplace returns the entry of a key, refilled to the current time. If
// there is none, it replaces the entry with the most tokens.
func findOrReplace(set *[sourceWays]source, key uint64, rate float64, now clock.Millis) *source {
	fullest := &set[0]
	for i := range set {
		e := &set[i]
		if now > e.updatedAt {
			e.usedTokens = max(0, e.usedTokens-rate*float64(now-e.updatedAt)/1000)
			e.updatedAt = now
		}
		if e.key == key {
			return e
		}
		if e.usedTokens < fullest.usedTokens {
			fullest = e
		}
	}
	*fullest = source{key: key, updatedAt: now}
	return fullest
}
