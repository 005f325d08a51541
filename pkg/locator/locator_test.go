package locator

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"catkindyke/pkg/schema"
)

var testSites = []string{"aarhus", "odense", "vejle", "ribe"}

func assertNoError(t interface {
	Helper()
	Fatalf(string, ...any)
}, err error, step string,
) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}

// drawPrefix draws a prefix with few address bits set, so that prefixes often nest
// or are adjacent. The largest prefix length decides whether an IPv6 piece is
// decoded to the compact form.
func drawPrefix(t *rapid.T, maxBits int) netip.Prefix {
	var raw [16]byte
	size := 4
	if rapid.Bool().Draw(t, "v6") {
		size = 16
	}
	for _, i := range rapid.SliceOfN(rapid.IntRange(0, size*8-1), 0, 6).Draw(t, "set") {
		raw[i/8] |= 0x80 >> (i % 8)
	}
	if rapid.Bool().Draw(t, "high") {
		for i := range raw {
			raw[i] = ^raw[i]
		}
	}
	addr, _ := netip.AddrFromSlice(raw[:size])
	return netip.PrefixFrom(addr, rapid.IntRange(0, min(maxBits, size*8)).Draw(t, "bits")).Masked()
}

func drawBlocks(t *rapid.T) []Block {
	seen := make(map[netip.Prefix]bool)
	maxBits := rapid.SampledFrom([]int{30, 44, 64, 128}).Draw(t, "longest")
	var out []Block
	for range rapid.IntRange(0, 60).Draw(t, "blocks") {
		p := drawPrefix(t, maxBits)
		if !seen[p] {
			seen[p] = true
			out = append(out, Block{p, uint16(rapid.IntRange(0, len(testSites)-1).Draw(t, "site"))})
		}
	}
	out, err := Sort(out)
	assertNoError(t, err, "sort")
	return out
}

func makeTable(t rapid.TB, blocks []Block, version uint64, old *Table) *Table {
	t.Helper()
	pieces := Split(blocks)
	head := NewHead(testSites, pieces)
	head.Version = version
	l, err := NewLoader(head, old)
	assertNoError(t, err, "head")
	for _, p := range pieces {
		if slices.Contains(l.Missing(), p.Sum()) {
			assertNoError(t, l.Add(p.Content()), "piece")
		}
	}
	table, err := l.Table()
	assertNoError(t, err, "table")
	return table
}

// naiveLookup is the reference for Lookup: it compares all blocks. An IPv4-mapped
// IPv6 address counts as IPv4, so ::/80 does not contain it.
func naiveLookup(blocks []Block, addr netip.Addr) (string, bool) {
	addr = addr.Unmap()
	best, site := -1, ""
	for _, b := range blocks {
		if b.Prefix.Contains(addr) && b.Prefix.Bits() > best {
			best, site = b.Prefix.Bits(), testSites[b.Site]
		}
	}
	return site, best >= 0
}

// boundaryAddrs returns the addresses on both sides of each place where the
// result of a look-up can change.
func boundaryAddrs(blocks []Block) []netip.Addr {
	out := []netip.Addr{netip.IPv4Unspecified(), netip.IPv6Unspecified(), netip.MustParseAddr("255.255.255.255"), key{^uint64(0), ^uint64(0)}.addr(true)}
	for _, b := range blocks {
		s := spanOf(b.Prefix)
		last := s.last().addr(s.v6)
		out = append(out, b.Prefix.Addr(), b.Prefix.Addr().Prev(), last, last.Next())
	}
	return slices.DeleteFunc(out, func(a netip.Addr) bool { return !a.IsValid() })
}

// TestLookup checks that each address gets the site of its longest block, also
// after an update that reuses pieces of an older table. It also checks that pieces
// are served with the content that was added, as other hosts refuse them otherwise.
func TestLookup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := drawBlocks(t)
		table := makeTable(t, first, 1, nil)
		for _, p := range Split(first) {
			if got, ok := table.Piece(p.Sum()); !ok || string(got) != string(p.Content()) {
				t.Fatalf("piece %s is served as %x, was %x", p.span.prefix(), got, p.Content())
			}
		}
		second, err := Sort(append(slices.Clone(first), Block{netip.MustParsePrefix("192.0.2.0/25"), 1}))
		if err != nil {
			second = first
		}
		for _, step := range []struct {
			blocks []Block
			table  *Table
		}{{first, table}, {second, makeTable(t, second, 2, table)}} {
			for _, addr := range boundaryAddrs(step.blocks) {
				got, ok := step.table.Lookup(addr)
				want, wantOK := naiveLookup(step.blocks, addr)
				if got != want || ok != wantOK {
					t.Fatalf("%s: got %q %v, want %q %v", addr, got, ok, want, wantOK)
				}
			}
		}
	})
}

