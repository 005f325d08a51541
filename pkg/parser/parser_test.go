package parser

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"catkindyke/pkg/schema"
)

const nameFormat = "1 to 63 lower-case letters, digits and inner hyphens"

// TestParseRejectsInvalidInput checks that invalid input is rejected with a
// message that tells how to correct it.
func TestParseRejectsInvalidInput(t *testing.T) {
	const address = "an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080"
	const block = "a CIDR block without host bits, in canonical form, such as 192.0.2.0/24"
	const slots = "a whole number from 1 to 10000"
	const rate = "a number from 0.001 to 1000000"
	svc := func(field string) string { return "services:\n  - name: dispatch\n    " + field }
	server := func(field string) string { return svc("backend_servers:\n      - {name: a, " + field + "}") }
	workspace := func(field string) string { return "workspaces:\n  - {name: lakes, " + field + "}" }
	for _, c := range []struct{ name, in, want string }{
		{"empty", "", `f:1: the file holds 0 documents; allowed: one document`},
		{"two_documents", "links: []\n---\nlinks: []", `f:1: the file holds 2 documents; allowed: one document`},
		{"scalar", "x", `f:1: got "x": not a mapping; allowed: fields regions, services, workspaces, links, sites, settings`},
		{"syntax", "a: [1\nb: : :", `f:2: invalid YAML: found an invalid key for this map`},
		{"not_utf8", "a: \xff", `f:1: the file is not UTF-8`},
		{"unknown_field", "setings: {}", `f:1: setings: unknown field; allowed: regions, services, workspaces, links, sites, settings; did you mean settings?`},
		{"far_field", "xyzzy-plugh: 1", `f:1: xyzzy-plugh: unknown field; allowed: regions, services, workspaces, links, sites, settings`},
		{"unprintable_field", `"a\nb": 1`, `f:1: "a\nb": unknown field; allowed: regions, services, workspaces, links, sites, settings`},
		{"duplicate_field", svc("slots: 1\n    slots: 2"), `f:4: services[dispatch].slots: the field is already set on line 3`},
		{"duplicate_entry", "workspaces:\n  - name: a\n  - name: a", `f:3: workspaces: got "a": the list already has this entry on line 2`},
		{"duplicate_value", svc("open_routes: [/a, /a]"), `f:3: services[dispatch].open_routes: got "/a": the list already has this entry on line 3`},
		{"no_name", "sites:\n  - region: fyn", `f:2: sites[0].name: the field is missing; allowed: ` + nameFormat},
		{"no_value", "settings:", `f:1: settings: the field has no value; allowed: fields lookup_age_ms, lookup_rate_per_s, plan_interval_ms, retry_budget_percent, trusted_proxies`},
		{"not_list", "regions: 1", `f:1: regions: got 1: not a list; allowed: a list, each entry fields name, availability_zones`},
		{"bad_name", "workspaces: [{name: Lakes}]", `f:1: workspaces[Lakes].name: got "Lakes": invalid name; allowed: ` + nameFormat},
		{"number_as_name", "workspaces: [{name: 7}]", `f:1: workspaces[0].name: got 7: not a string; allowed: ` + nameFormat},
		{"string_as_number", svc(`slots: "3"`), `f:3: services[dispatch].slots: got "3": not a number; allowed: ` + slots},
		{"bool_as_number", svc("slots: true"), `f:3: services[dispatch].slots: got true: not a number; allowed: ` + slots},
		{"negative", svc("slots: -3"), `f:3: services[dispatch].slots: got -3: the number is negative; allowed: ` + slots},
		{"zero", svc("slots: 0"), `f:3: services[dispatch].slots: got 0: the number is out of range; allowed: ` + slots},
		{"too_big", svc("slots: 10001"), `f:3: services[dispatch].slots: got 10001: the number is out of range; allowed: ` + slots},
		{"overflow", svc("slots: 18446744073709551615"), `f:3: services[dispatch].slots: got 18446744073709551615: the number is out of range; allowed: ` + slots},
		{"fraction", svc("slots: 1.5"), `f:3: services[dispatch].slots: got 1.5: not a whole number; allowed: ` + slots},
		{"nan", workspace("rate_per_s: .nan"), `f:2: workspaces[lakes].rate_per_s: got .nan: the number is not finite; allowed: ` + rate},
		{"infinite", workspace("rate_per_s: -.inf"), `f:2: workspaces[lakes].rate_per_s: got -.inf: the number is not finite; allowed: ` + rate},
		{"host_name", server("address: localhost:80"), `f:4: services[dispatch].backend_servers[a].address: got "localhost:80": invalid address; allowed: ` + address},
		{"no_port", server("address: 127.0.0.1"), `f:4: services[dispatch].backend_servers[a].address: got "127.0.0.1": invalid address; allowed: ` + address},
		{"port_zero", server(`address: "127.0.0.1:0"`), `f:4: services[dispatch].backend_servers[a].address: got "127.0.0.1:0": invalid address; allowed: ` + address},
		{"host_bits", "sites: [{name: s, blocks: [10.0.0.1/8]}]", `f:1: sites[s].blocks[10.0.0.1/8]: got "10.0.0.1/8": invalid address block; allowed: ` + block},
		{"prefix_length", "settings: {trusted_proxies: [10.0.0.0/33]}", `f:1: settings.trusted_proxies[10.0.0.0/33]: got "10.0.0.0/33": invalid address block; allowed: ` + block},
		{"relative_path", svc("health_path: x"), `f:3: services[dispatch].health_path: got "x": invalid path; allowed: a path that starts with / and contains no space, ASCII control character, ? or #`},
		{"method", svc("idempotent_methods: [POTS]"), `f:3: services[dispatch].idempotent_methods[POTS]: got "POTS": unknown method; allowed: DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT; did you mean POST?`},
		{"anchor_and_alias", "regions: &a []\nlinks: *a", "f:1: got &: an anchor is not supported; allowed: plain fields and values\nf:2: got *: an alias is not supported; allowed: plain fields and values"},
		{"merge_key", "<<: {}", `f:1: got <<: a merge key is not supported; allowed: plain fields and values`},
		{"tag", "links: !!seq []", `f:1: got !!seq: a tag is not supported; allowed: plain fields and values`},
		{"all_problems", "links: 1\nsites: 2", "f:1: links: got 1: not a list; allowed: a list, each entry fields from, to, capacity_mbit_s, shift_cap_per_s, shift_step_per_mille\nf:2: sites: got 2: not a list; allowed: a list, each entry fields name, region, availability_zone, blocks"},
	} {
		t.Run(c.name, func(t *testing.T) { assertParseError(t, c.in, c.want) })
	}
}

