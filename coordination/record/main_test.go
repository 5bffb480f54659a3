package record

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that runs are reproducible; -rapid.seed on
// the command line takes precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
