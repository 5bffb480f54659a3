package passthrough

import (
	"testing"
	"time"

	"masticplank.example/decision/cascade"
)

// newPlannedHarness returns a harness of one of three instances that decide together, in front of three engines.
func newPlannedHarness(t *testing.T, retryRatio float64) *harness {
	t.Helper()
	h := newHarness(t, Settings{Seed: 1, RetryRatio: retryRatio, RetrySlack: 0, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
	h.tick(FleetSize{Instances: 3})
	c := Config{Version: 1, Services: []Service{{Name: "llm", Slots: 8, TokenCapacity: 100_000}}, Routes: []Route{*streamRoute()}}
	h.tick(Configured{NewIndex(c)})
	h.tick(ServersListed{servers("llm", 3, 8)})
	h.reportBacklog(0)
	for range 20 {
		h.tick(AttemptEnded{Request: h.arrivePrompt(), Result: Completed, Confidence: 1})
	}
	return h
}

// arrivePrompt sends a request whose prompt takes the largest model 0.3 s.
func (h *harness) arrivePrompt() RequestID {
	return h.arrive(streamRoute(), func(r *Request) { r.PromptTokens, r.MaxTokens = 10_000, 100 })
}

// reportBacklog reports the other instances' prefill at each engine.
func (h *harness) reportBacklog(each time.Duration) {
	var loads []PeerLoad
	for _, s := range h.world.services["llm"].servers {
		loads = append(loads, PeerLoad{Key: s.peerKey(), Requests: 1, PrefillTime: each})
	}
	h.tick(PeerLoads{Loads: loads, Instances: 2})
}

// TestHardRequestWaitsForLargerModel guards against a weak response that is kept although there will be room for the largest
// model well before the response is due, and against a largest model that is asked before.
func TestHardRequestWaitsForLargerModel(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrivePrompt()
	h.requireDispatch(id)
	h.reportBacklog(1200 * time.Millisecond)
	if threshold := h.world.ConfidenceThreshold(id); threshold <= 0.4 {
		t.Fatalf("confidence threshold %v, want a response with 0.4 dropped", threshold)
	}
	h.dropResponse(id, 0.4)
	if n := len(h.commands[id]); n != 1 {
		t.Fatalf("%d commands with engines that are behind, want no second dispatch", n)
	}
	h.advance(400 * time.Millisecond)
	h.reportBacklog(0)
	if d := h.requireDispatch(id); d.Model != "large" || d.WaitedForLarger != 400*time.Millisecond {
		t.Errorf("dispatched to model %q after a wait of %v, want the largest after 400ms", d.Model, d.WaitedForLarger)
	}
}

// TestBrokenStreamDoesNotWait guards against a pause in the middle of a response: a larger model's stream that breaks is resumed
// at once, however far behind the engines are.
func TestBrokenStreamDoesNotWait(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrivePrompt()
	h.dropResponse(id, 0.1)
	h.reportBacklog(1500 * time.Millisecond)
	h.tick(AttemptEnded{Request: id, Result: Broken, Begun: true, ConnectionLost: true})
	if d := h.requireDispatch(id); d.Attempt != 3 {
		t.Errorf("attempt %d after the second one has broken, want a third one at once", d.Attempt)
	}
}

// TestVainWaitEndsWithTheSmallestModel guards against a request that gets no response at all as it has waited for a larger model.
func TestVainWaitEndsWithTheSmallestModel(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrivePrompt()
	h.reportBacklog(1700 * time.Millisecond)
	h.dropResponse(id, 0.1)
	for range 20 {
		h.advance(300 * time.Millisecond)
		h.reportBacklog(10 * time.Second)
	}
	if d := h.requireDispatch(id); d.Attempt != 2 || d.Model != "small" {
		t.Errorf("attempt %d at model %q, want a second one at the smallest", d.Attempt, d.Model)
	}
	if threshold := h.world.ConfidenceThreshold(id); threshold != 0 {
		t.Errorf("confidence threshold %v after a wait in vain, want 0", threshold)
	}
}

// TestWeakResponsesAreKeptForACause guards against the largest model's prefill on engines that are behind for all instances
// though idle for this one, and against weak responses whose cause nobody can see.
func TestWeakResponsesAreKeptForACause(t *testing.T) {
	for _, c := range []struct {
		name       string
		retryRatio float64
		backlog    time.Duration
		want       cascade.Limit
	}{
		{"idle", 1, 0, ""},
		{"engines behind", 1, 4 * time.Second, cascade.NoRoom},
		{"no time left", 1, 13 * time.Second, cascade.NoTime},
		{"budget spent", 0, 0, cascade.NoBudget},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newPlannedHarness(t, c.retryRatio)
			id := h.arrivePrompt()
			h.world.requests[id].model = 0 // a spent budget may have asked for the largest at once
			h.reportBacklog(c.backlog)
			if threshold := h.world.ConfidenceThreshold(id); (threshold == 0) != (c.want != "") {
				t.Errorf("confidence threshold %v, want 0: %v", threshold, c.want != "")
			}
			if got := h.world.KeptBecause(id, 0.1); got != string(c.want) {
				t.Errorf("kept because of %q, want %q", got, c.want)
			}
			if got := h.world.KeptBecause(id, 0.9); got != "" {
				t.Errorf("a good response is kept because of %q, want no cause", got)
			}
		})
	}
}

// TestSpentBudgetAsksLargestWhileIdle guards against weak responses beside idle engines while the retry budget is spent, and
// against engines that are filled by requests that do not need the largest model.
func TestSpentBudgetAsksLargestWhileIdle(t *testing.T) {
	for _, c := range []struct {
		backlog time.Duration
		want    string
	}{{0, "large"}, {700 * time.Millisecond, "small"}} {
		h := newPlannedHarness(t, 0)
		h.reportBacklog(c.backlog)
		if d := h.requireDispatch(h.arrivePrompt()); d.Model != c.want {
			t.Errorf("backlog %v: model %q, want %q", c.backlog, d.Model, c.want)
		}
	}
}

// TestFewBusyEnginesLimitTheService guards against a backlog that is judged by the engines that get few requests, while others
// are filled until they reject requests.
func TestFewBusyEnginesLimitTheService(t *testing.T) {
	h := newPlannedHarness(t, 1)
	id := h.arrivePrompt()
	h.tick(PeerLoads{Loads: []PeerLoad{{Key: h.world.servers["llm-0"].peerKey(), Requests: 8, PrefillTime: 10 * time.Second}}, Instances: 2})
	if threshold := h.world.ConfidenceThreshold(id); threshold != 0 {
		t.Errorf("confidence threshold %v with 10 s of prefill at one engine of three, want 0", threshold)
	}
}

// TestStatedSpeedTurnsPlanningOn guards against other decisions for services of earlier deployments.
func TestStatedSpeedTurnsPlanningOn(t *testing.T) {
	h := newListedHarness(t, streamRoute(), servers("llm", 3, 8))
	if s := h.world.services["llm"]; h.world.plansLarger(s) || h.world.countsTokens(s) {
		t.Error("larger models are planned, want that only once a server has stated its speed")
	}
	h.tick(LoadReported{Server: "llm-0", Load: Load{Slots: 8, Slowdown: 1}})
	if !h.world.plansLarger(h.world.services["llm"]) {
		t.Error("larger models are not planned although a server has stated its speed")
	}
}
