package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run gives the same verdict, and
// makes ten times its usual checks; flags on the command line still count.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
