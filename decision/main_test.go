package decision

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that each run has the same
// result; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260901"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
