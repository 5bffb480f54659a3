// The rows of the fault matrix are the steps of each path, its columns the
// faults. A cell is named path/step/fault; the fault "cut" disconnects one
// instance from the log, and "freeze" pauses one. Each cell fails when the
// code that guards against its fault is removed;
// docs/MEASUREMENTS-coordination.md lists these trials.
package faultmatrix

import (
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cell tests one fault at one step.
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
				t.Errorf("duplicate cell %s", name)
			}
			seen[name] = true
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(newTestbed(t)) })
			})
		}
	}
}
