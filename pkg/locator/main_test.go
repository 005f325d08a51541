package locator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their result in CI is
// reproducible. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
