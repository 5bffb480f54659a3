package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that runs are reproducible, and runs ten
// times its default number of checks. Flags on the command line take
// precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
