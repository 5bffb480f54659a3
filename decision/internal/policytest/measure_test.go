package policytest

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"
)

var (
	seeds    = flag.Int("seeds", 0, "run TestMeasure with so many seeds and print its tables")
	only     = flag.String("load", "", "only loads whose name has this part")
	variant  = flag.String("policy", "", "only policies whose name has this part")
	parallel = flag.Int("runs", 4, "runs at once")
)

// TestMeasure prints the tables of docs/MEASUREMENTS.md when it is told the
// number of seeds.
func TestMeasure(t *testing.T) {
	for _, l := range Loads() {
		if *seeds == 0 || !strings.Contains(l.Deployment.Name+" "+l.Name, *only) {
			continue
		}
		variants := Variants()
		rows := make([]Row, len(variants))
		slots := make(chan struct{}, *parallel)
		var wg sync.WaitGroup
		for i, v := range variants {
			if !strings.Contains(v.Name, *variant) {
				continue
			}
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				rows[i] = Measure(l, v, *seeds)
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
