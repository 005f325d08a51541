package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"catkindyke/pkg/authenticator"
)

// TestSnapshot checks that snapshots show a change and contain no key or key hash.
func TestSnapshot(t *testing.T) {
	d, err := startDemo(t.Context(), 2, "error", New(&bytes.Buffer{}, &bytes.Buffer{}))
	assertNoError(t, err, "start")
	defer d.stop()
	t.Setenv(EnvName("store"), d.storeURL)
	t.Setenv(EnvName("operator"), d.hosts[0].OperatorAddress())
	dir := t.TempDir()
	before, after := filepath.Join(dir, "before.json"), filepath.Join(dir, "after.json")
	var out, errOut bytes.Buffer
	for _, args := range [][]string{
		{"snapshot", "save", before},
		{"drain", "region", "fyn"},
		{"snapshot", "save", after},
		{"snapshot", "diff", before, after},
	} {
		if got := New(&out, &errOut).Run(t.Context(), args); got != exitOK {
			t.Fatalf("%v: exit status %d: %s", args, got, errOut.String())
		}
	}
	if !strings.Contains(out.String(), "drains: version 0 to 1") {
		t.Errorf("the drain is not in the difference:\n%s", out.String())
	}
	content, err := os.ReadFile(after)
	assertNoError(t, err, "read snapshot")
	for _, key := range d.workspaceKeys {
		if bytes.Contains(content, []byte(authenticator.Hash(key))) || bytes.Contains(content, []byte(key)) {
			t.Error("the snapshot carries a key or its hash")
		}
	}
}
