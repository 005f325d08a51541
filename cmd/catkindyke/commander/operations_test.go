package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestOperationsPages checks that the commands in the operations pages work.
func TestOperationsPages(t *testing.T) {
	d, err := startDemo(t.Context(), 6, "error", New(&bytes.Buffer{}, &bytes.Buffer{}))
	assertNoError(t, err, "start")
	defer d.stop()
	t.Setenv(EnvName("store"), d.storeURL)
	t.Setenv(EnvName("operator"), d.hosts[0].OperatorAddress())
	t.Setenv(EnvName("address"), d.hosts[0].CallerAddress())
	t.Chdir(filepath.Join("..", "..", ".."))
	pages, err := filepath.Glob("docs/operations/*.md")
	assertNoError(t, err, "list pages")
	// The configuration page applies another configuration, so it comes last.
	slices.SortFunc(pages, func(a, b string) int {
		return strings.Compare(strings.Replace(a, "configuration", "~", 1), strings.Replace(b, "configuration", "~", 1))
	})
	for _, page := range pages {
		for _, line := range commandLines(t, page) {
			t.Run(filepath.Base(page)+" "+line, func(t *testing.T) {
				var out, errOut bytes.Buffer
				if got := New(&out, &errOut).Run(t.Context(), expandGlobs(t, strings.Fields(line)[1:])); got != exitOK {
					t.Errorf("exit status %d: %s", got, errOut.String())
				}
			})
		}
	}
}

// expandGlobs replaces patterns by the matching files, as a shell does.
func expandGlobs(t *testing.T, args []string) []string {
	t.Helper()
	var out []string
	for _, arg := range args {
		files, err := filepath.Glob(arg)
		assertNoError(t, err, "expand "+arg)
		if len(files) == 0 {
			files = []string{arg}
		}
		out = append(out, files...)
	}
	return out
}

// commandLines returns the catkindyke commands in the code blocks of a page.
func commandLines(t *testing.T, page string) []string {
	t.Helper()
	content, err := os.ReadFile(page)
	assertNoError(t, err, "read "+page)
	var out []string
	inBlock := false
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = !inBlock
		case inBlock && strings.HasPrefix(line, "catkindyke "):
			out = append(out, line)
		}
	}
	return out
}