// TestLookupMapped checks that IPv4-mapped addresses, which dual-stack sockets
// report for IPv4 callers, match IPv4 blocks.
func TestLookupMapped(t *testing.T) {
	table := makeTable(t, []Block{{netip.MustParsePrefix("192.0.2.0/24"), 2}, {netip.MustParsePrefix("::/80"), 1}}, 1, nil)
	for addr, want := range map[string]string{
		"192.0.2.7": "vejle", "::ffff:192.0.2.7": "vejle", "192.0.3.0": "", "::ffff:192.0.3.0": "", "::192.0.2.7": "odense", "1::": "",
	} {
		if got, ok := table.Lookup(netip.MustParseAddr(addr)); got != want || ok != (want != "") {
			t.Errorf("%s: got %q %v, want %q", addr, got, ok, want)
		}
	}
	if _, ok := (*Table)(nil).Lookup(netip.MustParseAddr("192.0.2.7")); ok {
		t.Error("a missing table has a match")
	}
}

// makeDenseBlocks returns /24 blocks in many /16s, enough for several pieces.
func makeDenseBlocks(n int) []Block {
	out := make([]Block, n)
	for i := range out {
		a := uint32(i) * 11 << 8
		out[i] = Block{netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24), uint16(i % len(testSites))}
	}
	return out
}

// TestSplit checks that pieces fit into the store and that a change of one block
// replaces only one piece.
func TestSplit(t *testing.T) {
	blocks := append([]Block{{netip.MustParsePrefix("0.0.0.0/0"), 3}}, makeDenseBlocks(100_000)...)
	old := makeTable(t, blocks, 1, nil)
	blocks[50_000].Site = (blocks[50_000].Site + 1) % 4
	pieces := Split(blocks)
	head := NewHead(testSites, pieces)
	head.Version = 2
	l, err := NewLoader(head, old)
	assertNoError(t, err, "head")
	if len(pieces) < 16 || len(l.Missing()) != 1 {
		t.Errorf("%d of %d pieces replaced, want 1 of at least 16", len(l.Missing()), len(pieces))
	}
	for _, p := range pieces {
		if len(p.Content()) > 1<<20 {
			t.Errorf("piece %s has %d bytes", p.span.prefix(), len(p.Content()))
		}
	}
}

// TestSplitFull checks that a /16 with all possible blocks, which cannot be split
// further, fits into the store.
func TestSplitFull(t *testing.T) {
	var blocks []Block
	for bits := 17; bits <= 32; bits++ {
		for i := range 1 << (bits - 16) {
			a := uint32(10)<<24 | uint32(i)<<(32-bits)
			blocks = append(blocks, Block{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(a >> 16), byte(a >> 8), byte(a)}), bits), uint16(i+bits) % 4})
		}
	}
	blocks, err := Sort(blocks)
	assertNoError(t, err, "sort")
	for _, p := range Split(blocks) {
		if len(p.Content()) > 1<<20 {
			t.Errorf("piece %s has %d bytes", p.span.prefix(), len(p.Content()))
		}
	}
	table := makeTable(t, blocks, 1, nil)
	if got, _ := table.Lookup(netip.MustParseAddr("10.0.0.5")); got != testSites[(5+32)%4] {
		t.Errorf("got %q", got)
	}
}

// TestSortDuplicate checks that Sort refuses a block with two sites and removes duplicates.
func TestSortDuplicate(t *testing.T) {
	p := netip.MustParsePrefix("192.0.2.0/24")
	if _, err := Sort([]Block{{p, 1}, {p, 2}}); !errors.Is(err, ErrDuplicateBlock) {
		t.Errorf("got %v", err)
	}
	if got, err := Sort([]Block{{p, 1}, {p, 1}}); err != nil || len(got) != 1 {
		t.Errorf("got %v, %v", got, err)
	}
}

