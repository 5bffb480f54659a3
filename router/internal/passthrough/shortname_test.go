package passthrough

import (
	"strings"
	"testing"
)

// Names that are kept in tables are short, and as different as those that callers chose.
func TestNamesThatAreKeptAreShort(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	for _, name := range []string{"", "a", strings.Repeat("y", maxNameBytes)} {
		if got := shortName(name); got != name {
			t.Errorf("%q became %q", name, got)
		}
	}
	if got := shortName(long); len(got) > maxNameBytes || got == shortName(long+"x") || got != shortName(long) {
		t.Errorf("a long name became %q", got)
	}
	if k := newRequestKey(long, long); len(k.key)+len(k.id) > 2*maxNameBytes {
		t.Errorf("the key of a request has %d bytes", len(k.key)+len(k.id))
	}
}
