package decision

import (
	"slices"
	"testing"
	"time"
)

// A session must stay on its version while a newer one is rolled out and while its
// own is draining, and be refused once its version is withdrawn. It must never
// silently move to another version.
func TestSessionKeepsItsVersionsThroughARollout(t *testing.T) {
	start := time.Date(2026, 9, 1, 8, 0, 0, 0, time.UTC)
	old := Version{ID: "draft@1", Model: "draft", State: VersionServing, Share: 1, Cost: 1, Quality: 0.9}
	next := Version{ID: "draft@2", Model: "draft", State: VersionServing, Share: 1, Predecessor: "draft@1", Cost: 1, Quality: 0.9}
	team := Team{ID: "weavers", Weight: 1, Allowed: []VersionID{"draft@1", "draft@2"}}
	servers := ServersListed{Servers: []Server{{ID: "s1", Versions: []VersionID{"draft@1", "draft@2"}, Slots: 4}}}

	w := NewWorld(DefaultConfig())
	w.Tick(start, []Event{
		ManifestApplied{Generation: 1, Teams: []Team{team}, Versions: []Version{old}},
		servers,
		FreshnessChanged{Fresh: true},
	})
	cmds := w.Tick(start, []Event{SessionOpening{Session: 7, Team: "weavers", RolloutPosition: 0.5}})
	want := []VersionID{"draft@1"}
	pin, ok := cmds[0].(PinSession)
	if !ok || pin.Session != 7 || !slices.Equal(pin.Versions, want) {
		t.Fatalf("got %+v, want draft@1 for session 7", cmds)
	}

	drained := old
	drained.State = VersionDraining
	withdrawn := old
	withdrawn.State = VersionWithdrawn
	for i, c := range []struct {
		versions []Version
		want     Command
	}{
		{[]Version{old, next}, Dispatch{Request: 1, Attempt: 1, Server: "s1", Version: "draft@1"}},
		{[]Version{drained, next}, Dispatch{Request: 2, Attempt: 1, Server: "s1", Version: "draft@1"}},
		{[]Version{withdrawn, next}, Refuse{Request: 3, Reason: ReasonVersionWithdrawn}},
	} {
		w.Tick(start, []Event{ManifestApplied{Generation: uint64(2 + i), Teams: []Team{team}, Versions: c.versions}})
		req := Request{ID: RequestID(1 + i), Team: "weavers", Pins: pin.Versions, RolloutPosition: 0.5}
		got := w.Tick(start, []Event{RequestArrived{Request: req}})
		if len(got) != 1 || !sameOutcome(got[0], c.want) {
			t.Errorf("step %d: got %+v, want %+v", i, got, c.want)
		}
	}
}

// sameOutcome reports whether both commands dispatch to the same version or refuse
// for the same reason.
func sameOutcome(got, want Command) bool {
	switch w := want.(type) {
	case Dispatch:
		g, ok := got.(Dispatch)
		return ok && g.Version == w.Version
	case Refuse:
		g, ok := got.(Refuse)
		return ok && g.Reason == w.Reason
	default:
		return false
	}
}
