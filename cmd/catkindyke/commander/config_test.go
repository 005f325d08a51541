package commander

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
	"catkindyke/pkg/storeclient"
	"catkindyke/service/apiserver"
)

const testBase = `regions: [{name: fyn, availability_zones: [fyn-a]}]
services:
  - name: dispatch
    slots: 10
    service_time_ms: 100
    backend_servers: [{name: d-1, address: "127.0.0.1:80", region: fyn, availability_zone: fyn-a}]
workspaces: [{name: lakes, rate_per_s: 90, burst: 120}]
`

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assertNoError(t, os.WriteFile(path, []byte(content), 0o600), "write "+name)
	return path
}

// assertRun runs a command and checks its exit status and output.
func assertRun(t *testing.T, wantStatus int, wantText string, args ...string) {
	t.Helper()
	var out bytes.Buffer
	if got := New(&out, &out).Run(t.Context(), args); got != wantStatus || !strings.Contains(out.String(), wantText) {
		t.Errorf("%v: exit status %d, want %d and %q; printed\n%s", args, got, wantStatus, wantText, &out)
	}
}

// TestCheckCommand checks that invalid files are rejected and that the errors of one
// file do not hide those of another.
func TestCheckCommand(t *testing.T) {
	base := writeFile(t, "base.yaml", testBase)
	assertRun(t, exitOK, "    slots: 10\n    connections: 100 # default\n", "check", "-print", base)
	assertRun(t, exitFailure, "no such file", "check", base+"x")
	one, two := writeFile(t, "one.yaml", "x: 1"), writeFile(t, "two.yaml", "y: 1")
	assertRun(t, exitFailure, "one.yaml:1: x: unknown field", "check", one, two)
	assertRun(t, exitFailure, "two.yaml:1: y: unknown field", "check", one, two)
	assertRun(t, exitFailure, "[burst_too_small]", "check", writeFile(t, "b.yaml", strings.Replace(testBase, "burst: 120", "burst: 1", 1)))
	assertRun(t, exitUsage, "-expect-version must be", "apply", "-expect-version", "-2", base)
}

// TestApplyCommand checks that apply does not overwrite an unexpected version and
// that an unchanged configuration creates no version.
func TestApplyCommand(t *testing.T) {
	server := httptest.NewServer(emulator.NewPlatform(emulator.Budget{}))
	defer server.Close()
	base := writeFile(t, "base.yaml", testBase)
	slower := writeFile(t, "slower.yaml", strings.Replace(testBase, "rate_per_s: 90", "rate_per_s: 80", 1))
	apply := func(args ...string) []string {
		return append([]string{"apply", "-wait", "0", "-store", server.URL}, args...)
	}
	assertRun(t, exitFailure, "version 3 was expected, version 0 is in force", apply("-expect-version", "3", base)...)
	assertRun(t, exitOK, "version 1 accepted", apply("-expect-version", "0", base)...)
	assertRun(t, exitOK, "no change against version 1", apply(base)...)
	assertRun(t, exitOK, "no change against version 1", "diff", "-store", server.URL, base)
	change := "! changed workspaces[lakes].rate_per_s: 90 -> 80"
	assertRun(t, exitOK, "1 changes against version 1\n"+change, "diff", "-store", server.URL, slower)
	assertRun(t, exitOK, change, apply("-expect-version", "1", slower)...)
	assertRun(t, exitFailure, "version 1 was expected, version 2 is in force: 0 added, 0 removed, 1 changed: changed workspaces[lakes].rate_per_s: 90 -> 80", apply("-expect-version", "1", base)...)
	assertRun(t, exitFailure, "not in force on all hosts", "apply", "-wait", "1ns", "-operator", "127.0.0.1:0", "-store", server.URL, slower)
}

// TestApplyConflict checks that a conflict error lists what the other operator
// changed between the read and the write.
func TestApplyConflict(t *testing.T) {
	platform := emulator.NewPlatform(emulator.Budget{})
	direct := httptest.NewServer(platform)
	defer direct.Close()
	written := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, replicator.HeadName(replicator.KindConfig)) && !written {
			written = true
			value, _ := encodeConfig(&schema.Config{Workspaces: []*schema.Workspace{{Name: "mills", RatePerS: 5}}})
			if _, err := publisher.New(newStore(direct.URL)).Write(r.Context(), replicator.KindConfig, value, 0, "other"); err != nil {
				t.Error(err)
			}
		}
		platform.ServeHTTP(w, r)
	}))
	defer server.Close()
	_, err := New(io.Discard, io.Discard).writeConfig(t.Context(), publisher.New(newStore(server.URL)), &schema.Config{}, anyVersion)
	const want = "version 1 changed since it was read:\n  added   workspaces[mills]: {rate_per_s: 5}"
	if !errors.Is(err, publisher.ErrConflict) || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want a conflict with %q", err, want)
	}
}

// TestConfirmation checks that apply reports success only once all live hosts have
// the version, and that it does not wait longer than allowed.
func TestConfirmation(t *testing.T) {
	type hostVersions = map[string]uint64
	for _, c := range []struct {
		name         string
		listedHost   string
		updateDelay  time.Duration
		lateVersions hostVersions
		wantErr      error
		wantOutput   string
		wantElapsed  time.Duration
	}{
		{"in_force", "a", 600 * time.Millisecond, hostVersions{"a": 2, "b": 3}, nil, "a: version 2 is in force\nb: version 3 is in force\n", 750 * time.Millisecond},
		{"one_behind", "a", 0, hostVersions{"a": 2, "b": 1}, errNotInForce, "a: version 2 is in force\nb: version 2 is not in force, it has version 1\n", 14 * time.Second},
		{"too_late", "a", 15 * time.Second, hostVersions{"a": 2}, errNotInForce, "a: version 2 is not in force, it has version 1\n", 14 * time.Second},
		{"no_report", "z", 0, hostVersions{"a": 2}, errNotInForce, "a: version 2 is in force\nz: no report at the queried host\n", 14 * time.Second},
		{"no_answer", "a", 0, nil, errNotInForce, "", 14 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var out bytes.Buffer
				err := confirmation{
					kind: replicator.KindConfig, version: 2, wait: defaultWait, out: &out,
					listHosts: func(context.Context) ([]storeclient.Host, error) {
						return []storeclient.Host{{Name: c.listedHost, State: storeclient.HostLive}, {Name: "y", State: storeclient.HostLeaving}}, nil
					},
					readStatus: func(context.Context) (st apiserver.Status, err error) {
						if c.lateVersions == nil {
							return st, errors.New("refused")
						}
						for _, name := range slices.Sorted(maps.Keys(c.lateVersions)) {
							v := c.lateVersions[name]
							if time.Since(start) < c.updateDelay {
								v = 1
							}
							st.Hosts = append(st.Hosts, apiserver.StatusHost{Name: name, Versions: hostVersions{replicator.KindConfig: v}})
						}
						return st, nil
					},
				}.run(t.Context())
				if !errors.Is(err, c.wantErr) || out.String() != c.wantOutput || time.Since(start) != c.wantElapsed {
					t.Errorf("after %s: %v\n%s", time.Since(start), err, out.String())
				}
			})
		})
	}
}
