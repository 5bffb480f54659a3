package gate

import (
	"testing"
	"time"

	"masticplank.example/coordination/freshness"
	"masticplank.example/decision"
)

// TestPauseEndsFreshness pauses an instance for less than the freshness bound. Its
// last confirmation is recent enough, but no confirmation from before a pause may
// count, else the instance would admit work on outdated state.
func TestPauseEndsFreshness(t *testing.T) {
	const bound = 5 * time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration
		want  decision.RefusalReason
	}{
		{"no pause", bound / 4, ""},
		{"paused", bound/2 + time.Second, decision.ReasonNotFresh},
	} {
		clock := time.Now()
		g := New(freshness.New(freshness.Config{Self: "a", Bound: bound}), func() time.Time { return clock })
		g.SetLiveInstances([]string{"a", "b", "c"})
		g.HeadRead(clock, 7)
		g.Folded(7)
		if got := g.MayRun(false); got != "" {
			t.Fatalf("%s: refuses for %s while fresh, want no refusal", c.name, got)
		}
		clock = clock.Add(c.pause)
		if got := g.MayRun(true); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		g.HeadRead(clock, 7)
		if got := g.MayRun(true); got != "" {
			t.Errorf("%s: refuses for %s after a new confirmation, want no refusal", c.name, got)
		}
	}
}