// TestRejectCorruptHead checks that heads which would lead to a wrong or
// incomplete table are refused.
func TestRejectCorruptHead(t *testing.T) {
	pieces := Split(makeDenseBlocks(100_000))
	for name, corrupt := range map[string]func(h *schema.BlocksHead){
		"no_version":   func(h *schema.BlocksHead) { h.Version = 0 },
		"gap":          func(h *schema.BlocksHead) { h.Pieces = slices.Delete(h.Pieces, 1, 2) },
		"cut_short":    func(h *schema.BlocksHead) { h.Pieces = h.Pieces[:len(h.Pieces)-1] },
		"no_ipv4":      func(h *schema.BlocksHead) { h.Pieces = h.Pieces[len(h.Pieces)-1:] },
		"no_pieces":    func(h *schema.BlocksHead) { h.Pieces = nil },
		"out_of_order": func(h *schema.BlocksHead) { h.Pieces[0], h.Pieces[1] = h.Pieces[1], h.Pieces[0] },
		"overlap":      func(h *schema.BlocksHead) { h.Pieces[1].Bits-- },
		"twice":        func(h *schema.BlocksHead) { h.Pieces = slices.Insert(h.Pieces, 1, h.Pieces[0]) },
		"same_content": func(h *schema.BlocksHead) { h.Pieces[1].Sha256 = h.Pieces[0].Sha256 },
		"short_sum":    func(h *schema.BlocksHead) { h.Pieces[0].Sha256 = h.Pieces[0].Sha256[:31] },
		"bad_address":  func(h *schema.BlocksHead) { h.Pieces[0].First = []byte{1, 2, 3} },
		"long_prefix":  func(h *schema.BlocksHead) { h.Pieces[0].Bits = 33 },
		"site_twice":   func(h *schema.BlocksHead) { h.Sites = []string{"ribe", "ribe"} },
		"site_empty":   func(h *schema.BlocksHead) { h.Sites = []string{""} },
	} {
		t.Run(name, func(t *testing.T) {
			head := NewHead(testSites, pieces)
			head.Version = 1
			corrupt(head)
			if _, err := NewLoader(head, nil); !errors.Is(err, ErrCorrupt) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestRejectCorruptPiece checks that pieces are refused which are corrupt, refer to
// an unknown site or cover another range than the head lists, and that a table
// with missing pieces is not built.
func TestRejectCorruptPiece(t *testing.T) {
	pieces := Split(makeDenseBlocks(100_000))
	head := NewHead(testSites, pieces)
	head.Version = 1
	l, err := NewLoader(head, nil)
	assertNoError(t, err, "head")
	corrupted := slices.Clone(pieces[0].Content())
	corrupted[20]++
	if err := l.Add(corrupted); !errors.Is(err, ErrCorrupt) {
		t.Errorf("corrupt piece: got %v", err)
	}
	if _, err := l.Table(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("missing pieces: got %v", err)
	}
	fewerSites := NewHead(testSites[:1], pieces)
	fewerSites.Version = 1
	l, err = NewLoader(fewerSites, nil)
	assertNoError(t, err, "head")
	if err := l.Add(pieces[0].Content()); !errors.Is(err, ErrCorrupt) {
		t.Errorf("site out of range: got %v", err)
	}
	head.Pieces[0].Sha256, head.Pieces[1].Sha256 = head.Pieces[1].Sha256, head.Pieces[0].Sha256
	l, err = NewLoader(head, nil)
	assertNoError(t, err, "head")
	if err := l.Add(pieces[0].Content()); !errors.Is(err, ErrCorrupt) {
		t.Errorf("other range: got %v", err)
	}
}

// TestSitesReordered checks that pieces are not reused when a new order of the
// sites changes the meaning of their site indexes.
func TestSitesReordered(t *testing.T) {
	blocks := []Block{{netip.MustParsePrefix("192.0.2.0/24"), 0}}
	old := makeTable(t, blocks, 1, nil)
	head := NewHead([]string{"odense", "aarhus"}, Split(blocks))
	head.Version = 2
	l, err := NewLoader(head, old)
	assertNoError(t, err, "head")
	if len(l.Missing()) != 2 {
		t.Errorf("%d pieces missing, want all 2", len(l.Missing()))
	}
}

// FuzzPiece checks that no content crashes the decoder and that each accepted
// content encodes to the same bytes again.
func FuzzPiece(f *testing.F) {
	for _, p := range Split(makeDenseBlocks(40)) {
		f.Add(p.Content())
	}
	f.Add(Split([]Block{{netip.MustParsePrefix("2001:db8::/32"), 1}, {netip.MustParsePrefix("2001:db8::1/128"), 2}})[1].Content())
	f.Fuzz(func(t *testing.T, content []byte) {
		p, err := decodePiece(content, len(testSites), &scratch{})
		if err != nil {
			return
		}
		if got := p.encode(&scratch{}); string(got) != string(content) {
			t.Fatalf("encoded again as %x, was %x", got, content)
		}
	})
}

// FuzzHead checks that no head crashes the decoder or the loader.
func FuzzHead(f *testing.F) {
	head := NewHead(testSites, Split(makeDenseBlocks(40)))
	head.Version = 1
	value, err := proto.Marshal(head)
	assertNoError(f, err, "encode")
	f.Add(value)
	f.Fuzz(func(_ *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err == nil {
			_, _ = NewLoader(head, nil)
		}
	})
}

func ExampleTable_Lookup() {
	head := NewHead([]string{"odense"}, Split([]Block{{netip.MustParsePrefix("192.0.2.0/24"), 0}}))
	head.Version = 1
	l, _ := NewLoader(head, nil)
	for _, p := range Split([]Block{{netip.MustParsePrefix("192.0.2.0/24"), 0}}) {
		_ = l.Add(p.Content())
	}
	table, _ := l.Table()
	fmt.Println(table.Lookup(netip.MustParseAddr("192.0.2.1")))
	// Output: odense true
}
