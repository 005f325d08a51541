package locator

import (
	"errors"
	"strings"
	"testing"
)

// TestParseBlockFile checks that invalid lines are refused with an error that
// contains the line number and the value.
func TestParseBlockFile(t *testing.T) {
	isAllowed := func(s string) bool { return s != "nowhere" }
	for name, c := range map[string]struct{ text, want string }{
		"empty":       {"# nothing\n\n", ""},
		"good":        {"192.0.2.0/24 odense # home\n2001:db8::/32\tribe\n", ""},
		"no_site":     {"\n192.0.2.0/24\n", `f:2: want a CIDR block and a site, got "192.0.2.0/24"`},
		"address":     {"192.0.2.1 odense\n", `f:1: "192.0.2.1" is not a CIDR block`},
		"unmasked":    {"192.0.2.1/24 odense\n", `block "192.0.2.1/24" has bits after its prefix; did you mean 192.0.2.0/24?`},
		"mapped":      {"::ffff:192.0.2.0/120 odense\n", `f:1: block "::ffff:192.0.2.0/120" is IPv4`},
		"unknown":     {"192.0.2.0/24 nowhere\n", `f:1: site "nowhere" is not in the configuration`},
		"repeated":    {"192.0.2.0/24 odense\n192.0.2.0/24 ribe\n", `f:2: block "192.0.2.0/24" is already on line 1`},
		"second_line": {"x odense\ny odense\n", `f:2: "y" is not`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseBlockFile("f", strings.NewReader(c.text), NewSiteIndex(testSites), isAllowed)
			if c.want == "" {
				assertNoError(t, err, "parse")
				return
			}
			if !errors.Is(err, ErrInvalidBlockFile) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// TestSiteIndex checks that existing sites keep their index, whatever the order in
// which a file lists them.
func TestSiteIndex(t *testing.T) {
	sites := NewSiteIndex(testSites)
	blocks, err := ParseBlockFile("f", strings.NewReader("10.0.0.0/8 new\n11.0.0.0/8 odense\n"), sites, nil)
	assertNoError(t, err, "parse")
	if blocks[0].Site != 4 || blocks[1].Site != 1 || len(sites.Names()) != 5 {
		t.Errorf("got %v, sites %v", blocks, sites.Names())
	}
}
