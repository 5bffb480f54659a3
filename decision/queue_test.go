package decision

import (
	"testing"
	"time"
)

// A queued request must follow a change of freshness, manifest, servers or
// quarantines instead of running under the state at its admission.
func TestWhileQueued(t *testing.T) {
	tests := []struct {
		name    string
		request Request
		change  func(*harness)
		want    Command
	}{
		{
			name: "short loss of freshness",
			change: func(h *harness) {
				h.send(FreshnessChanged{})
				h.run(time.Second / 2)
				h.send(FreshnessChanged{Fresh: true})
			},
			want: Deliver{Request: 5, Attempt: 1},
		},
		{
			name:   "long loss of freshness",
			change: func(h *harness) { h.send(FreshnessChanged{}) },
			want:   Refuse{Request: 5, Reason: ReasonNotFresh},
		},
		{
			name:   "log outage, not idempotent",
			change: func(h *harness) { h.send(FreshnessChanged{Fresh: true, Outage: true}) },
			want:   Refuse{Request: 5, Reason: ReasonOutage},
		},
		{
			name: "log outage, idempotent", request: Request{Idempotent: true},
			change: func(h *harness) { h.send(FreshnessChanged{Fresh: true, Outage: true}) },
			want:   Deliver{Request: 5, Attempt: 1},
		},
		{
			name:   "all servers leave the list",
			change: func(h *harness) { h.servers() },
			want:   Refuse{Request: 5, Reason: ReasonNoServer},
		},
		{
			name: "the team loses the model",
			change: func(h *harness) {
				h.manifest(2, []Team{{ID: "weavers", Allowed: []VersionID{draft1}}}, testVersions())
			},
			want: Refuse{Request: 5, Reason: ReasonNotAllowed},
		},
		{
			name:   "the team is dropped",
			change: func(h *harness) { h.manifest(2, nil, testVersions()) },
			want:   Refuse{Request: 5, Reason: ReasonNotAllowed},
		},
		{
			name: "its fingerprint is quarantined by a peer", request: Request{Fingerprint: 3},
			change: func(h *harness) { h.send(RequestQuarantined{Fingerprint: 3, Until: h.now.Add(time.Hour)}) },
			want:   Refuse{Request: 5, Reason: ReasonQuarantined},
		},
		{
			name:   "the caller cancels",
			change: func(h *harness) { h.cancelRequest(5) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := smallHarness(t)
			h.duration = func(Dispatch, Request) time.Duration { return 2 * time.Second }
			for range 4 {
				h.arrive(Request{Team: "weavers", Model: "weave"})
			}
			h.tick()
			r := tt.request
			r.Team, r.Model = "weavers", "weave"
			h.arrive(r)
			h.tick()
			tt.change(h)
			h.run(6 * time.Second)
			got := h.outcomes[5].command
			if r, ok := got.(Refuse); ok {
				r.RetryAfter = 0
				got = r
			}
			if got != tt.want {
				t.Errorf("got %T%+v, want %+v", got, got, tt.want)
			}
			for id := RequestID(1); id <= 4; id++ {
				if _, ok := h.outcomes[id].command.(Deliver); !ok {
					t.Errorf("running request %d: %+v", id, h.outcomes[id])
				}
			}
			h.requireAllEnded()
		})
	}
}

// The slot of a request whose caller has cancelled must go to the next request.
func TestCancelFreesTheSlot(t *testing.T) {
	h := smallHarness(t)
	h.duration = func(Dispatch, Request) time.Duration { return 20 * time.Second }
	for range 5 {
		h.arrive(Request{Team: "weavers", Model: "weave"})
	}
	h.run(time.Second)
	h.cancelRequest(1)
	h.run(time.Second)
	if h.possibleRuns[5] != 1 {
		t.Errorf("the fifth request ran %d times, want 1", h.possibleRuns[5])
	}
}

// The queue must be bounded, and within a team higher priorities must go first.
func TestQueueLimitAndPriority(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	team := testTeam("weavers", 1)
	team.QueueLimit = 3
	h.manifest(1, []Team{team}, testVersions())
	h.servers(testServers(1, 1, weave1)...)
	h.tick()
	h.arrive(Request{Team: "weavers", Model: "weave"})
	h.tick()
	for priority := range 4 {
		h.arrive(Request{Team: "weavers", Model: "weave", Priority: priority})
	}
	var order []RequestID
	h.onCommand = func(c Command) {
		if d, ok := c.(Dispatch); ok {
			order = append(order, d.Request)
		}
	}
	h.run(time.Second)
	if r, ok := h.outcomes[5].command.(Refuse); !ok || r.Reason != ReasonQueueFull {
		t.Errorf("the fourth queued request: %+v, want refused with queue_full", h.outcomes[5])
	}
	if len(order) != 3 || order[0] != 4 || order[1] != 3 || order[2] != 2 {
		t.Errorf("dispatch order %v, want 4 3 2", order)
	}
}

// When every attempt fails, retries must stay within the budget, or they sustain an
// overload. Retries by callers are charged to the same budget.
func TestRetryBudget(t *testing.T) {
	for _, result := range []AttemptResult{AttemptNotRun, AttemptFailed, AttemptUnknown} {
		h := smallHarness(t)
		h.result = always(result)
		dispatched := 0
		h.onCommand = func(c Command) {
			if _, ok := c.(Dispatch); ok {
				dispatched++
			}
		}
		const requests, ticksPerRequest = 100, 10
		for range requests {
			h.arrive(Request{Team: "weavers", Model: "weave", Idempotent: true})
			h.run(ticksPerRequest * step)
		}
		h.run(30 * time.Second)
		h.requireAllEnded()
		// The floor, and one per second for forty seconds.
		if limit := requests + 3 + 40; dispatched > limit {
			t.Errorf("result %d: %d attempts of %d requests, want at most %d", result, dispatched, requests, limit)
		}
	}
	h := smallHarness(t)
	for range 20 {
		h.arrive(Request{Team: "weavers", Model: "weave", Resend: true, Idempotent: true})
	}
	h.run(time.Second)
	refused := 0
	for _, o := range h.outcomes {
		if r, ok := o.command.(Refuse); ok && r.Reason == ReasonRetryBudget {
			refused++
		}
	}
	if refused != 17 {
		t.Errorf("%d of 20 resends refused, want all but the floor of 3", refused)
	}
}

// Duplicates of a request that crashes servers must crash two at most, however many
// are sent at once.
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
		t.Errorf("%d servers crashed, want 2; another request ran %d times", crashes, h.possibleRuns[other])
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
