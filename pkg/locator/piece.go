package locator

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sort"
)

const (
	// maxPieceBlocks is the number of blocks above which a piece is split. A change
	// of one block transfers one piece and the head, which take about 20 KB together
	// in a table of 2.4 million blocks.
	maxPieceBlocks = 8192
	// maxIPv4PieceBits limits the prefix length of IPv4 pieces, because the root of
	// the decoded form is indexed by /16s. A /16 has at most 131,071 different
	// blocks, which fit into one value of the store.
	maxIPv4PieceBits = 16
	// pieceFormat is the first byte of each piece.
	pieceFormat = 1
)

// ErrCorrupt is returned for a piece or head that violates the format.
var ErrCorrupt = errors.New("corrupt block table")

// Piece is the encoded content of one address range.
type Piece struct {
	span    span
	content []byte
}

// Content returns the encoded content of the piece.
func (p Piece) Content() []byte { return p.content }

// Sum returns the SHA-256 of the content, which identifies the piece.
func (p Piece) Sum() [sha256.Size]byte { return sha256.Sum256(p.content) }

// Split encodes sorted blocks as pieces that cover all addresses. Nested blocks
// are replaced by the largest blocks that do not overlap. Whether a range is split
// depends only on its blocks, so a change elsewhere does not affect its pieces.
func Split(blocks []Block) []Piece {
	cut := sort.Search(len(blocks), func(i int) bool { return blocks[i].Prefix.Addr().Is6() })
	out := splitFamily(nil, span{}, blocks[:cut])
	return splitFamily(out, span{v6: true}, blocks[cut:])
}

func splitFamily(out []Piece, s span, blocks []Block) []Piece {
	next := func() (span, uint16, bool, error) {
		if len(blocks) == 0 {
			return span{}, 0, false, nil
		}
		b := blocks[0]
		blocks = blocks[1:]
		return spanOf(b.Prefix), b.Site, true, nil
	}
	runs, _ := resolveNesting(s, next, nil)
	return splitRange(out, s, alignedBlocks(s, runs, nil))
}

// splitRange appends the pieces of a range. It splits no block, because a block
// that covers a whole range is the only one in it.
func splitRange(out []Piece, s span, blocks []pieceBlock) []Piece {
	limit := 128
	if !s.v6 {
		limit = maxIPv4PieceBits
	}
	if len(blocks) <= maxPieceBlocks || s.bits >= limit {
		return append(out, Piece{s, encodePiece(nil, s, blocks)})
	}
	low, high := s.halves()
	cut := sort.Search(len(blocks), func(i int) bool { return blocks[i].first.compare(high.first) >= 0 })
	out = splitRange(out, low, blocks[:cut])
	return splitRange(out, high, blocks[cut:])
}

// pieceBlock is a block within a piece, whose address family the piece determines.
type pieceBlock struct {
	first key
	bits  uint8
	site  uint16
}

// alignedBlocks converts the runs of a range to the largest possible blocks and
// appends these to out.
func alignedBlocks(s span, runs []run, out []pieceBlock) []pieceBlock {
	for i, r := range runs {
		if r.value == 0 {
			continue
		}
		end := s.last()
		if i+1 < len(runs) {
			end = runs[i+1].first.prev()
		}
		for first := r.first; ; {
			bits := max(first.shortestPrefixBits(), s.bits)
			for first.last(bits).compare(end) > 0 {
				bits++
			}
			out = append(out, pieceBlock{first, uint8(bits), r.value - 1})
			last := first.last(bits)
			if last == end {
				break
			}
			first = last.next()
		}
	}
	return out
}

// encodePiece appends the encoded content of a piece to b.
func encodePiece(b []byte, s span, blocks []pieceBlock) []byte {
	family := byte(4)
	if s.v6 {
		family = 6
	}
	b = append(b, pieceFormat, family, byte(s.bits))
	b = append(b, s.first.addr(s.v6).AsSlice()...)
	b = binary.AppendUvarint(b, uint64(len(blocks)))
	prev := s.first
	for _, e := range blocks {
		b = appendBlock(b, span{e.first, int(e.bits), s.v6}, e.site, prev)
		prev = e.first
	}
	return b
}

// appendBlock appends the prefix length, the site and the distance from the start
// of the previous block in units of the block's own size. A /24 among adjacent
// ones takes three bytes.
func appendBlock(b []byte, s span, site uint16, prev key) []byte {
	b = append(b, byte(s.bits))
	b = binary.AppendUvarint(b, uint64(site))
	if s.bits <= 64 {
		shift := 64 - s.bits
		return binary.AppendUvarint(b, s.first.hi>>shift-prev.hi>>shift)
	}
	b = binary.AppendUvarint(b, s.first.hi-prev.hi)
	if s.first.hi != prev.hi {
		prev.lo = 0
	}
	shift := 128 - s.bits
	return binary.AppendUvarint(b, s.first.lo>>shift-prev.lo>>shift)
}

