package record

import "testing"

// Guards against two classes with the same name, whose keys and rules would mix.
func TestClassesAreDistinct(t *testing.T) {
	seen := map[Class]bool{}
	for _, c := range []Class{ClassManifest, ClassClaim, ClassBill, ClassSession, ClassQuarantine, ClassLease} {
		if seen[c] {
			t.Errorf("class %q is used for two kinds of register", c)
		}
		seen[c] = true
	}
}
