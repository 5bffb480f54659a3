// The rows of the fault matrix are the steps of each path, the columns the
// faults. A cell is named path/step/fault. docs/PROOFS.md describes how each was
// made to fail.
package faultmatrix

import (
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRequests(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range requestCells {
		for kind, want := range map[string]string{kindPlain: c.plain, kindStream: c.stream, kindReserve: c.reserve} {
			name := "request/" + c.step + "/" + c.fault + "/" + kind
			if seen[name] {
				t.Errorf("cell %s is defined twice", name)
			}
			seen[name] = true
			if want == "" {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { c.run(readyTestbed(t), kind, want) })
			})
		}
	}
}

func TestPublications(t *testing.T) {
	for _, c := range publishCells {
		t.Run("publish/"+c.step+"/"+c.fault, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { c.run(readyTestbed(t)) })
		})
	}
}

func TestLife(t *testing.T) {
	for _, c := range lifeCells {
		t.Run(c.path+"/"+c.step+"/"+c.fault, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				b := readyTestbed(t)
				c.run(b)
				b.heal()
				b.checkInvariants()
			})
		})
	}
}
