// Package fetcher selects the sources from which a host reads the pieces of the
// block table, so that a few hosts read a changed piece from the store and the
// others copy it from them.
package fetcher

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// PieceInterval is the time between two pieces of a load. An initial load of 512
	// pieces takes 10 s, within the 14 s in which a change must reach all hosts.
	PieceInterval clock.Millis = 20
	// shortRetryBackoff is the wait before a piece that no source had is requested again.
	shortRetryBackoff clock.Millis = 200
	// longRetryBackoff applies after storeFallbackRounds, when the store may be down for long.
	longRetryBackoff = 5 * clock.Second
	// seedersPerPiece is the number of hosts that read a piece from the store. With
	// three, one still has the piece when two of them fail at once.
	seedersPerPiece = 3
	// storeFallbackRounds is the number of failed rounds after which a host that is
	// not a seeder also reads the store: the seeders may be unable to reach the
	// store or this host.
	storeFallbackRounds = 10
)

// Peer describes another live host.
type Peer struct {
	Name    string
	Address string
	Region  string
	// Version is the version of the block table that the host uses.
	Version uint64
}

// Query describes a host's request for a piece.
type Query struct {
	// Self and Region are the name and region of the requesting host.
	Self, Region string
	// Piece is the SHA-256 of the piece.
	Piece [32]byte
	// Version is the version of the table head that lists the piece.
	Version uint64
	// Round counts the attempts for this piece, starting at zero.
	Round int
}

// Source is a peer to read a piece from, or the store if Address is empty.
type Source struct {
	Address string
}

// Sources returns the sources of a piece in order of preference.
func Sources(q Query, peers []Peer) []Source {
	var out []Source
	seeder := isSeeder(q, peers)
	if seeder {
		out = append(out, Source{})
	}
	// Peers in the same region that have the complete table are nearest. The choice
	// depends on the requesting host, which distributes the load.
	for _, sameRegion := range []bool{true, false} {
		if p, ok := selectHolder(q, peers, sameRegion); ok {
			out = append(out, Source{p.Address})
		}
	}
	seedersStart := len(out)
	for _, p := range seederPeers(q, peers) {
		out = append(out, Source{p.Address})
	}
	rotate(out[seedersStart:], q)
	if !seeder && q.Round >= storeFallbackRounds {
		out = append(out, Source{})
	}
	return out
}

// RetryBackoff returns the wait after a round in which no source had the piece.
func RetryBackoff(round int) clock.Millis {
	if round < storeFallbackRounds {
		return shortRetryBackoff
	}
	return longRetryBackoff
}

// ranksAbove reports whether host a precedes host b in the rendezvous order of a piece.
func ranksAbove(a, b string, piece [32]byte) bool {
	return cmp.Or(cmp.Compare(score(a, piece), score(b, piece)), cmp.Compare(b, a)) > 0
}

// isSeeder reports whether the requesting host is one that reads the piece from the store.
func isSeeder(q Query, peers []Peer) bool {
	above := 0
	for _, p := range peers {
		if ranksAbove(p.Name, q.Self, q.Piece) {
			if above++; above == seedersPerPiece {
				return false
			}
		}
	}
	return true
}

// seederPeers returns the first seedersPerPiece peers in the rendezvous order of the piece.
func seederPeers(q Query, peers []Peer) []Peer {
	out := make([]Peer, 0, seedersPerPiece+1)
	for _, p := range peers {
		i := len(out)
		for i > 0 && ranksAbove(p.Name, out[i-1].Name, q.Piece) {
			i--
		}
		if i < seedersPerPiece {
			out = slices.Insert(out, i, p)
			out = out[:min(seedersPerPiece, len(out))]
		}
	}
	return out
}

// score returns the rendezvous hash of a host and a piece. A piece is identified by
// its SHA-256, so its first 8 bytes need no further hashing before the two are
// combined. The mixing steps are those of the SplitMix64 generator.
func score(name string, piece [32]byte) uint64 {
	x := xxhash.Sum64String(name) ^ binary.LittleEndian.Uint64(piece[:])
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// selectHolder returns a peer with at least version q.Version of the table, from the
// region of the requesting host or, if sameRegion is false, from another region.
func selectHolder(q Query, peers []Peer, sameRegion bool) (best Peer, ok bool) {
	var bestScore uint64
	for _, p := range peers {
		if p.Version < q.Version || (p.Region == q.Region) != sameRegion {
			continue
		}
		if s := score(q.Self+"\x00"+p.Name+string(rune('a'+q.Round%26)), q.Piece); !ok || s > bestScore {
			best, bestScore, ok = p, s, true
		}
	}
	return best, ok
}

// rotate rotates the list of seeders by an offset that depends on the requesting
// host and the round, so that hosts don't all try the same seeder first.
func rotate(list []Source, q Query) {
	if len(list) == 0 {
		return
	}
	n := int((score(q.Self, q.Piece) + uint64(q.Round)) % uint64(len(list)))
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// NextPiece returns the piece to load next. Pieces that this host reads from the
// store come first, because other hosts wait for them.
func NextPiece(q Query, missing [][32]byte, peers []Peer) [32]byte {
	for _, piece := range missing {
		q.Piece = piece
		if isSeeder(q, peers) {
			return piece
		}
	}
	return missing[score(q.Self, [32]byte{})%uint64(len(missing))]
}
