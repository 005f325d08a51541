package locator

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"catkindyke/pkg/schema"
)

// Loader collects the pieces that a head lists. It reuses the unchanged pieces
// of an older table.
type Loader struct {
	head    *schema.BlocksHead
	spans   []span
	pieces  map[pieceSum]*decodedPiece
	missing []pieceSum
	scratch scratch
}

// NewLoader returns a loader for a valid head. Only the pieces that the old table,
// which may be nil, does not contain are missing then.
func NewLoader(head *schema.BlocksHead, old *Table) (*Loader, error) {
	spans, err := checkHead(head)
	if err != nil {
		return nil, err
	}
	l := &Loader{head: head, spans: spans, pieces: make(map[pieceSum]*decodedPiece, len(spans))}
	reuse := old != nil && keepsSiteIndexes(old.head.GetSites(), head.GetSites())
	for i, p := range head.GetPieces() {
		sum := pieceSum(p.GetSha256())
		if _, seen := l.pieces[sum]; seen {
			return nil, fmt.Errorf("%w: head lists the same piece for two ranges", ErrCorrupt)
		}
		l.pieces[sum] = nil
		if reuse && old.pieces[sum] != nil && old.pieces[sum].span == spans[i] {
			l.pieces[sum] = old.pieces[sum]
			continue
		}
		l.missing = append(l.missing, sum)
	}
	return l, nil
}

// keepsSiteIndexes reports whether the old sites have the same indexes in the
// current list.
func keepsSiteIndexes(old, current []string) bool {
	return len(old) <= len(current) && slices.Equal(old, current[:len(old)])
}

// Head returns the head of the table that is being loaded.
func (l *Loader) Head() *schema.BlocksHead { return l.head }

// Missing returns the SHA-256 sums of the pieces that are still to be added.
func (l *Loader) Missing() [][sha256.Size]byte { return l.missing }

// Piece returns the content of a piece that was already added or reused.
func (l *Loader) Piece(sum [sha256.Size]byte) ([]byte, bool) {
	if l == nil {
		return nil, false
	}
	p := l.pieces[sum]
	if p == nil {
		return nil, false
	}
	return p.encode(&scratch{}), true
}

// Add checks and decodes a missing piece. It does not retain the content.
func (l *Loader) Add(content []byte) error {
	sum := sha256.Sum256(content)
	at := slices.Index(l.missing, sum)
	if at < 0 {
		return fmt.Errorf("%w: piece %x is not in the head or was already added", ErrCorrupt, sum[:6])
	}
	p, err := decodePiece(content, len(l.head.GetSites()), &l.scratch)
	if err != nil {
		return err
	}
	for i, entry := range l.head.GetPieces() {
		if pieceSum(entry.GetSha256()) == sum && p.span != l.spans[i] {
			return fmt.Errorf("%w: piece covers the range %s, but the head lists it for %s", ErrCorrupt, p.span.prefix(), l.spans[i].prefix())
		}
	}
	l.pieces[sum] = p
	l.missing = slices.Delete(l.missing, at, at+1)
	return nil
}

// Table returns the complete table, or an error while pieces are missing.
func (l *Loader) Table() (*Table, error) {
	if len(l.missing) > 0 {
		return nil, fmt.Errorf("%w: %d pieces are missing", ErrCorrupt, len(l.missing))
	}
	t := &Table{head: l.head, pieces: l.pieces, ipv4Index: make([]uint16, 1<<maxIPv4PieceBits)}
	for i, entry := range l.head.GetPieces() {
		p := l.pieces[pieceSum(entry.GetSha256())]
		t.sortedPieces = append(t.sortedPieces, p)
		if p.span.v6 {
			continue
		}
		t.firstIPv6 = i + 1
		from := p.span.first.hi >> 48
		for j := range len(p.root) {
			t.ipv4Index[from+uint64(j)] = uint16(i)
		}
	}
	return t, nil
}

// ReusePieces reuses pieces that the loader of an older head has already decoded.
// It is called when a newer head arrives before all pieces of the older one.
func (l *Loader) ReusePieces(prev *Loader) {
	if prev == nil || !keepsSiteIndexes(prev.head.GetSites(), l.head.GetSites()) {
		return
	}
	for i, entry := range l.head.GetPieces() {
		sum := pieceSum(entry.GetSha256())
		p := prev.pieces[sum]
		if at := slices.Index(l.missing, sum); at >= 0 && p != nil && p.span == l.spans[i] {
			l.pieces[sum] = p
			l.missing = slices.Delete(l.missing, at, at+1)
		}
	}
}
