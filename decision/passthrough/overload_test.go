package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// TestGoodputHoldsUnderOverload asks for one to twelve times what the engines bear with the
// large model for every second request; with the small one alone they bear six times that.
// What callers get a second must not fall by more than a tenth from its peak.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	peak := 0.0
	for _, factor := range []float64{1, 1.5, 2.2, 3.5, 5, 8, 12} {
		s := newSim(t, 3, []simCallerKind{{team: "a", rate: simCapacity}})
		const length = 6 * time.Second
		s.play(2*time.Second, 0.8)
		s.tallies[0] = simTally{}
		s.play(length, factor)
		got := s.tallies[0]
		credit := got.credit() / length.Seconds()
		t.Logf("x %.1f: %d asked, %d in time, %d late, %d weak, %d refused, %d cut: %.0f a second",
			factor, got.sent, got.inTarget, got.late, got.weak, got.refused, got.failed, credit)
		peak = max(peak, credit)
		if credit < 0.9*peak {
			t.Errorf("at %.1f times the load callers get %.0f a second, of %.0f at less", factor, credit, peak)
		}
		if got.failed > got.sent/20 {
			t.Errorf("at %.1f times the load %d of %d waited to their deadline for nothing", factor, got.failed, got.sent)
		}
	}
}

// TestHotTeamPaysForItsOwnBurst has one team ask for ten times what the engines bear, beside
// four that ask for little.
func TestHotTeamPaysForItsOwnBurst(t *testing.T) {
	kinds := []simCallerKind{{team: "hot", rate: 10 * simCapacity}}
	for i := range 4 {
		kinds = append(kinds, simCallerKind{team: fmt.Sprint("small-", i), rate: simCapacity / 10})
	}
	s := newSim(t, 3, kinds)
	s.play(6*time.Second, 1)
	for i, got := range s.tallies[1:] {
		if got.served() < 0.85 {
			t.Errorf("small team %d: %.2f served of %d, beside %.2f of the hot one's", i, got.served(), got.sent, s.tallies[0].served())
		}
	}
}

// TestUrgentPromptsGoFirst has the engines full of requests of the last rank.
func TestUrgentPromptsGoFirst(t *testing.T) {
	s := newSim(t, 3, []simCallerKind{{team: "a", rank: 0, rate: 2 * simCapacity}, {team: "b", rank: 2, rate: 10 * simCapacity}})
	s.play(6*time.Second, 1)
	urgent, rest := s.tallies[0], s.tallies[1]
	if urgent.served() < 0.85 || urgent.served() < rest.served() {
		t.Errorf("%.2f of the urgent served, %.2f of the rest", urgent.served(), rest.served())
	}
	if rest.served() < 0.1 {
		t.Errorf("the rest is starved: %.2f served", rest.served())
	}
}

// TestRepeatsAtOnceDoNotCrowdOutFirstTries has two teams ask for as much, one of which asks
// again four times at once whenever it is refused.
func TestRepeatsAtOnceDoNotCrowdOutFirstTries(t *testing.T) {
	s := newSim(t, 3, []simCallerKind{{team: "patient", rate: 4 * simCapacity}, {team: "pushy", rate: 4 * simCapacity, retries: 4}})
	s.play(6*time.Second, 1)
	patient, pushy := s.tallies[0], s.tallies[1]
	first := float64(patient.sent)
	served := float64(patient.inTarget + patient.late + patient.weak)
	if served < 0.5*first || served < 0.9*float64(pushy.inTarget+pushy.late+pushy.weak) {
		t.Errorf("patient callers got %.0f answers to %.0f requests, pushy ones %d", served, first, pushy.inTarget+pushy.late+pushy.weak)
	}
	for _, after := range append(patient.hints, pushy.hints...) {
		if after <= 0 {
			t.Fatal("refused without a time to come back")
		}
	}
}

// TestLongPromptsAreNotPiledUpAtEngines asks for four times the prompts of 12,000 tokens that
// the engines read with the small model: 128 of them, for which an engine has places, take it
// five seconds.
func TestLongPromptsAreNotPiledUpAtEngines(t *testing.T) {
	const bears = simEngines * 300_000 / 12_000
	s := newSim(t, 3, []simCallerKind{{team: "a", rate: 4 * bears}})
	s.tokens = 12_000
	s.play(2*time.Second, 1)
	s.tallies[0] = simTally{}
	s.play(6*time.Second, 1)
	got := s.tallies[0]
	inTime := got.inTarget + got.weak
	t.Logf("%d asked, %d in time, %d late, %d refused, %d cut", got.sent, inTime, got.late, got.refused, got.failed)
	if float64(inTime) < 0.7*6*bears {
		t.Errorf("%d answers in time, of %d that the engines bear", inTime, 6*bears)
	}
	if got.late+got.failed > inTime/5 {
		t.Errorf("%d late and %d cut, beside %d in time", got.late, got.failed, inTime)
	}
}
