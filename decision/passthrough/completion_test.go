package passthrough

import (
	"testing"
	"time"
)

// newEndHarness returns a harness with engines that state their speed, and its route of short requests.
func newEndHarness(t *testing.T, engines int) (*harness, *Route) {
	t.Helper()
	h := newHarness(t, Settings{})
	route := endRoute("short", 4*time.Second, 5*time.Second)
	h.tick(Configured{NewIndex(Config{Version: 1, Routes: []Route{*route}, Services: []Service{{Name: "llm", Slots: endSlots, TokensPerEvent: endTokens}}})},
		ServersListed{servers("llm", engines, endSlots)})
	for _, srv := range servers("llm", engines, endSlots) {
		h.tick(LoadReported{Server: srv.ID, Load: Load{Slots: endSlots, Slowdown: 1}})
	}
	return h, route
}

// arriveShort sends a request of 80 tokens.
func arriveShort(h *harness, route *Route) RequestID {
	return h.arrive(route, func(r *Request) { r.PromptTokens, r.ExpectedTokens, r.MaxTokens = 1000, 80, 100 })
}

// TestAttemptStaysIfNoOtherServerIsBetter guards against attempts that are given up although no other server could end
// the response in time.
func TestAttemptStaysIfNoOtherServerIsBetter(t *testing.T) {
	overdue := Progress{Since: 3 * time.Second}
	for _, engines := range []int{1, 2} {
		h, route := newEndHarness(t, engines)
		id := arriveShort(h, route)
		if d := h.requireDispatch(id); d.Forecast <= 0 {
			t.Fatal("no forecast")
		}
		h.advance(overdue.Since)
		if why, got := h.world.GivesUp(h.now, id, overdue); got != (engines == 2) {
			t.Errorf("%d engines: given up %v (%+v), want it for another engine only", engines, got, why)
		}
	}
}

// TestGivenUpAttemptsEjectNoServer guards against servers that are ejected for being busy, and against a request that is
// refused as not run after an attempt.
func TestGivenUpAttemptsEjectNoServer(t *testing.T) {
	h, route := newEndHarness(t, 2)
	for range 12 {
		id := arriveShort(h, route)
		h.advance(time.Second)
		h.tick(AttemptEnded{Request: id, Result: Broken, GivenUp: true})
		if _, refused := h.last(id).(Refuse); refused {
			t.Fatal("refused as not run after an attempt")
		}
		h.tick(RequestCancelled{id})
	}
	for _, s := range h.world.servers {
		if s.health.ejected(h.now) || s.health.failed > 0 {
			t.Errorf("%s: %.1f failures, ejected %v; want none", s.ID, s.health.failed, s.health.ejected(h.now))
		}
	}
}

// TestNothingIsForecastWithoutStatedSpeeds guards against decisions by forecasts where servers do not state how fast
// they are.
func TestNothingIsForecastWithoutStatedSpeeds(t *testing.T) {
	h := newListedHarness(t, streamRoute(), servers("llm", 2, 8))
	id := h.arrive(streamRoute(), func(r *Request) { r.ExpectedTokens, r.Deadline = 1_000_000, h.now.Add(time.Second) })
	if d := h.requireDispatch(id); d.Forecast != 0 {
		t.Errorf("forecast %v, want none", d.Forecast)
	}
	if _, got := h.world.GivesUp(h.now, id, Progress{Since: 10 * time.Second}); got {
		t.Error("given up without a forecast")
	}
}

// TestOnlyTheImpossibleIsRefused checks what is refused for lack of time, and when its caller is told to come back.
func TestOnlyTheImpossibleIsRefused(t *testing.T) {
	h, route := newEndHarness(t, 2)
	id := h.arrive(route, func(r *Request) { r.ExpectedTokens, r.Deadline = 100_000, h.now.Add(4*time.Second) })
	if r := h.requireRefusal(id, ReasonNoTime); r.RetryAfter != 0 || r.Forecast <= r.TimeLeft {
		t.Errorf("retry after %v, forecast %v, time left %v; want no retry-after time", r.RetryAfter, r.Forecast, r.TimeLeft)
	}
	id = h.arrive(route, func(r *Request) { r.ExpectedTokens, r.Deadline = 1000, h.now.Add(2*time.Second) })
	h.requireDispatch(id) // 100 events of 19 ms
}
