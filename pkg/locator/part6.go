package locator

import "sort"

const (
	// lowBits is the part of a compact start that is kept with each block.
	lowBits = 32
	// maxBuckets6 bounds the buckets of a compact part, 8 KB each at most.
	maxBuckets6 = 12
	// maxCompact bounds the blocks of a compact part to what a bucket can refer to.
	maxCompact = 1<<16 - 1
)

// part6 holds the blocks of an IPv6 part in address order; they do not overlap.
// A compact part keeps 32 bits of each start, counted in units of the smallest
// block, and finds the bits above them by buckets. That fits when the smallest
// block is at most 44 bits longer than the part's prefix; others keep whole starts.
type part6 struct {
	sites []uint16
	bits  []uint8

	// compact form

	// unit is the length of the smallest block.
	unit    int
	lows    []uint32
	buckets []uint16

	// whole starts; the low halves are absent when all are zero

	hi, lo []uint64
}

func newPart6(s span, blocks []entry) *part6 {
	p := &part6{sites: make([]uint16, len(blocks)), bits: make([]uint8, len(blocks)), unit: s.bits}
	for i, e := range blocks {
		p.sites[i], p.bits[i] = e.site, e.bits
		p.unit = max(p.unit, int(e.bits))
	}
	if p.unit <= 64 && p.unit-s.bits <= lowBits+maxBuckets6 && len(blocks) <= maxCompact {
		p.compact(s, blocks)
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

func (p *part6) compact(s span, blocks []entry) {
	p.lows = make([]uint32, len(blocks))
	p.buckets = make([]uint16, 1<<max(0, p.unit-s.bits-lowBits)+1)
	for i, e := range blocks {
		v := p.value(s, e.first)
		p.lows[i] = uint32(v)
		p.buckets[v>>lowBits+1] = uint16(i + 1)
	}
	for i := 1; i < len(p.buckets); i++ {
		p.buckets[i] = max(p.buckets[i], p.buckets[i-1])
	}
}

// value returns the distance of an address from the start of the part, in units.
func (p *part6) value(s span, k key) uint64 { return (k.hi - s.first.hi) >> (64 - p.unit) }

// lookup returns the value at an address of the part.
func (p *part6) lookup(s span, k key) uint16 {
	if p.lows == nil {
		return p.lookupWhole(k)
	}
	v := p.value(s, k)
	from, to := int(p.buckets[v>>lowBits]), int(p.buckets[v>>lowBits+1])
	low := uint32(v)
	i := from + sort.Search(to-from, func(i int) bool { return p.lows[from+i] > low }) - 1
	if i < 0 {
		return 0
	}
	// The block contains the address if its start is the address cut to the
	// block's length. The block may be from an earlier bucket.
	start := v &^ (1<<(p.unit-int(p.bits[i])) - 1)
	bucket := start >> lowBits
	if p.lows[i] != uint32(start) || i < int(p.buckets[bucket]) || i >= int(p.buckets[bucket+1]) {
		return 0
	}
	return p.sites[i] + 1
}

func (p *part6) lookupWhole(k key) uint16 {
	i := sort.Search(len(p.hi), func(i int) bool {
		if p.hi[i] != k.hi || p.lo == nil {
			return p.hi[i] > k.hi
		}
		return p.lo[i] > k.lo
	}) - 1
	if i < 0 || k.compare(p.first(i).last(int(p.bits[i]))) > 0 {
		return 0
	}
	return p.sites[i] + 1
}

// first returns the start of a block with whole starts.
func (p *part6) first(i int) key {
	if p.lo == nil {
		return key{hi: p.hi[i]}
	}
	return key{p.hi[i], p.lo[i]}
}

// appendBlocks appends the blocks of the part.
func (p *part6) appendBlocks(s span, out []entry) []entry {
	bucket := 0
	for i := range p.sites {
		var k key
		if p.lows == nil {
			k = p.first(i)
		} else {
			for int(p.buckets[bucket+1]) <= i {
				bucket++
			}
			v := uint64(bucket)<<lowBits | uint64(p.lows[i])
			k.hi = s.first.hi + v<<(64-p.unit)
		}
		out = append(out, entry{k, p.bits[i], p.sites[i]})
	}
	return out
}
