package locator

import (
	"bytes"
	"fmt"
	"math/bits"
)

// childFlag marks a value that refers to a child node instead of a site.
const childFlag = 1 << 15

// rootFlag marks a root entry that refers to a node.
const rootFlag = 1 << 31

// decodedPiece is the decoded form of a piece, in which blocks do not overlap. A
// value is zero for no site, or else the site's index plus one.
type decodedPiece struct {
	span span

	// The fields below are a trie of IPv4 addresses: a root with an entry for each
	// /16 of the range, then nodes for address bits 16 to 23 and 24 to 31.

	root   []uint32
	nodes  []node
	values []uint16

	// ipv6 holds the blocks of an IPv6 piece.
	ipv6 *ipv6Blocks
}

// node maps 8 bits of an address to a value. It stores one value for each run of
// equal values; a set bit in starts marks the start of a run.
type node struct {
	starts [4]uint64
	// firstValue is the index of the node's first value in decodedPiece.values.
	firstValue uint32
	// firstChild is the index of the node's first child in decodedPiece.nodes.
	firstChild uint32
}

// run is a range of addresses with the same value. It ends where the next run starts.
type run struct {
	first key
	value uint16
}

// scratch holds buffers that are reused for successive pieces.
type scratch struct {
	runs    []run
	blocks  []pieceBlock
	content []byte
}

// decodePiece decodes and checks a piece. The result must encode to the same
// content, because hosts keep only the decoded form and serve pieces from it.
func decodePiece(content []byte, sites int, buf *scratch) (*decodedPiece, error) {
	d, err := newDecoder(content, sites)
	if err != nil {
		return nil, err
	}
	if buf.runs, err = resolveNesting(d.span, d.next, buf.runs[:0]); err != nil {
		return nil, err
	}
	p := &decodedPiece{span: d.span}
	if d.span.v6 {
		buf.blocks = alignedBlocks(p.span, buf.runs, buf.blocks[:0])
		p.ipv6 = newIPv6Blocks(p.span, buf.blocks)
	} else {
		p.buildTrie(buf.runs)
	}
	if !bytes.Equal(p.encode(buf), content) {
		return nil, fmt.Errorf("%w: piece %s is not in canonical form", ErrCorrupt, p.span.prefix())
	}
	return p, nil
}

// encode returns the content of the piece, which is valid until buf is used again.
func (p *decodedPiece) encode(buf *scratch) []byte {
	if p.span.v6 {
		buf.blocks = p.ipv6.appendBlocks(p.span, buf.blocks[:0])
	} else {
		buf.runs = p.appendRuns(buf.runs[:0])
		buf.blocks = alignedBlocks(p.span, buf.runs, buf.blocks[:0])
	}
	buf.content = encodePiece(buf.content[:0], p.span, buf.blocks)
	return buf.content
}

// appendRuns appends the runs of an IPv4 piece in address order.
func (p *decodedPiece) appendRuns(out []run) []run {
	add := func(first key, value uint16) {
		if len(out) == 0 || out[len(out)-1].value != value {
			out = append(out, run{first, value})
		}
	}
	for i, e := range p.root {
		first := p.span.first.hi + uint64(i)<<48
		if e&rootFlag == 0 {
			add(key{hi: first}, uint16(e))
			continue
		}
		n := &p.nodes[e&^rootFlag]
		p.eachRun(n, func(i int, v uint16) {
			at := first | uint64(i)<<40
			if v&childFlag == 0 {
				add(key{hi: at}, v)
				return
			}
			p.eachRun(&p.nodes[n.firstChild+uint32(v&^childFlag)], func(i int, v uint16) {
				add(key{hi: at | uint64(i)<<32}, v)
			})
		})
	}
	return out
}

// eachRun calls f for each run of a node.
func (p *decodedPiece) eachRun(n *node, f func(i int, value uint16)) {
	at := n.firstValue
	for word, starts := range n.starts {
		for ; starts != 0; starts &= starts - 1 {
			f(word*64+bits.TrailingZeros64(starts), p.values[at])
			at++
		}
	}
}

// openBlock is a block that contains the current address of resolveNesting.
type openBlock struct {
	last  key
	value uint16
}

