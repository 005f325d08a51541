package locator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"catkindyke/pkg/schema"
)

// ErrInvalidBlockFile is returned for a block file with an invalid line.
var ErrInvalidBlockFile = errors.New("invalid block file")

// maxReportedErrors limits the errors that are reported for one file.
const maxReportedErrors = 10

// SiteIndex assigns an index to each site name and never changes it.
type SiteIndex struct {
	names   []string
	indexes map[string]uint16
}

// NewSiteIndex returns an index that starts with the given names.
func NewSiteIndex(names []string) *SiteIndex {
	s := &SiteIndex{indexes: make(map[string]uint16)}
	for _, n := range names {
		s.Add(n)
	}
	return s
}

// Add returns the index of a name. A new name gets the next index.
func (s *SiteIndex) Add(name string) uint16 {
	i, ok := s.indexes[name]
	if !ok {
		i = uint16(len(s.names))
		s.names = append(s.names, name)
		s.indexes[name] = i
	}
	return i
}

// Names returns the names in order of index.
func (s *SiteIndex) Names() []string { return s.names }

// ParseBlockFile reads a file with a CIDR block and a site on each line. It skips
// empty lines and text after #. If allowed is not nil, it reports whether a site
// exists. Errors contain the file name, the line number and the invalid value.
func ParseBlockFile(name string, r io.Reader, sites *SiteIndex, allowed func(site string) bool) ([]Block, error) {
	var out []Block
	var errs []error
	lines := make(map[netip.Prefix]int)
	scanner := bufio.NewScanner(r)
	n := 0
	for scanner.Scan() && len(errs) < maxReportedErrors {
		n++
		line, _, _ := strings.Cut(scanner.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		b, err := parseLine(fields, sites, allowed)
		if err == nil && lines[b.Prefix] > 0 {
			err = fmt.Errorf("block %q is already on line %d", fields[0], lines[b.Prefix])
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%w: %s:%d: %w", ErrInvalidBlockFile, name, n, err))
			continue
		}
		lines[b.Prefix] = n
		out = append(out, b)
	}
	if err := scanner.Err(); err != nil {
		errs = append(errs, fmt.Errorf("%w: %s:%d: %w", ErrInvalidBlockFile, name, n+1, err))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return Sort(out)
}

func parseLine(fields []string, sites *SiteIndex, allowed func(string) bool) (Block, error) {
	if len(fields) != 2 {
		return Block{}, fmt.Errorf("want a CIDR block and a site, got %q", strings.Join(fields, " "))
	}
	prefix, err := ParseBlock(fields[0])
	if err != nil {
		return Block{}, err
	}
	site := fields[1]
	if len(site) > MaxSiteNameBytes {
		return Block{}, fmt.Errorf("site name has %d bytes, the maximum is %d", len(site), MaxSiteNameBytes)
	}
	if allowed != nil && !allowed(site) {
		return Block{}, fmt.Errorf("site %q is not in the configuration in force", site)
	}
	if _, exists := sites.indexes[site]; !exists && len(sites.names) == MaxSites {
		return Block{}, fmt.Errorf("site %q exceeds the maximum of %d sites", site, MaxSites)
	}
	return Block{prefix, sites.Add(site)}, nil
}

// ParseBlock parses a CIDR block. Bits after the prefix must be zero, because a
// block such as 192.0.2.1/24 is usually a mistake.
func ParseBlock(s string) (netip.Prefix, error) {
	p, err := netip.ParsePrefix(s)
	if err != nil {
		return p, fmt.Errorf("%q is not a CIDR block such as 192.0.2.0/24", s)
	}
	if p.Addr().Is4In6() {
		return p, fmt.Errorf("block %q is IPv4-mapped IPv6; write it as IPv4", s)
	}
	if p.Masked() != p {
		return p, fmt.Errorf("block %q has bits after its prefix; did you mean %s?", s, p.Masked())
	}
	return p, nil
}

// NewTableFromSites returns a table of the blocks that the configuration lists, or
// nil if it lists none. It serves deployments without a block file.
func NewTableFromSites(sites []*schema.Site) (*Table, error) {
	index := NewSiteIndex(nil)
	var blocks []Block
	for _, s := range sites {
		for _, text := range s.GetBlocks() {
			prefix, err := ParseBlock(text)
			if err != nil {
				return nil, fmt.Errorf("site %s: %w", s.GetName(), err)
			}
			blocks = append(blocks, Block{prefix, index.Add(s.GetName())})
		}
	}
	blocks, err := Sort(blocks)
	if err != nil || len(blocks) == 0 {
		return nil, err
	}
	pieces := Split(blocks)
	head := NewHead(index.Names(), pieces)
	head.Version = 1
	l, err := NewLoader(head, nil)
	if err != nil {
		return nil, err
	}
	for _, p := range pieces {
		if err := l.Add(p.Content()); err != nil {
			return nil, err
		}
	}
	return l.Table()
}
