package merger

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"catkindyke/pkg/parser"
)

// TestMain fixes the seed of the property tests, so that they are reproducible.
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

const base = `regions:
  - {name: fyn, availability_zones: [fyn-a, fyn-b]}
  - {name: jylland, availability_zones: [jylland-a]}
services:
  - name: dispatch
    slots: 3
    service_time_ms: 40
    backend_servers:
      - {name: d-1, address: "127.0.0.1:80", region: fyn, availability_zone: fyn-a, slots: 3}
      - {name: d-2, address: "127.0.0.2:80", region: jylland, availability_zone: jylland-a}
workspaces: [{name: lakes, rate_per_s: 10, burst: 20}]
links: [{from: fyn, to: jylland, shift_cap_per_s: 5, capacity_mbit_s: 4000}]
sites: [{name: fyn-a, region: fyn, availability_zone: fyn-a}]
`

func parseFile(t interface{ Fatal(...any) }, name, content string) *parser.File {
	f, err := parser.ParseFile(name, []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// mergeText returns the merged configuration as YAML, or the error text.
func mergeText(base *parser.File, overlays ...*parser.File) string {
	m, err := Merge(base, overlays...)
	if err != nil {
		return err.Error()
	}
	return m.YAML()
}

// TestMergeRejectsOverlays checks that overlays that change more than their site
// and region, and overlays that conflict with one another, are rejected with the
// file and line.
func TestMergeRejectsOverlays(t *testing.T) {
	const site = "sites: [{name: fyn-a}]\n"
	const allowed = "the overlay's own site, backend servers of its region, links from its region, settings.trusted_proxies"
	server := func(entry string) string {
		return site + "services: [{name: dispatch, backend_servers: [{" + entry + "}]}]"
	}
	const other = "sites: [{name: fyn-b, region: fyn}]\nservices: [{name: dispatch, backend_servers: [{name: d-1, slots: 6}]}]"
	const slots = "services[dispatch].backend_servers[d-1].slots"
	for _, c := range []struct{ name, overlay, second, want string }{
		{"no_site", "links: []", "", `o:1: sites: the overlay names 0 sites; allowed: exactly one site with a name`},
		{"two_sites", "sites: [{name: a}, {name: b}]", "", `o:1: sites: the overlay names 2 sites; allowed: exactly one site with a name`},
		{"no_region", "sites: [{name: new}]", "", `o:1: sites[new]: neither the overlay nor the base names the site's region; allowed: a region of the base`},
		{"moved_site", "sites: [{name: fyn-a, region: jylland}]", "", `o:1: sites[fyn-a].region: got jylland: an overlay may not move its site to another region; allowed: fyn`},
		{"regions", site + "regions: [{name: x}]", "", `o:2: regions: an overlay may not set regions; allowed: ` + allowed},
		{"workspaces", site + "workspaces: [{name: lakes, rate_per_s: 99}]", "", `o:2: workspaces: an overlay may not set workspaces; allowed: ` + allowed},
		{"settings", site + "settings:\n  lookup_age_ms: 100", "", `o:3: settings.lookup_age_ms: an overlay may not set this; allowed: ` + allowed},
		{"service_field", site + "services: [{name: dispatch, slots: 9}]", "", `o:2: services[dispatch].slots: an overlay may not set this; allowed: ` + allowed},
		{"unknown_service", site + "services: [{name: dispach}]", "", `o:2: services[dispach]: got dispach: the base has no such service; allowed: dispatch; did you mean dispatch?`},
		{"other_server", server("name: d-2, slots: 9"), "", `o:2: services[dispatch].backend_servers[d-2]: the base places the server in region "jylland", which is not the overlay's; allowed: fyn`},
		{"moved_server", server("name: d-1, region: jylland"), "", `o:2: services[dispatch].backend_servers[d-1].region: got jylland: an overlay may only set servers of its own region; allowed: fyn`},
		{"new_server_without_region", server("name: d-3, slots: 9"), "", `o:2: services[dispatch].backend_servers[d-3]: a new server needs a region; allowed: fyn`},
		{"other_link", site + "links: [{from: jylland, to: fyn}]", "", `o:2: links[jylland>fyn]: got jylland: an overlay may only set links from its own region; allowed: fyn`},
		{"both_change", server("name: d-1, slots: 5"), other, `p:2: ` + slots + `: got 6: another overlay sets 5 at o:2`},
		{"one_repeats_base", server("name: d-1, slots: 3"), other, `p:2: ` + slots + `: got 6: another overlay sets 3 at o:2`},
		{"same_site", site, site, `p:1: sites[fyn-a]: the site already has an overlay at o:1; allowed: one overlay for each site`},
	} {
		t.Run(c.name, func(t *testing.T) {
			overlays := []*parser.File{parseFile(t, "o", c.overlay)}
			if c.second != "" {
				overlays = []*parser.File{parseFile(t, "p", c.second), overlays[0]}
			}
			if got := mergeText(parseFile(t, "b", base), overlays...); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// TestMergeResult checks that overrides, defaults and their origins are printed.
func TestMergeResult(t *testing.T) {
	o := parseFile(t, "o", `sites: [{name: fyn-a, blocks: [192.0.2.0/24]}]
services: [{name: dispatch, backend_servers: [{name: d-1, slots: 5}, {name: d-3, region: fyn}]}]
links: [{from: fyn, to: jylland, shift_cap_per_s: 7}]
settings: {trusted_proxies: [10.0.0.0/8]}
`)
	got := mergeText(parseFile(t, "b", base), o)
	for _, want := range []string{
		"        slots: 5 # o:2; was 3 at b:9\n",
		"      - name: \"d-3\" # o:2\n        region: \"fyn\" # o:2\n    slots: 3\n",
		"    shift_cap_per_s: 7 # o:3; was 5 at b:12\n",
		"    deadline_ms: 30000 # default\n",
		"    blocks:\n      - \"192.0.2.0/24\" # o:1\n",
		"  trusted_proxies:\n    - \"10.0.0.0/8\" # o:4\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
}

// drawOverlay generates an overlay for a site of region fyn. Overlays conflict often.
func drawOverlay(t *rapid.T, site string) string {
	b := "sites: [{name: " + site + ", region: fyn, blocks: [" + rapid.SampledFrom([]string{"", "10.0.0.0/8", "10.0.0.0/8, 192.0.2.0/24"}).Draw(t, "blocks") + "]}]\n"
	b += "services: [{name: dispatch, backend_servers: ["
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"d-1", "d-3", "d-4"}), 0, 3, rapid.ID).Draw(t, "servers") {
		b += fmt.Sprintf("{name: %s, region: fyn, slots: %d},", name, rapid.IntRange(3, 4).Draw(t, "slots"))
	}
	b += "]}]\nlinks: ["
	for _, to := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"jylland", "sjaelland"}), 0, 2, rapid.ID).Draw(t, "links") {
		b += fmt.Sprintf("{from: fyn, to: %s, shift_cap_per_s: %d},", to, rapid.IntRange(5, 6).Draw(t, "cap"))
	}
	return b + "]\n"
}

// TestMergeOrder checks that neither the result nor the error depends on the order
// of the overlays.
func TestMergeOrder(t *testing.T) {
	outcomes := make(map[bool]bool)
	rapid.Check(t, func(t *rapid.T) {
		var overlays []*parser.File
		for i := range rapid.IntRange(1, 4).Draw(t, "overlays") {
			site := fmt.Sprintf("site-%d", i)
			overlays = append(overlays, parseFile(t, site+".yaml", drawOverlay(t, site)))
		}
		want := mergeText(parseFile(t, "b", base), overlays...)
		if got := mergeText(parseFile(t, "b", base), rapid.Permutation(overlays).Draw(t, "order")...); got != want {
			t.Errorf("got\n%s\nwant\n%s", got, want)
		}
		outcomes[strings.HasPrefix(want, "regions:")] = true
	})
	if len(outcomes) != 2 {
		t.Errorf("overlays merged: %t, refused: %t; want both to occur", outcomes[true], outcomes[false])
	}
}

// FuzzMerge checks that Merge does not panic, that its result does not depend on
// the order of the overlays, that it does not modify its inputs, and that the
// printed configuration parses to the same configuration.
func FuzzMerge(f *testing.F) {
	f.Add(base, "sites: [{name: fyn-a}]", "sites: [{name: fyn-b, region: fyn}]")
	f.Fuzz(func(t *testing.T, base, one, two string) {
		if len(base)+len(one)+len(two) > 8192 {
			return
		}
		var files []*parser.File
		for i, content := range []string{base, one, two} {
			file, err := parser.ParseFile(fmt.Sprintf("f%d", i), []byte(content))
			if err != nil {
				return
			}
			files = append(files, file)
		}
		before := proto.Clone(files[0].Config())
		m, err := Merge(files[0], files[1:]...)
		if a, b := mergeText(files[0], files[1], files[2]), mergeText(files[0], files[2], files[1]); a != b || !proto.Equal(before, files[0].Config()) {
			t.Errorf("the result depends on the order, or the base was changed:\n%s\n%s", a, b)
		}
		if err != nil {
			return
		}
		if back, err := parser.Parse("back", []byte(m.YAML())); err != nil || !proto.Equal(back, m.Config()) {
			t.Errorf("the printed configuration does not parse to the same configuration: %v\n%s", err, m.YAML())
		}
	})
}
