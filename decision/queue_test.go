package decision

import (
	"testing"
	"time"
)

// A queued request must follow a change of freshness, manifest, servers or
// quarantines instead of running under the state at its admission.
func TestQueuedRequestsFollowChanges(t *testing.T) {
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
					t.Errorf("running request %d: %+v, want delivered", id, h.outcomes[id])
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

// Queued requests must follow a manifest that is applied while they wait: one
// pinned to a version that is withdrawn is refused, others move to its successor.
func TestQueuedWorkFollowsTheManifest(t *testing.T) {
	h := smallHarness(t)
	h.duration = func(Dispatch, Request) time.Duration { return time.Second }
	for range 4 {
		h.arrive(Request{Team: "weavers", Model: "draft"})
	}
	h.tick()
	pinned := h.arrive(Request{Team: "weavers", Pinned: weave1})
	free := h.arrive(Request{Team: "weavers", Model: "weave"})
	h.tick()
	v := append(testVersions(), Version{ID: weave2, Model: "weave", State: VersionServing, Share: 1, Predecessor: weave1})
	v[0].State = VersionWithdrawn
	h.manifest(2, []Team{testTeam("weavers", 1)}, v)
	h.servers(testServers(2, 2, weave1, draft1, weave2)...)
	h.run(5 * time.Second)
	if r, ok := h.outcomes[pinned].command.(Refuse); !ok || r.Reason != ReasonVersionWithdrawn {
		t.Errorf("pinned request: %+v, want refused as withdrawn", h.outcomes[pinned])
	}
	if _, ok := h.outcomes[free].command.(Deliver); !ok {
		t.Errorf("unpinned request: %+v, want delivered", h.outcomes[free])
	}
	h.requireAllEnded()
}
