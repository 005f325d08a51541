package differ

import (
	"strings"
	"testing"

	"catkindyke/pkg/parser"
	"catkindyke/pkg/schema"
)

const before = `services:
  - name: dispatch
    slots: 3
    queue_length: 50
    open_routes: [/dispatch/a]
    backend_servers:
      - {name: d-1, address: "127.0.0.1:80"}
      - {name: d-2, address: "127.0.0.2:80"}
workspaces: [{name: lakes, rate_per_s: 10, burst: 20}, {name: mills, rate_per_s: 1.5}]
links: [{from: a, to: b, shift_cap_per_s: 5}]
`

func parse(t *testing.T, content string) *schema.Config {
	t.Helper()
	cfg, err := parser.Parse("f", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func assertChanges(t *testing.T, changes []Change, want string) {
	t.Helper()
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	if b.String() != want {
		t.Errorf("got\n%s\nwant\n%s", b.String(), want)
	}
}

// TestDiff checks that every change is listed in a stable order, important ones
// first.
func TestDiff(t *testing.T) {
	after := `workspaces: [{name: lakes, rate_per_s: 12, burst: 24}, {name: zinc, rate_per_s: 2}]
links: [{from: a, to: b, shift_cap_per_s: 6}]
services:
  - name: dispatch
    slots: 4
    deadline_ms: 100
    open_routes: [/dispatch/b]
    backend_servers:
      - {name: d-3, address: "127.0.0.3:80"}
      - {name: d-2, address: "127.0.0.9:80"}
`
	want := `! removed services[dispatch].backend_servers[d-1]: {address: "127.0.0.1:80"}
! changed workspaces[lakes].rate_per_s: 10 -> 12
! removed workspaces[mills]: {rate_per_s: 1.5}
  changed services[dispatch].backend_servers[d-2].address: "127.0.0.2:80" -> "127.0.0.9:80"
  added   services[dispatch].backend_servers[d-3]: {address: "127.0.0.3:80"}
  changed services[dispatch].slots: 3 -> 4
  removed services[dispatch].open_routes[/dispatch/a]: "/dispatch/a"
  added   services[dispatch].open_routes[/dispatch/b]: "/dispatch/b"
  added   services[dispatch].deadline_ms: 100
  removed services[dispatch].queue_length: 50
  changed workspaces[lakes].burst: 20 -> 24
  added   workspaces[zinc]: {rate_per_s: 2}
  changed links[a>b].shift_cap_per_s: 5 -> 6
`
	changes := Diff(parse(t, before), parse(t, after))
	assertChanges(t, changes, want)
	summary := `4 added, 4 removed, 5 changed: removed services[dispatch].backend_servers[d-1]: {address: "127.0.0.1:80"}; changed workspaces[lakes].rate_per_s: 10 -> 12; removed workspaces[mills]: {rate_per_s: 1.5}; ...`
	if got := Summary(changes); got != summary {
		t.Errorf("got  %s\nwant %s", got, summary)
	}
	assertChanges(t, Diff(parse(t, after), parse(t, after)), "")
	assertChanges(t, Diff(parse(t, before), parse(t, before[strings.Index(before, "workspaces"):])),
		`! removed services[dispatch]: {backend_servers: 2 entries, slots: 3, open_routes: ["/dispatch/a"], queue_length: 50}`+"\n")
}
