package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestDemo checks the whole path from a look-up to a response.
func TestDemo(t *testing.T) {
	d, err := startDemo(t.Context(), 6, "error", New(&bytes.Buffer{}, &bytes.Buffer{}))
	assertNoError(t, err, "start")
	defer d.stop()
	sum := newLoadGenerator(d).run(t.Context(), 300*time.Millisecond)
	if sum.hasFaults() {
		t.Errorf("load summary has faults:\n%s", sum)
	}
}

// TestUsage checks that commands reject invalid arguments with a message.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"nothing"},
		{"serve"},
		{"serve", "-bogus"},
		{"serve", "-name", "a", "-region", "r", "-availability-zone", "z", "-store", "http://127.0.0.1:1"},
		{"demo", "extra"},
		{"demo", "-hosts", "0"},
		{"demo", "-duration", "soon"},
		{"check"},
		{"diff"},
		{"apply"},
		{"apply", "-expect-version", "-2", "x"},
		{"apply", "-wait", "-1s", "x"},
		{"key"},
		{"key", "grant", "one"},
		{"key", "withdraw"},
		{"key", "list", "extra"},
		{"key", "steal"},
		{"blocks"},
		{"blocks", "apply"},
		{"snapshot"},
		{"snapshot", "save"},
		{"snapshot", "diff", "one"},
		{"status", "extra"},
		{"explain"},
		{"lookup"},
		{"lookup", "a", "b"},
		{"emulate"},
		{"emulate", "platform", "-reads", "-1"},
		{"emulate", "backend", "-slots", "0"},
	} {
		t.Run(strings.Join(args, "_"), func(t *testing.T) {
			var out, errOut bytes.Buffer
			if got := New(&out, &errOut).Run(t.Context(), args); got != exitUsage {
				t.Errorf("exit status %d, want %d; printed %q", got, exitUsage, errOut.String())
			}
			if errOut.Len() == 0 {
				t.Error("nothing printed")
			}
		})
	}
}

// TestUnreachable checks that commands fail with a message, and do not hang, when the
// store or host that they call is unreachable.
func TestUnreachable(t *testing.T) {
	const closedAddress = "127.0.0.1:1"
	t.Setenv(EnvName("store"), "http://"+closedAddress)
	t.Setenv(EnvName("operator"), closedAddress)
	t.Setenv(EnvName("address"), closedAddress)
	file := filepath.Join(t.TempDir(), "file")
	assertNoError(t, os.WriteFile(file, []byte("10.0.0.0/8 lake\n"), 0o600), "write file")
	for _, args := range [][]string{
		{"check", "no-such-file"},
		{"diff", "no-such-file"},
		{"apply", "no-such-file"},
		{"key", "grant", "lakes", "a"},
		{"key", "withdraw", "lakes", "a"},
		{"key", "list"},
		{"drain", "region", "fyn"},
		{"undrain", "region", "fyn"},
		{"drain", "-lost", "region", "fyn"},
		{"blocks", "apply", file},
		{"snapshot", "save", file},
		{"snapshot", "diff", file, file},
		{"status"},
		{"explain", "dispatch"},
		{"lookup", "dispatch"},
		{"emulate", "platform", "-address", "256.0.0.1:0"},
		{"emulate", "backend", "-address", "256.0.0.1:0"},
	} {
		t.Run(strings.Join(args[:min(2, len(args))], "_"), func(t *testing.T) {
			var out, errOut bytes.Buffer
			if got := New(&out, &errOut).Run(t.Context(), args); got != exitFailure {
				t.Errorf("exit status %d, want %d; printed %q", got, exitFailure, errOut.String())
			}
			if errOut.Len() == 0 {
				t.Error("nothing printed")
			}
		})
	}
}

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}
