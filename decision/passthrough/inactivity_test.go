package passthrough

import (
	"testing"
	"time"
)

// TestSilentSecondEndsNoStream guards against streams that are moved to other engines because theirs was silent
// for a second.
func TestSilentSecondEndsNoStream(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, gap := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond} {
		for _, target := range []time.Duration{2 * time.Second, 4 * time.Second} {
			route := streamRoute()
			route.TargetGap, route.TargetLatency = gap, target
			for _, begun := range []bool{false, true} {
				in := Inactivity{Route: route, Begun: begun, AttemptIdle: silence, ServerIdle: silence}
				if in.TimedOut() {
					t.Errorf("gap %v, target %v, begun %v: timed out after %v", gap, target, begun, silence)
				}
			}
		}
	}
}
