package commander

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"catkindyke/pkg/emulator"
	"catkindyke/pkg/publisher"
	"catkindyke/pkg/replicator"
	"catkindyke/pkg/schema"
)

// TestBlocksApply checks that invalid block files are rejected and that an
// unchanged table is not written again.
func TestBlocksApply(t *testing.T) {
	server := httptest.NewServer(emulator.NewPlatform(emulator.Budget{}))
	defer server.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "blocks.txt")
	value, err := proto.Marshal(&schema.Config{Sites: []*schema.Site{{Name: "odense"}, {Name: "aarhus"}}})
	assertNoError(t, err, "encode configuration")
	_, err = publisher.New(newStore(server.URL)).Write(t.Context(), replicator.KindConfig, value, 0, "test")
	assertNoError(t, err, "write configuration")
	expectRun := func(wantStatus int, wantText string, args ...string) {
		t.Helper()
		var out bytes.Buffer
		if got := New(&out, &out).Run(t.Context(), args); got != wantStatus || !strings.Contains(out.String(), wantText) {
			t.Errorf("%v: exit status %d, want %d; printed %q, want %q", args, got, wantStatus, out.String(), wantText)
		}
	}
	writeBlocks := func(content string) {
		assertNoError(t, os.WriteFile(file, []byte(content), 0o600), "write blocks")
	}
	writeBlocks("10.0.0.0/8 odense\n11.0.0.1/8 odense\n12.0.0.0/8 nowhere\n")
	expectRun(exitFailure, `blocks.txt:2: block "11.0.0.1/8" has bits`, "blocks", "apply", "-store", server.URL, file)
	expectRun(exitFailure, `blocks.txt:3: site "nowhere" is not in`, "blocks", "apply", "-store", server.URL, file)
	writeBlocks("10.0.0.0/8 odense\n")
	expectRun(exitOK, "version 1 accepted, 2 of 2 pieces", "blocks", "apply", "-store", server.URL, file)
	expectRun(exitOK, "no change against version 1", "blocks", "apply", "-store", server.URL, file)
	writeBlocks("10.0.0.0/8 aarhus\n")
	expectRun(exitOK, "version 2 accepted, 1 of 2 pieces", "blocks", "apply", "-store", server.URL, file)
	expectRun(exitFailure, "no such file", "blocks", "apply", "-store", server.URL, filepath.Join(dir, "none"))
	expectRun(exitUsage, "one file", "blocks", "apply")
}
