package commander

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestDemo guards against a break anywhere on the path from look-up to answer.
func TestDemo(t *testing.T) {
	d, err := startDemo(t.Context(), 6, "error", New(&bytes.Buffer{}, &bytes.Buffer{}))
	assertNoError(t, err, "start")
	defer d.stop()
	sum := newLoad(d).run(t.Context(), 300*time.Millisecond)
	if sum.wrong() {
		t.Errorf("wrong answers:\n%s", sum)
	}
}

// TestUsage guards against commands that accept bad arguments silently.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"nothing"}, {"serve"}, {"serve", "-bogus"}, {"key"}, {"key", "grant", "one"}, {"lookup"}, {"demo", "extra"}, {"check"},
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

func assertNoError(t *testing.T, err error, step string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", step, err)
	}
}
