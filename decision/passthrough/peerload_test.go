package passthrough

import (
	"testing"
	"time"
)

// TestManyInstancesShareTheirLoads plays forty instances before forty engines at half, and at all,
// of what these bear. Each instance hears of an engine every few seconds by its own answers, and a
// prompt of the large model holds up an engine for 0.2 s. Of the answers that come, more must be
// good and in time where the instances tell each other their loads.
func TestManyInstancesShareTheirLoads(t *testing.T) {
	const instances, engines, length = 40, 40, 12 * time.Second
	for _, factor := range []float64{0.5, 1} {
		var bad [2]float64
		for i, shares := range []bool{false, true} {
			s := newSimOf(t, instances, engines, []simCallerKind{{team: "a", rate: simCapacity * engines / simEngines / 3}})
			s.tokens, s.sharesLoads = 3*simTokens, shares
			s.route.TargetLatency = 700 * time.Millisecond
			s.play(2*time.Second, factor)
			s.tallies[0] = simTally{}
			s.play(length, factor)
			got := s.tallies[0]
			bad[i] = float64(got.late+got.weak+got.refused+got.failed) / float64(got.inTarget+got.late+got.weak+got.refused+got.failed)
			t.Logf("x %.1f, shares %v: %d in time, %d late, %d weak, %d refused, %d cut",
				factor, shares, got.inTarget, got.late, got.weak, got.refused, got.failed)
		}
		if bad[1] >= bad[0] {
			t.Errorf("at %.1f times the load %.3f of the answers are late or weak with shared loads, %.3f without", factor, bad[1], bad[0])
		}
	}
}

// TestWordOfAFewIsNotTaken holds that an engine does not pass for idle since most instances are not
// heard.
func TestWordOfAFewIsNotTaken(t *testing.T) {
	b := newHarness(t, Settings{})
	b.tick(FleetSize{Instances: 60})
	for _, heard := range []int{0, 20, 40, 53} {
		if b.tick(PeerLoads{Instances: heard}); b.world.peerLoadsFresh() {
			t.Errorf("the word of %d of 59 is taken", heard)
		}
	}
	if b.tick(PeerLoads{Instances: 54}); !b.world.peerLoadsFresh() {
		t.Error("the word of 54 of 59 is not taken")
	}
}

// TestOldWordOfOthersIsForgotten holds that a server is judged by its own answers again once the
// others fall silent.
func TestOldWordOfOthersIsForgotten(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 2, 8)})
	busy := b.world.servers["llm-0"]
	b.tick(PeerLoads{Loads: []PeerLoad{{Key: busy.peerKey(), Requests: 8, PrefillTime: time.Second}}})
	for range 6 {
		if d := b.dispatched(b.arrive(streamRoute(), nil)); d.Server.ID == "llm-0" {
			t.Fatal("went to the engine that is full by the others' word")
		}
	}
	b.advance(peerLoadTTL)
	found := false
	for range 8 {
		found = found || b.dispatched(b.arrive(streamRoute(), nil)).Server.ID == "llm-0"
	}
	if !found {
		t.Error("the others' word is believed for good")
	}
}
