// The fault matrix: rows are the steps of each path, columns the faults. A cell
// is named path/step/fault; each was seen red with its guard taken out (see
// docs/MEASUREMENTS-coordination.md for the list).
package faultmatrix

import (
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cell is one fault at one step.
type cell struct {
	path, step, fault string
	run               func(b *testbed)
}

func TestMatrix(t *testing.T) {
	seen := map[string]bool{}
	for _, cells := range [][]cell{claimCells, publishCells, billCells, startCells, orderCells} {
		for _, c := range cells {
			name := c.path + "/" + c.step + "/" + c.fault
			if seen[name] {
				t.Errorf("cell %s stands twice", name)
			}
			seen[name] = true
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(newTestbed(t)) })
			})
		}
	}
}