// TestParseLimits checks that input for which the YAML parser would need quadratic
// time or a deep stack is rejected beforehand.
func TestParseLimits(t *testing.T) {
	var fields strings.Builder
	for i := range maxMappingFields + 1 {
		fmt.Fprintf(&fields, "a%d: 1\n", i)
	}
	for _, c := range []struct{ name, in, want string }{
		{"file", strings.Repeat("\n", MaxFileBytes+1), "f:1: the file has 1048577 bytes; allowed: at most 1048576 bytes"},
		{"line", "# " + strings.Repeat("x", maxLineBytes), "f:1: the line has 4098 bytes; allowed: at most 4096 bytes"},
		{"brackets", strings.Repeat("[\n", maxNesting+1), "f:17: the nesting is too deep; allowed: at most 16 levels"},
		{"marks", strings.Repeat("- ", maxNesting+1) + "x", "f:1: the nesting is too deep; allowed: at most 16 levels"},
		{"indent", "a:\n" + strings.Repeat(" ", maxStartColumn) + "b: 1", "f:2: the line is indented by 64 columns; allowed: at most 63 columns"},
		{"fields", fields.String(), "f:65: the mapping has too many fields; allowed: at most 64 fields"},
	} {
		t.Run(c.name, func(t *testing.T) { assertParseError(t, c.in, c.want) })
	}
	t.Run("many_entries", func(t *testing.T) {
		in := "sites:\n"
		for i := range 3 * maxMappingFields {
			in += fmt.Sprintf("  - name: s%d\n    region: r\n", i)
		}
		if _, err := ParseFile("f", []byte(in)); err != nil {
			t.Errorf("a long list was refused: %v", err)
		}
	})
}

func assertParseError(t *testing.T, in, want string) {
	t.Helper()
	_, err := ParseFile("f", []byte(in))
	if err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
}

// TestPositions checks the positions that later checks print in their messages.
func TestPositions(t *testing.T) {
	f, err := ParseFile("f", []byte("# head\nservices:\n  - name: a\n    slots: 3\n    open_routes:\n      - /a/b.c\nlinks: [{from: x, to: y}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]int{
		"services": 2, "services[a]": 3, "services[a].slots": 4, "services[a].open_routes[/a/b.c]": 6,
		"services[a].deadline_ms": 3, "services[b].slots": 2, "links[x>y].to": 7, "settings.lookup_age_ms": 1,
	} {
		if got := f.Position(path); got != (Position{File: "f", Line: want}) {
			t.Errorf("%s is at %s, want line %d", path, got, want)
		}
	}
}

// TestRules checks that every schema field has a rule, that defaults are within
// their range, and that docs/configuration.md states the same values.
func TestRules(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	checkRules(t, (&schema.Config{}).ProtoReflect().Descriptor(), string(page))
}

func checkRules(t *testing.T, md protoreflect.MessageDescriptor, page string) {
	for i := range md.Fields().Len() {
		fd := md.Fields().Get(i)
		if fd.Message() != nil {
			checkRules(t, fd.Message(), page)
			continue
		}
		r := RuleOf(fd)
		allowed := map[Format]string{0: r.Range(), FormatName: "name", FormatAddress: "IP address and port", FormatBlock: "CIDR block", FormatPath: "path", FormatMethod: "method"}[r.Format]
		value := "none"
		if v, ok := DefaultOf(fd); ok {
			value = v.String()
		} else if r.Required {
			value = "required"
		}
		if r == (Rule{}) || r.Default != 0 && (r.Default < r.Min || r.Default > r.Max) {
			t.Errorf("%s has no rule or a default out of range", fd.FullName())
		}
		row := "(?m)^\\| `" + string(fd.Name()) + "` \\|.*" + regexp.QuoteMeta(fmt.Sprintf(" | %s | %s |", allowed, value)) + "$"
		if !regexp.MustCompile(row).MatchString(page) {
			t.Errorf("docs/configuration.md has no row for %s with %s and %s", fd.FullName(), allowed, value)
		}
	}
}

// FuzzParse checks that no input causes a panic or an error without file and line.
func FuzzParse(f *testing.F) {
	f.Add([]byte("regions:\n  - {name: a, availability_zones: [b]}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if len(content) > 8192 {
			return
		}
		file, err := ParseFile("f", content)
		if err != nil {
			for line := range strings.Lines(err.Error()) {
				if !strings.HasPrefix(line, "f:") {
					t.Errorf("no position in %q", line)
				}
			}
			return
		}
		for path, p := range file.Positions() {
			if p.Line < 1 || p.File != "f" {
				t.Errorf("invalid position of %s: %s", path, p)
			}
		}
	})
}
