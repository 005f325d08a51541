// Package fetcher decides where a host reads the pieces of the block table, so
// that a change loads the store a few times and not once for each host.
package fetcher

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"catkindyke/pkg/clock"
)

const (
	// PieceInterval is the time between two pieces of a load. A first load of 512
	// pieces takes 10 s, within the 14 s that a change may take everywhere.
	PieceInterval clock.Millis = 20
	// shortRetryBackoff is the time after which a piece that no source had is asked for again.
	shortRetryBackoff clock.Millis = 200
	// longRetryBackoff follows after patience rounds, when the store may be down for long.
	longRetryBackoff = 5 * clock.Second
	// seedersPerPiece is the number of hosts that read a piece from the store. With three,
	// a piece stays available from a host when two of them fail at once.
	seedersPerPiece = 3
	// storeFallbackRounds is the number of rounds after which a host that is not a seeder
	// reads the store too: the seeders may be cut off from it or from this host.
	storeFallbackRounds = 10
)

// Peer is another live host.
type Peer struct {
	Name    string
	Address string
	Region  string
	// Version is the version of the block table that the host has in force.
	Version uint64
}

// Query asks for the sources of a piece.
type Query struct {
	// Self and Region describe the asking host.
	Self, Region string
	// Piece is the SHA-256 of the piece.
	Piece [32]byte
	// Version is the version of the head that names the piece.
	Version uint64
	// Round counts the tries for this piece, from zero.
	Round int
}

// Source is a place to read a piece from: the store when Address is empty.
type Source struct {
	Address string
}

// Sources returns where to read a piece, in order of preference.
func Sources(q Query, peers []Peer) []Source {
	var out []Source
	seeder := isSeeder(q, peers)
	if seeder {
		out = append(out, Source{})
	}
	// Hosts of the own region that have the whole table are nearest; the choice
	// depends on the asking host, so that the load is spread.
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

// RetryBackoff returns the pause after a round in which no source had the piece.
func RetryBackoff(round int) clock.Millis {
	if round < storeFallbackRounds {
		return shortRetryBackoff
	}
	return longRetryBackoff
}

// ranksAbove reports whether a host comes before another in the rendezvous order of a piece.
func ranksAbove(a, b string, piece [32]byte) bool {
	return cmp.Or(cmp.Compare(score(a, piece), score(b, piece)), cmp.Compare(b, a)) > 0
}

// isSeeder reports whether the asking host reads the piece from the store.
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

// seederPeers returns the peers that come first in the rendezvous order of the piece.
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

// score returns the rendezvous hash of a host and a piece. The name of a piece
// is a hash already; the multiplier is that of the SplitMix64 generator.
func score(name string, piece [32]byte) uint64 {
	x := xxhash.Sum64String(name) ^ binary.LittleEndian.Uint64(piece[:])
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// selectHolder returns a host that has the table of the version, near or in another region.
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

// rotate starts the list of seeders at another place for each asking host.
func rotate(list []Source, q Query) {
	if len(list) == 0 {
		return
	}
	n := int((score(q.Self, q.Piece) + uint64(q.Round)) % uint64(len(list)))
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
}

// NextPiece picks the piece to load next: those that the host reads from the store
// come first, because other hosts wait for them.
func NextPiece(q Query, missing [][32]byte, peers []Peer) [32]byte {
	for _, piece := range missing {
		q.Piece = piece
		if isSeeder(q, peers) {
			return piece
		}
	}
	return missing[score(q.Self, [32]byte{})%uint64(len(missing))]
}
