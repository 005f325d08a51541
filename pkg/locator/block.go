// Package locator maps client addresses to sites by longest-prefix match, with
// an immutable table of blocks.
//
// The table is stored and distributed in pieces. A piece holds the blocks of
// one address range and is identified by the SHA-256 of its content, so a change
// of a few blocks replaces only a few pieces. Tables of successive versions share
// the decoded form of unchanged pieces.
package locator

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
)

// MaxSites limits the number of sites. The table stores sites as 16-bit values,
// of which one bit marks references to nodes and one value means "no site".
const MaxSites = 1<<15 - 2

// ErrDuplicateBlock is returned when the same block is assigned to two sites.
var ErrDuplicateBlock = errors.New("block is assigned to two sites")

// Block assigns a range of client addresses to a site.
type Block struct {
	// Prefix is a masked IPv4 or IPv6 prefix.
	Prefix netip.Prefix
	// Site is an index into the list of sites.
	Site uint16
}

// Sort sorts blocks by address and prefix length, as Split requires, and removes
// duplicates.
func Sort(blocks []Block) ([]Block, error) {
	slices.SortFunc(blocks, func(a, b Block) int {
		return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()), cmp.Compare(a.Site, b.Site))
	})
	blocks = slices.Compact(blocks)
	for i := 1; i < len(blocks); i++ {
		if blocks[i].Prefix == blocks[i-1].Prefix {
			return nil, fmt.Errorf("%w: %s", ErrDuplicateBlock, blocks[i].Prefix)
		}
	}
	return blocks, nil
}

// key is a left-aligned address: an IPv4 address is in the upper half of hi.
type key struct{ hi, lo uint64 }

func keyOf(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(b[:])) << 32}
	}
	b := a.As16()
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func (k key) addr(v6 bool) netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k.hi)
	binary.BigEndian.PutUint64(b[8:], k.lo)
	if v6 {
		return netip.AddrFrom16(b)
	}
	return netip.AddrFrom4([4]byte(b[:4]))
}

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo))
}

// last returns the last key of the prefix that starts at k and has the given length.
func (k key) last(bits int) key {
	if bits <= 64 {
		return key{k.hi | ^uint64(0)>>bits, ^uint64(0)}
	}
	return key{k.hi, k.lo | ^uint64(0)>>(bits-64)}
}

// next returns the key after k, which is zero after the last key.
func (k key) next() key {
	k.lo++
	if k.lo == 0 {
		k.hi++
	}
	return k
}

// prev returns the key before k, which must not be zero.
func (k key) prev() key {
	if k.lo == 0 {
		k.hi--
	}
	k.lo--
	return k
}

// shortestPrefixBits returns the length of the shortest prefix that starts at k.
func (k key) shortestPrefixBits() int {
	if k.lo != 0 {
		return 128 - bits.TrailingZeros64(k.lo)
	}
	return 64 - bits.TrailingZeros64(k.hi)
}

// span is the range of keys of a prefix.
type span struct {
	first key
	bits  int
	v6    bool
}

func spanOf(p netip.Prefix) span {
	return span{keyOf(p.Addr()), p.Bits(), p.Addr().Is6()}
}

func (s span) prefix() netip.Prefix { return netip.PrefixFrom(s.first.addr(s.v6), s.bits) }

func (s span) last() key { return s.first.last(s.bits) }

// contains reports whether o equals s or lies within s.
func (s span) contains(o span) bool {
	return s.v6 == o.v6 && s.bits <= o.bits && s.first.compare(o.first) <= 0 && o.first.compare(s.last()) <= 0
}

// halves returns the two halves of s.
func (s span) halves() (span, span) {
	low := span{s.first, s.bits + 1, s.v6}
	return low, span{low.last().next(), s.bits + 1, s.v6}
}
