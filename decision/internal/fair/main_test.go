package fair

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the properties a fixed seed, so that each run has the same
// verdict; -rapid.seed on the command line still wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260901"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
