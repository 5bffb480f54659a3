package passthrough

import (
	"testing"
	"time"
)

// fillRetryBudget sends requests that fill the retry budget.
func (h *harness) fillRetryBudget() {
	h.t.Helper()
	for range 20 {
		h.tick(AttemptEnded{Request: h.arrive(streamRoute(), nil), Result: Completed})
	}
}

// TestDroppedResponseEscalatesToLargestModel guards against a first attempt at a larger model
// than the smallest, and against a retry after a dropped response that uses the smallest model
// again or could be dropped too.
func TestDroppedResponseEscalatesToLargestModel(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 3, 8)})
	h.fillRetryBudget()
	id := h.arrive(streamRoute(), nil)
	first := h.requireDispatch(id)
	if threshold := h.world.ConfidenceThreshold(id); first.Model != "small" || threshold <= evenConfidence || threshold >= 1 {
		t.Errorf("first attempt: model %q, confidence threshold %v, want the smallest model and a threshold between evenConfidence and 1", first.Model, threshold)
	}
	h.tick(AttemptEnded{Request: id, Result: Dropped})
	second := h.requireDispatch(id)
	if threshold := h.world.ConfidenceThreshold(id); second.Model != "large" || threshold != 0 {
		t.Errorf("second attempt: model %q, confidence threshold %v, want the largest model and no threshold", second.Model, threshold)
	}
}

// TestNoDropWithoutRetryBudget guards against dropping a response that the retry budget does
// not allow to replace.
func TestNoDropWithoutRetryBudget(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0, RetrySlack: 1, RetryWindow: 1e9})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 3, 8)})
	id := h.arrive(streamRoute(), nil)
	h.requireDispatch(id)
	if threshold := h.world.ConfidenceThreshold(id); threshold != 0 {
		t.Errorf("confidence threshold %v with an empty retry budget, want 0", threshold)
	}
}

// TestSingleAttemptUsesLargestModel guards against a weak response to a request that has a
// single attempt, as it cannot be replaced.
func TestSingleAttemptUsesLargestModel(t *testing.T) {
	h := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 1
	h.configure(route)
	h.tick(ServersListed{servers("llm", 3, 8)})
	id := h.arrive(route, nil)
	if d, threshold := h.requireDispatch(id), h.world.ConfidenceThreshold(id); d.Model != "large" || threshold != 0 {
		t.Errorf("model %q, confidence threshold %v, want the largest model and no threshold", d.Model, threshold)
	}
}

// TestNonRetryableRequestUsesLargestModel guards against a weak response to a request that may
// not run twice, as it cannot be replaced.
func TestNonRetryableRequestUsesLargestModel(t *testing.T) {
	h := newHarness(t, Settings{})
	route := streamRoute()
	route.Resumable = false
	h.configure(route)
	h.tick(ServersListed{servers("llm", 3, 8)})
	id := h.arrive(route, nil)
	if d, threshold := h.requireDispatch(id), h.world.ConfidenceThreshold(id); d.Model != "large" || threshold != 0 {
		t.Errorf("model %q, confidence threshold %v, want the largest model and no threshold", d.Model, threshold)
	}
}

// TestFullServersGetSmallestModel guards against the largest model's prefill on servers that
// are nearly full.
func TestFullServersGetSmallestModel(t *testing.T) {
	h := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 1
	h.configure(route)
	h.tick(ServersListed{servers("llm", 1, 8)})
	model := ""
	for range 8 {
		model = h.requireDispatch(h.arrive(route, nil)).Model
	}
	if model != "small" {
		t.Errorf("the last slot went to model %q, want the smallest", model)
	}
}

// TestOneCrowdedServerDoesNotLimitTheService guards against one crowded server that counts as a full
// service. Requests with one prefix go to one server: in its last slots, too, weak responses of the
// smallest model must be dropped while the other servers have free slots.
func TestOneCrowdedServerDoesNotLimitTheService(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 8, 8)})
	h.fillRetryBudget()
	for _, s := range servers("llm", 8, 8)[1:] {
		h.tick(LoadReported{Server: s.ID, Load: Load{Running: 3, Slots: 8}})
	}
	h.tick(LoadReported{Server: "llm-0", Load: Load{Running: 7, Slots: 8}})
	crowded := h.world.servers["llm-0"]
	r := &request{Request: Request{Route: streamRoute(), Deadline: h.now.Add(time.Second)}, service: crowded.service, server: crowded}
	h.world.requests[0] = r
	r.model = h.world.chooseModel(r, occupancyOf(r.service, h.world.viewServers(r.service)).headroom(r))
	if threshold := h.world.ConfidenceThreshold(0); r.model != 0 || threshold == 0 {
		t.Errorf("model index %d with confidence threshold %v, want the smallest model with a threshold", r.model, threshold)
	}
}

// TestSmallestModelIsNotRetriedAfterADrop guards against a second request to the
// smallest model on full servers: its confidence would be low again.
func TestSmallestModelIsNotRetriedAfterADrop(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 2, 8)})
	h.fillRetryBudget()
	id := h.arrive(streamRoute(), nil)
	for range 13 {
		h.arrive(streamRoute(), nil)
	}
	h.tick(AttemptEnded{Request: id, Result: Dropped})
	if d := h.requireDispatch(id); d.Model != "large" {
		t.Errorf("requested model %q on full servers, want the largest", d.Model)
	}
}

