package fair

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that all runs have the same
// result; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260901"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
