package wire

import "testing"

// TestLoadHeader checks that a formatted load is parsed again, and that a malformed
// header is not taken for a load.
func TestLoadHeader(t *testing.T) {
	if running, queued, ok := ParseLoad(FormatLoad(3, 12)); running != 3 || queued != 12 || !ok {
		t.Errorf("got %d running, %d queued, ok %v; want 3, 12, true", running, queued, ok)
	}
	for _, text := range []string{"", "3", "3/", "/1", "a/b", "-1/0", "1/2/3", "99999999999999999999/0"} {
		if _, _, ok := ParseLoad(text); ok {
			t.Errorf("%q is accepted, want it rejected", text)
		}
	}
}