// TestLargestModelIsKeptForHighPriority guards against low priorities that keep the largest
// model for as long as high ones while slots fill up, and against a headroom that drops at once
// in place of gradually.
func TestLargestModelIsKeptForHighPriority(t *testing.T) {
	for _, c := range []struct {
		priority          int
		utilization, want float64
	}{
		{0, 0.5, 1}, {0, 0.875, 0.5}, {0, 1, 0},
		{1, 0.5, 1}, {1, 0.88, 0}, {2, 0.5, 1}, {2, 0.76, 0}, {9, 0.76, 0},
	} {
		if got := utilizationRamp.headroom(c.priority, c.utilization); got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("priority %d with utilization %v: headroom %v, want %v", c.priority, c.utilization, got, c.want)
		}
	}
}

// dropResponse ends the request's attempt as Dropped, with the given confidence.
func (h *harness) dropResponse(id RequestID, confidence float64) {
	h.tick(AttemptEnded{Request: id, Result: Dropped, Confidence: confidence})
}

// newUnconstrainedHarness returns a harness whose engines and retry budget impose no limit.
func newUnconstrainedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 3, 800)})
	return h
}

// TestMiddleModelIsUsedForConfidenceNearThreshold guards against the largest model's
// price for requests that are only a little too hard for the smallest one, a fifth of those it
// has low confidence in. If the middle model has low confidence too, the largest is requested,
// as it is for all others.
func TestMiddleModelIsUsedForConfidenceNearThreshold(t *testing.T) {
	h := newUnconstrainedHarness(t)
	nearThreshold, farBelow := h.arrive(streamRoute(), nil), h.arrive(streamRoute(), nil)
	h.dropResponse(nearThreshold, 0.5)
	h.dropResponse(farBelow, 0.1)
	if d := h.requireDispatch(nearThreshold); d.Model != "middle" || h.world.ConfidenceThreshold(nearThreshold) == 0 {
		t.Errorf("confidence near the threshold: requested model %q with confidence threshold %v, want the middle one and a threshold", d.Model, h.world.ConfidenceThreshold(nearThreshold))
	}
	if d := h.requireDispatch(farBelow); d.Model != "large" {
		t.Errorf("confidence far below the threshold: requested model %q, want the largest", d.Model)
	}
	h.dropResponse(nearThreshold, 0.4)
	if d := h.requireDispatch(nearThreshold); d.Model != "large" || h.world.ConfidenceThreshold(nearThreshold) != 0 {
		t.Errorf("dropped twice: requested model %q with confidence threshold %v, want the largest and no threshold", d.Model, h.world.ConfidenceThreshold(nearThreshold))
	}
}

// TestUnsuccessfulMiddleModelIsNoLongerUsed guards against a middle model that is
// requested again and again though it never succeeds: how often it is confident is learned.
func TestUnsuccessfulMiddleModelIsNoLongerUsed(t *testing.T) {
	h := newUnconstrainedHarness(t)
	middle := 0
	for range 30 {
		id := h.arrive(streamRoute(), nil)
		h.dropResponse(id, 0.5)
		if h.requireDispatch(id).Model == "middle" {
			middle++
			h.dropResponse(id, 0.3)
		}
		h.tick(AttemptEnded{Request: id, Result: Completed, Confidence: 0.9})
	}
	if middle == 0 || middle > 6 {
		t.Errorf("the middle model was requested %d times without success, want 1 to 6", middle)
	}
}

// TestNoMiddleModelWithoutAThirdAttempt guards against a middle model whose weak response could
// not be replaced.
func TestNoMiddleModelWithoutAThirdAttempt(t *testing.T) {
	h := newHarness(t, Settings{})
	route := streamRoute()
	route.MaxAttempts = 2
	h.configure(route)
	h.tick(ServersListed{servers("llm", 3, 8)})
	h.fillRetryBudget()
	id := h.arrive(route, nil)
	h.dropResponse(id, 0.5)
	if d := h.requireDispatch(id); d.Model != "large" {
		t.Errorf("requested model %q, want the largest", d.Model)
	}
}

// TestInstanceWithFewRequestsDropsWeakResponses guards against an instance that keeps all weak
// responses because it never has the retry budget to replace one. It simulates one of 300
// instances with a request every four seconds, all with weak responses: half of these may be
// retried at a larger model.
func TestInstanceWithFewRequestsDropsWeakResponses(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.765, RetrySlack: 156, RetryWindow: 10 * time.Second, SessionTTL: time.Second})
	h.tick(FleetSize{Instances: 300})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 3, 8)})
	const requests = 40
	dropped := 0
	for range requests {
		h.advance(4 * time.Second)
		id := h.arrive(streamRoute(), nil)
		if h.world.ConfidenceThreshold(id) > 0 {
			dropped++
			h.tick(AttemptEnded{Request: id, Result: Dropped})
		}
		h.tick(AttemptEnded{Request: id, Result: Completed, Confidence: 1})
	}
	if dropped < requests/2 {
		t.Errorf("%d of %d weak responses could be dropped, want at least half", dropped, requests)
	}
}
