// The rows of the fault matrix are the steps of each path, the columns the
// faults. A cell is named path/step/fault, with the kind at the end if the path is
// request. docs/PROOFS.md describes how each was made to fail.
package faultmatrix

import (
	"testing"
	"testing/synctest"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Whatever fault a request meets at whatever step, the caller must get a truthful
// outcome, and a resend must not run a reservation twice.
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

// Whatever fault a publication meets, the returned code must be truthful, and repeating
// the publication must not create a second generation or bring replaced content back.
func TestPublications(t *testing.T) {
	for _, c := range publishCells {
		t.Run("publish/"+c.step+"/"+c.fault, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { c.run(readyTestbed(t)) })
		})
	}
}

// An instance that starts or catches up during a fault must not serve on stale state,
// and must recover by itself once the fault has ended.
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