// decoder reads and checks the blocks of a piece.
type decoder struct {
	rest      []byte
	span      span
	sites     int
	remaining uint64
	prev      span
	started   bool
}

func newDecoder(content []byte, sites int) (*decoder, error) {
	if len(content) < 3 || content[0] != pieceFormat {
		return nil, fmt.Errorf("%w: piece is too short or has an unknown format byte", ErrCorrupt)
	}
	d := &decoder{sites: sites, span: span{bits: int(content[2]), v6: content[1] == 6}}
	size := 4
	if d.span.v6 {
		size = 16
	} else if content[1] != 4 {
		return nil, fmt.Errorf("%w: piece has an unknown address family %d", ErrCorrupt, content[1])
	}
	if len(content) < 3+size || d.span.bits > 8*size || !d.span.v6 && d.span.bits > maxIPv4PieceBits {
		return nil, fmt.Errorf("%w: piece has an invalid range", ErrCorrupt)
	}
	d.span.first = decodeKey(content[3 : 3+size])
	if p := d.span.prefix(); p.Masked() != p {
		return nil, fmt.Errorf("%w: piece range %s has bits set after its prefix", ErrCorrupt, p)
	}
	d.rest = content[3+size:]
	d.prev = d.span
	var err error
	d.remaining, err = d.readUvarint()
	return d, err
}

func decodeKey(b []byte) key {
	var full [16]byte
	copy(full[:], b)
	return key{binary.BigEndian.Uint64(full[:8]), binary.BigEndian.Uint64(full[8:])}
}

func (d *decoder) readUvarint() (uint64, error) {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || n > 1 && d.rest[n-1] == 0 {
		return 0, fmt.Errorf("%w: piece %s is cut short or has an invalid varint", ErrCorrupt, d.span.prefix())
	}
	d.rest = d.rest[n:]
	return v, nil
}

// next returns the next block, or false at the end of a complete piece.
func (d *decoder) next() (span, uint16, bool, error) {
	if d.remaining == 0 {
		if len(d.rest) > 0 {
			return span{}, 0, false, fmt.Errorf("%w: piece %s has %d bytes after its last block", ErrCorrupt, d.span.prefix(), len(d.rest))
		}
		return span{}, 0, false, nil
	}
	d.remaining--
	if len(d.rest) == 0 {
		return span{}, 0, false, fmt.Errorf("%w: piece %s is cut short", ErrCorrupt, d.span.prefix())
	}
	s := span{bits: int(d.rest[0]), v6: d.span.v6}
	d.rest = d.rest[1:]
	site, err := d.readUvarint()
	if err != nil {
		return span{}, 0, false, err
	}
	if site >= uint64(d.sites) {
		return span{}, 0, false, fmt.Errorf("%w: piece %s has a block with site index %d, but the head lists %d sites", ErrCorrupt, d.span.prefix(), site, d.sites)
	}
	if s.bits > 128 || !s.v6 && s.bits > 32 {
		return span{}, 0, false, fmt.Errorf("%w: piece %s has a block with the invalid prefix length %d", ErrCorrupt, d.span.prefix(), s.bits)
	}
	if s.first, err = d.readFirst(s.bits); err != nil {
		return span{}, 0, false, err
	}
	order := s.first.compare(d.prev.first)
	if !d.span.contains(s) || d.started && (order < 0 || order == 0 && s.bits <= d.prev.bits) {
		return span{}, 0, false, fmt.Errorf("%w: piece %s: block %s is out of order or outside the piece", ErrCorrupt, d.span.prefix(), s.prefix())
	}
	d.prev, d.started = s, true
	return s, uint16(site), true, nil
}

// readFirst reads the first address of a block with the given prefix length.
func (d *decoder) readFirst(bits int) (key, error) {
	delta, err := d.readUvarint()
	if err != nil {
		return key{}, err
	}
	if bits <= 64 {
		shift := 64 - bits
		unit := d.prev.first.hi>>shift + delta
		if unit < delta || bits < 64 && unit>>bits != 0 {
			return key{}, fmt.Errorf("%w: piece %s leaves the address space", ErrCorrupt, d.span.prefix())
		}
		return key{hi: unit << shift}, nil
	}
	k := key{hi: d.prev.first.hi + delta}
	base := d.prev.first.lo
	if delta != 0 {
		base = 0
	}
	low, err := d.readUvarint()
	if err != nil {
		return key{}, err
	}
	shift := 128 - bits
	unit := base>>shift + low
	if k.hi < delta || unit < low || bits < 128 && unit>>(bits-64) != 0 {
		return key{}, fmt.Errorf("%w: piece %s leaves the address space", ErrCorrupt, d.span.prefix())
	}
	k.lo = unit << shift
	return k, nil
}
