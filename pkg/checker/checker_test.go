package checker

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"catkindyke/pkg/merger"
	"catkindyke/pkg/parser"
)

// validConfig has no findings. Each region has a capacity of 100 requests a
// second.
const validConfig = `regions:
  - {name: fyn, availability_zones: [fyn-a]}
  - {name: jylland, availability_zones: [jylland-a]}
services:
  - name: dispatch
    service_time_ms: 100
    slots: 10
    open_routes: [/dispatch/open]
    backend_servers:
      - {name: d-1, address: "127.0.0.1:80", region: fyn, availability_zone: fyn-a}
      - {name: d-2, address: "127.0.0.2:80", region: jylland, availability_zone: jylland-a}
workspaces:
  - {name: lakes, rate_per_s: 90, burst: 13}
links:
  - {from: fyn, to: jylland, capacity_mbit_s: 4000, shift_cap_per_s: 90}
  - {from: jylland, to: fyn, capacity_mbit_s: 4000, shift_cap_per_s: 90}
sites:
  - {name: s, region: fyn, availability_zone: fyn-a, blocks: [10.0.0.0/8]}
`

// mergeFiles parses and merges files, given as pairs of name and content.
func mergeFiles(t *testing.T, files ...string) *merger.Result {
	t.Helper()
	var parsed []*parser.File
	for i := 0; i < len(files); i += 2 {
		f, err := parser.ParseFile(files[i], []byte(files[i+1]))
		if err != nil {
			t.Fatal(err)
		}
		parsed = append(parsed, f)
	}
	m, err := merger.Merge(parsed[0], parsed[1:]...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func checkMerged(m *merger.Result) string {
	var lines []string
	for _, f := range Check(Config{Config: m.Config(), Position: m.Position}) {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// TestCheck guards against accepting configurations that hosts cannot apply, and
// against findings without a position.
func TestCheck(t *testing.T) {
	const server = `address: "127.0.0.2:80", region: jylland, availability_zone: jylland-a`
	for _, c := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"no_slots", "    slots: 10\n", "", `error: b:9: services[dispatch].backend_servers[d-1].slots: neither the backend server nor its service has slots; allowed: a whole number from 1 to 10000 [missing]
error: b:10: services[dispatch].backend_servers[d-2].slots: neither the backend server nor its service has slots; allowed: a whole number from 1 to 10000 [missing]`},
		{"no_service_time", "    service_time_ms: 100\n", "", `error: b:5: services[dispatch].service_time_ms: the field is missing; allowed: a whole number from 1 to 3600000 [missing]`},
		{"no_rate", "rate_per_s: 90, ", "", `error: b:13: workspaces[lakes].rate_per_s: the field is missing; allowed: a number from 0.001 to 1000000 [missing]`},
		{"region", "region: jylland,", "region: jyland,", `error: b:11: services[dispatch].backend_servers[d-2].region: got jyland: unknown region; allowed: fyn, jylland; did you mean jylland? [unknown_reference]
warning: b:5: services[dispatch]: the service has no backend servers in region jylland [no_servers]`},
		{"zone", server, `address: "127.0.0.2:80", region: jylland, availability_zone: fyn-a`, `error: b:11: services[dispatch].backend_servers[d-2].availability_zone: got fyn-a: unknown availability zone of region jylland; allowed: jylland-a [unknown_reference]`},
		{"zone_twice", "[jylland-a]", "[jylland-a, fyn-a]", `error: b:3: regions[jylland].availability_zones[fyn-a]: got fyn-a: the availability zone is already used by regions[fyn].availability_zones[fyn-a] at b:2 [duplicate]`},
		{"address_twice", `"127.0.0.2:80"`, `"127.0.0.1:80"`, `error: b:11: services[dispatch].backend_servers[d-2].address: got 127.0.0.1:80: the address is already used by services[dispatch].backend_servers[d-1].address at b:10 [duplicate]`},
		{"server_twice", "workspaces:", "  - name: survey\n    service_time_ms: 100\n    backend_servers:\n      - {name: d-1, slots: 10, address: \"127.0.0.3:80\", region: fyn, availability_zone: fyn-a}\n      - {name: d-3, slots: 10, address: \"127.0.0.4:80\", region: jylland, availability_zone: jylland-a}\nworkspaces:", `error: b:15: services[survey].backend_servers[d-1]: got d-1: the name is already used by services[dispatch].backend_servers[d-1] at b:10 [duplicate]`},
		{"block_twice", "sites:\n", "sites:\n  - {name: r, region: fyn, availability_zone: fyn-a, blocks: [10.0.0.0/8]}\n", `error: b:19: sites[s].blocks[10.0.0.0/8]: got 10.0.0.0/8: the block is already used by sites[r].blocks[10.0.0.0/8] at b:18 [duplicate]`},
		{"route", "/dispatch/open", "/open", `error: b:8: services[dispatch].open_routes[/open]: got /open: the route matches no request of the service; allowed: paths under /dispatch [bad_route]`},
		{"connections", "slots: 10\n", "slots: 10\n    connections: 9\n", `error: b:11: services[dispatch].backend_servers[d-1].slots: got 10: the service allows only 9 connections to each backend server; allowed: 1 to 9 [connections_under_slots]
error: b:12: services[dispatch].backend_servers[d-2].slots: got 10: the service allows only 9 connections to each backend server; allowed: 1 to 9 [connections_under_slots]`},
		{"burst", "burst: 13", "burst: 12.18", `error: b:13: workspaces[lakes].burst: got 12.18: a host with 10 of 120 share slots can never hold a whole token; allowed: at least 12.181 [burst_too_small]`},
		{"rate_over_region", "rate_per_s: 90", "rate_per_s: 100.5", `warning: b:2: regions[fyn]: when region fyn fails, the others can run 100 requests a second, but the rates add up to 100.5 [no_failover_capacity]
warning: b:3: regions[jylland]: when region jylland fails, the others can run 100 requests a second, but the rates add up to 100.5 [no_failover_capacity]
warning: b:5: services[dispatch]: when region fyn fails, up to 100 requests a second must be shifted, but the shift caps of its links allow only 90 [shift_cap_too_small]
warning: b:5: services[dispatch]: when region jylland fails, up to 100 requests a second must be shifted, but the shift caps of its links allow only 90 [shift_cap_too_small]
warning: b:13: workspaces[lakes].rate_per_s: got 100.5: the rate exceeds the capacity of every single region, at most 100, and needs several regions at once [rate_over_capacity]`},
		{"rate_over_all", "lakes, rate_per_s: 90", "lakes, rate_per_s: 201", `error: b:13: workspaces[lakes].rate_per_s: got 201: the rate exceeds the capacity of all regions together; allowed: at most 200 [rate_over_capacity]
warning: b:2: regions[fyn]: when region fyn fails, the others can run 100 requests a second, but the rates add up to 201 [no_failover_capacity]
warning: b:3: regions[jylland]: when region jylland fails, the others can run 100 requests a second, but the rates add up to 201 [no_failover_capacity]
warning: b:5: services[dispatch]: when region fyn fails, up to 100 requests a second must be shifted, but the shift caps of its links allow only 90 [shift_cap_too_small]
warning: b:5: services[dispatch]: when region jylland fails, up to 100 requests a second must be shifted, but the shift caps of its links allow only 90 [shift_cap_too_small]
warning: b:12: workspaces: the rates add up to 201 requests a second, but all regions together can run only 200 [rate_over_capacity]`},
		{"shift_cap", "to: fyn, capacity_mbit_s: 4000, shift_cap_per_s: 90", "to: fyn, capacity_mbit_s: 4000, shift_cap_per_s: 89", `warning: b:5: services[dispatch]: when region jylland fails, up to 90 requests a second must be shifted, but the shift caps of its links allow only 89 [shift_cap_too_small]`},
		{"link_region", "to: jylland,", "to: jutland,", `error: b:15: links[fyn>jutland].to: got jutland: unknown region; allowed: fyn, jylland; did you mean jylland? [unknown_reference]
warning: b:14: links[fyn>jylland]: there is no link, so no requests can be shifted from fyn to jylland [no_link]`},
		{"self_link", "sites:", "  - {from: fyn, to: fyn, capacity_mbit_s: 1, shift_cap_per_s: 1}\nsites:", `error: b:17: links[fyn>fyn]: the link leads from a region to itself [link_to_itself]`},
		{"reserved", "name: dispatch\n", "name: v1\n", `error: b:5: services[v1]: got v1: the path segment is reserved for the API of the hosts [reserved_name]
error: b:8: services[v1].open_routes[/dispatch/open]: got /dispatch/open: the route matches no request of the service; allowed: paths under /v1 [bad_route]`},
		{"empty", validConfig, "settings: {}", `error: b:1: regions: no region is defined; allowed: at least one region [missing]
error: b:1: services: no service is defined; allowed: at least one service [missing]
warning: b:1: workspaces: no workspace is defined; only open routes are served [missing]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := checkMerged(mergeFiles(t, "b", strings.Replace(validConfig, c.old, c.new, 1))); got != c.want {
				t.Errorf("got\n%s\nwant\n%s", got, c.want)
			}
		})
	}
	t.Run("overlay_position", func(t *testing.T) {
		const want = "error: o:1: services[dispatch].backend_servers[d-1].slots: got 200: the service allows only 100 connections to each backend server; allowed: 1 to 100 [connections_under_slots]"
		if got := checkMerged(mergeFiles(t, "b", validConfig, "o", "{sites: [{name: s}], services: [{name: dispatch, backend_servers: [{name: d-1, slots: 200}]}]}")); got != want {
			t.Errorf("got\n%s\nwant\n%s", got, want)
		}
	})
}

// TestFixtures guards against deployments in _fixtures that have findings or
// whose sizes differ from the design page.
func TestFixtures(t *testing.T) {
	for name, servers := range map[string]map[string]int{
		"sovig":   {"dispatch": 30, "survey": 12},
		"bollard": {"order-desk": 20, "mill-ledger": 12},
	} {
		t.Run(name, func(t *testing.T) {
			names, _ := filepath.Glob("../../_fixtures/config/" + name + "/*-[ab].yaml")
			var files []string
			for _, file := range slices.Insert(names, 0, "../../_fixtures/config/"+name+"/base.yaml") {
				content, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				files = append(files, file, string(content))
			}
			m := mergeFiles(t, files...)
			if got := checkMerged(m); got != "" {
				t.Error(got)
			}
			for _, s := range m.Config().GetServices() {
				if got := len(s.GetBackendServers()); got != servers[s.GetName()] {
					t.Errorf("%s has %d backend servers, want %d", s.GetName(), got, servers[s.GetName()])
				}
			}
			if got := [3]int{len(m.Config().GetSites()), len(m.Config().GetLinks()), len(m.Config().GetWorkspaces())}; got != [3]int{6, 6, 8} {
				t.Errorf("got %d sites, links and workspaces, want 6, 6 and 8", got)
			}
		})
	}
}
