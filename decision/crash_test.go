package decision

import (
	"testing"
	"time"
)

// A request that crashes servers must crash two at most, and a resend of it none.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	h := smallHarness(t)
	h.result = always(AttemptCrashed)
	var quarantines []Quarantine
	h.onCommand = func(c Command) {
		if q, ok := c.(Quarantine); ok {
			quarantines = append(quarantines, q)
		}
	}
	first := h.arrive(Request{Team: "weavers", Model: "weave", Fingerprint: 5, Idempotent: true})
	h.run(time.Second)
	second := h.arrive(Request{Team: "weavers", Model: "weave", Fingerprint: 5, Idempotent: true, Resend: true})
	h.run(time.Second)
	if h.possibleRuns[first] != 2 || h.possibleRuns[second] != 0 {
		t.Errorf("ran %d and %d times, want 2 and 0", h.possibleRuns[first], h.possibleRuns[second])
	}
	if len(quarantines) != 1 || quarantines[0].Fingerprint != 5 {
		t.Errorf("quarantines %v, want one of fingerprint 5", quarantines)
	}
}

// A request that crashes servers and its duplicates must crash two at most, however
// many duplicates are sent at once after the first crash.
func TestCrashingCopies(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
	h.servers(testServers(6, 4, weave1)...)
	h.result = always(AttemptCrashed)
	first := h.arrive(Request{Team: "weavers", Model: "weave", Fingerprint: 8})
	h.run(time.Second)
	for range 10 {
		h.arrive(Request{Team: "weavers", Model: "weave", Fingerprint: 8, Idempotent: true})
	}
	other := h.arrive(Request{Team: "weavers", Model: "weave", Fingerprint: 9})
	h.run(5 * time.Second)
	crashes := 0
	for id := first; id < other; id++ {
		crashes += h.possibleRuns[id]
	}
	if crashes != 2 || h.possibleRuns[other] != 1 {
		t.Errorf("%d servers crashed, want 2; another request ran %d times, want once", crashes, h.possibleRuns[other])
	}
	h.requireAllEnded()
}

// A request that crashed one server must wait for another, busy one instead of
// failing because only the first is free.
func TestCrashedRequestWaitsForAnotherServer(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
	h.servers(testServers(2, 1, weave1)...)
	h.tick()
	h.duration = func(d Dispatch, r Request) time.Duration {
		return time.Duration(r.MaxTokens) * step
	}
	h.result = func(d Dispatch, _ Request) AttemptResult {
		if d.Request == 2 && d.Attempt == 1 {
			return AttemptCrashed
		}
		return AttemptCompleted
	}
	h.arrive(Request{Team: "weavers", Model: "weave", MaxTokens: 200})
	h.tick()
	h.arrive(Request{Team: "weavers", Model: "weave", MaxTokens: 5, Fingerprint: 4, Idempotent: true})
	h.run(5 * time.Second)
	if got, want := h.outcomes[2].command, (Deliver{Request: 2, Attempt: 2}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	h.requireAllEnded()
}
