package locator

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/schema"
)

// MaxSiteNameBytes limits the length of a site's name.
const MaxSiteNameBytes = 253

// pieceSum is the SHA-256 of a piece's content, which identifies the piece.
type pieceSum = [sha256.Size]byte

// Table maps blocks to sites. It is immutable and safe for concurrent use.
type Table struct {
	head   *schema.BlocksHead
	pieces map[pieceSum]*decodedPiece
	// ipv4Index holds the index in sortedPieces of the piece of each IPv4 /16.
	ipv4Index []uint16
	// sortedPieces holds all pieces in address order, IPv4 first.
	sortedPieces []*decodedPiece
	// firstIPv6 is the index in sortedPieces of the first IPv6 piece.
	firstIPv6 int
}

// Head returns the head that the table was loaded from. It must not be modified.
func (t *Table) Head() *schema.BlocksHead {
	if t == nil {
		return nil
	}
	return t.head
}

// Version returns the version of the head, or zero for a nil table.
func (t *Table) Version() uint64 { return t.Head().GetVersion() }

// Piece returns the content of the piece with the given SHA-256, for hosts that
// fetch it from this one.
func (t *Table) Piece(sum [sha256.Size]byte) ([]byte, bool) {
	if t == nil {
		return nil, false
	}
	p, ok := t.pieces[sum]
	if !ok {
		return nil, false
	}
	return p.encode(&scratch{}), true
}

// Lookup returns the name of the site that the longest matching block assigns to
// an address. An IPv4-mapped IPv6 address is looked up as IPv4.
func (t *Table) Lookup(addr netip.Addr) (string, bool) {
	if t == nil || !addr.IsValid() {
		return "", false
	}
	addr = addr.Unmap()
	var v uint16
	k := keyOf(addr)
	if addr.Is4() {
		v = t.sortedPieces[t.ipv4Index[k.hi>>48]].lookupIPv4(uint32(k.hi >> 32))
	} else {
		pieces6 := t.sortedPieces[t.firstIPv6:]
		i := sort.Search(len(pieces6), func(i int) bool { return pieces6[i].span.first.compare(k) > 0 })
		v = pieces6[i-1].ipv6.lookup(pieces6[i-1].span, k)
	}
	if v == 0 {
		return "", false
	}
	return t.head.Sites[v-1], true
}

// NewHead returns a head that lists the pieces. The caller sets its version and
// attempt ID.
func NewHead(sites []string, pieces []Piece) *schema.BlocksHead {
	head := &schema.BlocksHead{Sites: sites}
	for _, p := range pieces {
		sum := p.Sum()
		head.Pieces = append(head.Pieces, &schema.BlocksPiece{
			First: p.span.first.addr(p.span.v6).AsSlice(), Bits: uint32(p.span.bits), Sha256: sum[:],
		})
	}
	return head
}

// DecodeHead decodes and checks a head.
func DecodeHead(value []byte) (*schema.BlocksHead, error) {
	head := &schema.BlocksHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, fmt.Errorf("%w: head: %v", ErrCorrupt, err)
	}
	_, err := checkHead(head)
	return head, err
}

// checkHead checks a head and returns the ranges of its pieces. They must cover
// all IPv4 and then all IPv6 addresses in order, without gaps or overlaps.
func checkHead(head *schema.BlocksHead) ([]span, error) {
	if head.GetVersion() == 0 || len(head.GetSites()) > MaxSites {
		return nil, fmt.Errorf("%w: head has version 0 or too many sites: version %d, %d sites", ErrCorrupt, head.GetVersion(), len(head.GetSites()))
	}
	names := slices.Clone(head.GetSites())
	slices.Sort(names)
	for i, name := range names {
		if name == "" || len(name) > MaxSiteNameBytes || i > 0 && name == names[i-1] {
			return nil, fmt.Errorf("%w: head has an invalid or duplicate site name %q", ErrCorrupt, name)
		}
	}
	spans := make([]span, 0, len(head.GetPieces()))
	nextFirst, v6, familyDone := key{}, false, false
	for _, p := range head.GetPieces() {
		s, err := pieceSpan(p)
		if err != nil {
			return nil, err
		}
		if familyDone && !v6 && s.v6 {
			nextFirst, v6, familyDone = key{}, true, false
		}
		if familyDone || s.v6 != v6 || s.first != nextFirst {
			return nil, fmt.Errorf("%w: head: piece %s leaves a gap, overlaps or is out of order", ErrCorrupt, s.prefix())
		}
		last := s.last()
		nextFirst = last.next()
		familyDone = last == span{v6: v6}.last()
		spans = append(spans, s)
	}
	if !v6 || !familyDone {
		return nil, fmt.Errorf("%w: head: pieces do not cover all addresses", ErrCorrupt)
	}
	return spans, nil
}

func pieceSpan(p *schema.BlocksPiece) (span, error) {
	addr, ok := netip.AddrFromSlice(p.GetFirst())
	limit := uint32(128)
	if addr.Is4() {
		limit = maxIPv4PieceBits
	}
	if !ok || p.GetBits() > limit || len(p.GetSha256()) != sha256.Size {
		return span{}, fmt.Errorf("%w: head has a piece with an invalid address, prefix length or SHA-256", ErrCorrupt)
	}
	prefix := netip.PrefixFrom(addr, int(p.GetBits()))
	if prefix.Masked() != prefix {
		return span{}, fmt.Errorf("%w: head: piece range %s has bits set after its prefix", ErrCorrupt, prefix)
	}
	return spanOf(prefix), nil
}