// resolveNesting converts sorted blocks, which may be nested, to runs that do not
// overlap. The innermost block decides the value of an address.
func resolveNesting(s span, next func() (span, uint16, bool, error), runs []run) ([]run, error) {
	emit := func(first key, value uint16) {
		if n := len(runs) - 1; runs[n].first == first {
			runs = runs[:n]
		}
		if n := len(runs) - 1; n < 0 || runs[n].value != value {
			runs = append(runs, run{first, value})
		}
	}
	runs = append(runs, run{first: s.first})
	var stack []openBlock
	end := s.last()
	pop := func() {
		last := stack[len(stack)-1].last
		stack = stack[:len(stack)-1]
		value := uint16(0)
		if len(stack) > 0 {
			value = stack[len(stack)-1].value
		}
		if last != end {
			emit(last.next(), value)
		}
	}
	for {
		s, site, ok, err := next()
		if err != nil {
			return runs, err
		}
		if !ok {
			break
		}
		for len(stack) > 0 && stack[len(stack)-1].last.compare(s.first) < 0 {
			pop()
		}
		stack = append(stack, openBlock{s.last(), site + 1})
		emit(s.first, site+1)
	}
	for len(stack) > 0 {
		pop()
	}
	return runs, nil
}

// cursor iterates over runs in address order.
type cursor struct {
	runs  []run
	index int
}

// valueAt returns the value of an IPv4 address and moves the cursor forward to its run.
func (c *cursor) valueAt(addr uint32) uint16 {
	for c.index+1 < len(c.runs) && uint32(c.runs[c.index+1].first.hi>>32) <= addr {
		c.index++
	}
	return c.runs[c.index].value
}

// isUniform reports whether one run covers all addresses from addr to last.
func (c *cursor) isUniform(addr, last uint32) bool {
	c.valueAt(addr)
	return c.index+1 >= len(c.runs) || uint32(c.runs[c.index+1].first.hi>>32) > last
}

// buildTrie builds the trie of an IPv4 piece.
func (p *decodedPiece) buildTrie(runs []run) {
	c := &cursor{runs: runs}
	first := uint32(p.span.first.hi >> 32)
	p.root = make([]uint32, 1<<(maxIPv4PieceBits-p.span.bits))
	p.values = make([]uint16, 0, len(runs)+len(runs)/8)
	for i := range p.root {
		addr := first + uint32(i)<<16
		if c.isUniform(addr, addr|0xffff) {
			p.root[i] = uint32(c.valueAt(addr))
			continue
		}
		p.root[i] = rootFlag | p.addSubtree(c, addr)
	}
	p.nodes = append([]node(nil), p.nodes...)
	p.values = append([]uint16(nil), p.values...)
}

// addSubtree adds the node of a /16 and its children and returns the node's index.
func (p *decodedPiece) addSubtree(c *cursor, addr uint32) uint32 {
	var values [256]uint16
	var split []int
	ahead := *c
	for i := range values {
		at := addr + uint32(i)<<8
		if ahead.isUniform(at, at|0xff) {
			values[i] = ahead.valueAt(at)
			continue
		}
		values[i] = childFlag | uint16(len(split))
		split = append(split, i)
	}
	index := p.addNode(&values)
	p.nodes[index].firstChild = uint32(len(p.nodes))
	for _, i := range split {
		at := addr + uint32(i)<<8
		for j := range values {
			values[j] = c.valueAt(at + uint32(j))
		}
		p.addNode(&values)
	}
	*c = ahead
	return index
}

// addNode adds a node with the given values and returns its index.
func (p *decodedPiece) addNode(values *[256]uint16) uint32 {
	n := node{firstValue: uint32(len(p.values))}
	for i, v := range values {
		if i == 0 || v != values[i-1] {
			n.starts[i/64] |= 1 << (i % 64)
			p.values = append(p.values, v)
		}
	}
	p.nodes = append(p.nodes, n)
	return uint32(len(p.nodes) - 1)
}

// nodeValue returns the i-th value of a node.
func (p *decodedPiece) nodeValue(n *node, i uint32) uint16 {
	word := i / 64
	rank := bits.OnesCount64(n.starts[word] << (63 - i%64))
	for w := range word {
		rank += bits.OnesCount64(n.starts[w])
	}
	return p.values[n.firstValue+uint32(rank)-1]
}

// lookupIPv4 returns the value of an address in the range of the piece.
func (p *decodedPiece) lookupIPv4(addr uint32) uint16 {
	rootEntry := p.root[(addr-uint32(p.span.first.hi>>32))>>16]
	if rootEntry&rootFlag == 0 {
		return uint16(rootEntry)
	}
	n := &p.nodes[rootEntry&^rootFlag]
	v := p.nodeValue(n, addr>>8&0xff)
	if v&childFlag == 0 {
		return v
	}
	return p.nodeValue(&p.nodes[n.firstChild+uint32(v&^childFlag)], addr&0xff)
}
