package planner

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run tests the same
// cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
