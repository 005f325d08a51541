package fetcher

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

func makePeers(n int, version uint64) []Peer {
	out := make([]Peer, n)
	for i := range out {
		out[i] = Peer{Name: fmt.Sprintf("host-%d", i), Address: fmt.Sprintf("addr-%d", i), Region: fmt.Sprintf("region-%d", i%7), Version: version}
	}
	return out
}

func withoutPeer(peers []Peer, i int) []Peer {
	return append(append([]Peer{}, peers[:i]...), peers[i+1:]...)
}

// TestStoreReads checks that exactly seedersPerPiece hosts, or all of a smaller
// fleet, read a piece from the store, and that no host is its own source.
func TestStoreReads(t *testing.T) {
	for _, n := range []int{1, 2, 8, 300} {
		peers := makePeers(n, 1)
		for piece := range 20 {
			sum := sha256.Sum256([]byte{byte(piece)})
			reads := 0
			for i, p := range peers {
				q := Query{Self: p.Name, Region: p.Region, Piece: sum, Version: 2}
				sources := Sources(q, withoutPeer(peers, i))
				if len(sources) == 0 {
					t.Fatalf("%s has no source", p.Name)
				}
				for _, s := range sources {
					if s.Address == p.Address {
						t.Fatalf("%s is among its own sources", p.Name)
					}
					if s.Address == "" {
						reads++
					}
				}
			}
			if reads != min(n, seedersPerPiece) {
				t.Errorf("fleet of %d hosts: %d hosts read piece %d from the store", n, reads, piece)
			}
		}
	}
}

// TestStoreFallback guards against a host that never loads a piece because it
// cannot reach the seeders, and against one that ignores peers with the complete table.
func TestStoreFallback(t *testing.T) {
	peers := makePeers(50, 2)
	q := Query{Self: "host-x", Region: "region-3", Version: 2, Round: storeFallbackRounds}
	for piece := range 20 {
		q.Piece = sha256.Sum256([]byte{byte(piece)})
		sources := Sources(q, peers)
		store, sameRegion := false, false
		for _, s := range sources {
			store = store || s.Address == ""
			for _, p := range peers {
				sameRegion = sameRegion || p.Address == s.Address && p.Region == q.Region
			}
		}
		if !store || !sameRegion {
			t.Errorf("piece %d: store listed: %v, peer in same region listed: %v, sources: %v", piece, store, sameRegion, sources)
		}
	}
}

// TestNextPiece guards against a seeder that loads the pieces it seeds after others,
// while other hosts wait for them.
func TestNextPiece(t *testing.T) {
	peers := makePeers(40, 1)
	var missing [][32]byte
	for piece := range 60 {
		missing = append(missing, sha256.Sum256([]byte{byte(piece)}))
	}
	q := Query{Self: "host-0", Version: 2}
	q.Piece = NextPiece(q, missing, peers[1:])
	if Sources(q, peers[1:])[0].Address != "" {
		t.Error("first piece is not read from the store although the host is a seeder of some pieces")
	}
}
