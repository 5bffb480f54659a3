package passthrough

import (
	"testing"
	"time"
)

// TestManyInstancesShareTheirLoads guards against engines that two instances send long prompts to
// at once because each considers them idle. It simulates forty instances and forty engines at half
// and at all of what these can serve. Each instance gets a response from an engine only every few
// seconds, and a prompt of the large model occupies an engine for 0.2 s. With load
// reports between the instances more responses must be good and in time.
func TestManyInstancesShareTheirLoads(t *testing.T) {
	const instances, engines, length = 40, 40, 12 * time.Second
	for _, factor := range []float64{0.5, 1} {
		var bad [2]float64
		for i, sharesLoads := range []bool{false, true} {
			s := newSimOf(t, instances, engines, []simCallerKind{{team: "a", rate: simCapacity * engines / simEngines / 3}})
			s.tokens, s.exchangesLoads = 3*simTokens, sharesLoads
			s.route.TargetLatency = 700 * time.Millisecond
			s.simulate(2*time.Second, factor)
			s.tallies[0] = simTally{}
			s.simulate(length, factor)
			got := s.tallies[0]
			bad[i] = float64(got.late+got.weak+got.refused+got.failed) / float64(got.inTarget+got.late+got.weak+got.refused+got.failed)
			t.Logf("x %.1f, load reports %v: %d in time, %d late, %d weak, %d refused, %d failed",
				factor, sharesLoads, got.inTarget, got.late, got.weak, got.refused, got.failed)
		}
		if bad[1] >= bad[0] {
			t.Errorf("at %.1f times the capacity %.3f of the requests get no good response in time with load reports, want less than the %.3f without", factor, bad[1], bad[0])
		}
	}
}

// TestPartialPeerLoadsAreIgnored guards against engines that look idle because most instances are
// missing from a load report.
func TestPartialPeerLoadsAreIgnored(t *testing.T) {
	h := newHarness(t, Settings{})
	h.tick(FleetSize{Instances: 60})
	for _, reporting := range []int{0, 20, 40, 53} {
		if h.tick(PeerLoads{Instances: reporting}); h.world.peerLoadsFresh() {
			t.Errorf("a report of %d of 59 instances is accepted, want it ignored", reporting)
		}
	}
	if h.tick(PeerLoads{Instances: 54}); !h.world.peerLoadsFresh() {
		t.Error("a report of 54 of 59 instances is ignored, want it accepted")
	}
}

// TestOldPeerLoadsExpire guards against servers that are avoided for good once the load reports of
// the other instances stop coming.
func TestOldPeerLoadsExpire(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 2, 8)})
	busy := h.world.servers["llm-0"]
	h.tick(PeerLoads{Loads: []PeerLoad{{Key: busy.peerKey(), Requests: 8, PrefillTime: time.Second}}})
	for range 6 {
		if d := h.requireDispatch(h.arrive(streamRoute(), nil)); d.Server.ID == "llm-0" {
			t.Fatal("sent to the engine that is full by the load report, want the other one")
		}
	}
	h.advance(peerLoadTTL)
	found := false
	for range 8 {
		found = found || h.requireDispatch(h.arrive(streamRoute(), nil)).Server.ID == "llm-0"
	}
	if !found {
		t.Error("no request went to the engine that was full, want one after the load report expired")
	}
}
