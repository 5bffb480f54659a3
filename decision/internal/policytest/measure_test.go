package policytest

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
)

var (
	numSeeds      = flag.Int("seeds", 0, "run TestMeasure with so many seeds and print its tables")
	loadFilter    = flag.String("load", "", "only loads whose name has this part")
	variantFilter = flag.String("policy", "", "only policies whose name has this part")
	maxParallel   = flag.Int("runs", 4, "runs at once")
)

// TestMeasure prints the tables of docs/MEASUREMENTS.md if -seeds is given.
func TestMeasure(t *testing.T) {
	for _, l := range Loads() {
		if *numSeeds == 0 || !strings.Contains(l.Deployment.Name+" "+l.Name, *loadFilter) {
			continue
		}
		variants := Variants()
		rows := make([]Row, len(variants))
		slots := make(chan struct{}, *maxParallel)
		var wg sync.WaitGroup
		for i, v := range variants {
			if !strings.Contains(v.Name, *variantFilter) {
				continue
			}
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				rows[i] = Measure(l, v, *numSeeds)
			})
		}
		wg.Wait()
		shown := rows[:0]
		for _, r := range rows {
			if r.Policy != "" {
				shown = append(shown, r)
			}
		}
		WriteTable(os.Stdout, l, shown)
	}
}
