package passthrough

import (
	"fmt"
	"testing"
	"time"
)

// TestGoodputHoldsUnderOverload guards against goodput that collapses under overload. It sends
// one to twelve times what the engines can serve with the large model for every second
// request; with the small one alone they can serve six times that. The value that callers get
// per second must not fall by more than a tenth from its peak.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	peak := 0.0
	for _, factor := range []float64{1, 1.5, 2.2, 3.5, 5, 8, 12} {
		s := newSim(t, 3, []simCallerKind{{team: "a", rate: simCapacity}})
		const length = 6 * time.Second
		s.simulate(2*time.Second, 0.8)
		s.tallies[0] = simTally{}
		s.simulate(length, factor)
		got := s.tallies[0]
		value := got.value() / length.Seconds()
		t.Logf("x %.1f: %d sent, %d in time, %d late, %d weak, %d refused, %d failed: value %.0f per second",
			factor, got.sent, got.inTarget, got.late, got.weak, got.refused, got.failed, value)
		peak = max(peak, value)
		if value < 0.9*peak {
			t.Errorf("at %.1f times the capacity callers get a value of %.0f per second, want at least 0.9 of the %.0f at a lower load", factor, value, peak)
		}
		if got.failed > got.sent/20 {
			t.Errorf("at %.1f times the capacity %d of %d requests got no response by their deadline, want at most one in 20", factor, got.failed, got.sent)
		}
	}
}

// TestBurstOfOneTeamDoesNotDisplaceOthers guards against a burst of one team, ten times what the
// engines can serve, that displaces four small teams.
func TestBurstOfOneTeamDoesNotDisplaceOthers(t *testing.T) {
	kinds := []simCallerKind{{team: "hot", rate: 10 * simCapacity}}
	for i := range 4 {
		kinds = append(kinds, simCallerKind{team: fmt.Sprint("small-", i), rate: simCapacity / 10})
	}
	s := newSim(t, 3, kinds)
	s.simulate(6*time.Second, 1)
	for i, got := range s.tallies[1:] {
		if got.served() < 0.85 {
			t.Errorf("small team %d: %.2f of %d served, want at least 0.85; %.2f of the hot team", i, got.served(), got.sent, s.tallies[0].served())
		}
	}
}

// TestHighPriorityPromptsGoFirst guards against high-priority requests that wait behind those of
// the lowest priority on full engines, and against starving the latter.
func TestHighPriorityPromptsGoFirst(t *testing.T) {
	s := newSim(t, 3, []simCallerKind{{team: "a", priority: 0, rate: 2 * simCapacity}, {team: "b", priority: 2, rate: 10 * simCapacity}})
	s.simulate(6*time.Second, 1)
	urgent, low := s.tallies[0], s.tallies[1]
	if urgent.served() < 0.85 || urgent.served() < low.served() {
		t.Errorf("%.2f of high priority served, want at least 0.85 and no less than the %.2f of low priority", urgent.served(), low.served())
	}
	if low.served() < 0.1 {
		t.Errorf("low priority is starved: %.2f served, want at least 0.1", low.served())
	}
}

// TestImmediateRetriesGainNothing guards against callers that gain from retrying at
// once. Two teams send equal loads, one of which retries each refusal four times at once.
func TestImmediateRetriesGainNothing(t *testing.T) {
	s := newSim(t, 3, []simCallerKind{{team: "patient", rate: 4 * simCapacity}, {team: "pushy", rate: 4 * simCapacity, retries: 4}})
	s.simulate(6*time.Second, 1)
	patient, impatient := s.tallies[0], s.tallies[1]
	sent := float64(patient.sent)
	served := float64(patient.inTarget + patient.late + patient.weak)
	if served < 0.5*sent || served < 0.9*float64(impatient.inTarget+impatient.late+impatient.weak) {
		t.Errorf("callers that do not retry at once got %.0f responses to %.0f requests, want at least half and at least 0.9 of what those that do got, %d", served, sent, impatient.inTarget+impatient.late+impatient.weak)
	}
	for _, after := range append(patient.retryAfters, impatient.retryAfters...) {
		if after <= 0 {
			t.Fatal("refused without a retry-after time, want one above 0")
		}
	}
}

// TestLongPromptsDoNotQueueAtEngines guards against sending more prompts to an engine than
// it can process in time: it has slots for 128 prompts of 12,000 tokens, which take it five
// seconds. The load is four times what the engines can process with the small model.
func TestLongPromptsDoNotQueueAtEngines(t *testing.T) {
	const capacity = simEngines * 300_000 / 12_000
	s := newSim(t, 3, []simCallerKind{{team: "a", rate: 4 * capacity}})
	s.tokens = 12_000
	s.simulate(2*time.Second, 1)
	s.tallies[0] = simTally{}
	s.simulate(6*time.Second, 1)
	got := s.tallies[0]
	inTime := got.inTarget + got.weak
	t.Logf("%d sent, %d in time, %d late, %d refused, %d failed", got.sent, inTime, got.late, got.refused, got.failed)
	if float64(inTime) < 0.7*6*capacity {
		t.Errorf("%d responses in time, want at least 0.7 of the %d that the engines can serve", inTime, 6*capacity)
	}
	if got.late+got.failed > inTime/5 {
		t.Errorf("%d late and %d failed, want together at most a fifth of the %d in time", got.late, got.failed, inTime)
	}
}
