package locator

import "sort"

const (
	// lowBits is the number of bits of a start that the compact form stores with each block.
	lowBits = 32
	// maxBucketBits limits the bits of a start that select a bucket. The buckets of
	// a piece then take 8 KB at most.
	maxBucketBits = 12
	// maxCompactBlocks limits the blocks of a compact piece to the indexes that fit
	// a bucket.
	maxCompactBlocks = 1<<16 - 1
)

// ipv6Blocks holds the blocks of an IPv6 piece in address order, without overlap.
// The compact form expresses starts in units of the smallest block. It stores the
// low 32 bits of each start, and the bucket of a block gives the bits above them.
// It is used if the smallest block's prefix has at most 64 bits and is at most 44
// bits longer than the piece's; otherwise, or above maxCompactBlocks, full starts
// are stored.
type ipv6Blocks struct {
	sites []uint16
	bits  []uint8

	// Compact form:

	// unitBits is the prefix length of the smallest block.
	unitBits int
	lows     []uint32
	// buckets holds the index of the first block of each bucket.
	buckets []uint16

	// Full starts; lo is nil if all its values are zero:

	hi, lo []uint64
}

func newIPv6Blocks(s span, blocks []pieceBlock) *ipv6Blocks {
	p := &ipv6Blocks{sites: make([]uint16, len(blocks)), bits: make([]uint8, len(blocks)), unitBits: s.bits}
	for i, e := range blocks {
		p.sites[i], p.bits[i] = e.site, e.bits
		p.unitBits = max(p.unitBits, int(e.bits))
	}
	if p.unitBits <= 64 && p.unitBits-s.bits <= lowBits+maxBucketBits && len(blocks) <= maxCompactBlocks {
		p.buildCompact(s, blocks)
		return p
	}
	p.hi = make([]uint64, len(blocks))
	for i, e := range blocks {
		p.hi[i] = e.first.hi
		if e.first.lo != 0 && p.lo == nil {
			p.lo = make([]uint64, len(blocks))
		}
	}
	if p.lo != nil {
		for i, e := range blocks {
			p.lo[i] = e.first.lo
		}
	}
	return p
}

func (p *ipv6Blocks) buildCompact(s span, blocks []pieceBlock) {
	p.lows = make([]uint32, len(blocks))
	p.buckets = make([]uint16, 1<<max(0, p.unitBits-s.bits-lowBits)+1)
	for i, e := range blocks {
		v := p.distance(s, e.first)
		p.lows[i] = uint32(v)
		p.buckets[v>>lowBits+1] = uint16(i + 1)
	}
	for i := 1; i < len(p.buckets); i++ {
		p.buckets[i] = max(p.buckets[i], p.buckets[i-1])
	}
}

// distance returns the distance of an address from the start of the piece, in
// units of the smallest block.
func (p *ipv6Blocks) distance(s span, k key) uint64 { return (k.hi - s.first.hi) >> (64 - p.unitBits) }

// lookup returns the value of an address in the range of the piece.
func (p *ipv6Blocks) lookup(s span, k key) uint16 {
	if p.lows == nil {
		return p.lookupFull(k)
	}
	v := p.distance(s, k)
	from, to := int(p.buckets[v>>lowBits]), int(p.buckets[v>>lowBits+1])
	low := uint32(v)
	i := from + sort.Search(to-from, func(i int) bool { return p.lows[from+i] > low }) - 1
	if i < 0 {
		return 0
	}
	// The block contains the address if the address, truncated to the block's
	// prefix length, is the block's start. The block may be in an earlier bucket.
	start := v &^ (1<<(p.unitBits-int(p.bits[i])) - 1)
	bucket := start >> lowBits
	if p.lows[i] != uint32(start) || i < int(p.buckets[bucket]) || i >= int(p.buckets[bucket+1]) {
		return 0
	}
	return p.sites[i] + 1
}

// lookupFull is lookup for full starts.
func (p *ipv6Blocks) lookupFull(k key) uint16 {
	i := sort.Search(len(p.hi), func(i int) bool {
		if p.hi[i] != k.hi || p.lo == nil {
			return p.hi[i] > k.hi
		}
		return p.lo[i] > k.lo
	}) - 1
	if i < 0 || k.compare(p.start(i).last(int(p.bits[i]))) > 0 {
		return 0
	}
	return p.sites[i] + 1
}

// start returns the full start of the i-th block.
func (p *ipv6Blocks) start(i int) key {
	if p.lo == nil {
		return key{hi: p.hi[i]}
	}
	return key{p.hi[i], p.lo[i]}
}

// appendBlocks appends the blocks of the piece to out.
func (p *ipv6Blocks) appendBlocks(s span, out []pieceBlock) []pieceBlock {
	bucket := 0
	for i := range p.sites {
		var k key
		if p.lows == nil {
			k = p.start(i)
		} else {
			for int(p.buckets[bucket+1]) <= i {
				bucket++
			}
			v := uint64(bucket)<<lowBits | uint64(p.lows[i])
			k.hi = s.first.hi + v<<(64-p.unitBits)
		}
		out = append(out, pieceBlock{k, p.bits[i], p.sites[i]})
	}
	return out
}
