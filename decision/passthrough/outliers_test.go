package passthrough

import (
	"math"
	"testing"
	"time"

	"masticplank.example/decision/outlier"
)

// newOutlierHarness returns a harness in front of ten engines, with shared admission or without.
func newOutlierHarness(t *testing.T, shared bool) (*harness, *Route) {
	t.Helper()
	route := streamRoute()
	route.Models = nil
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 50, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: shared})
	h.configure(route)
	h.tick(ServersListed{servers("llm", 10, 8)}, PeerDemand{Instances: 20}, FleetSize{Instances: 20})
	return h, route
}

// failEach sends requests until the end of the function has been reached by count attempts that end in the way.
func failEach(h *harness, route *Route, count int, end AttemptEnded) {
	for range count {
		id := h.arrive(route, nil)
		if _, ok := h.last(id).(Dispatch); !ok {
			continue
		}
		end.Request = id
		h.tick(end)
		h.tick(RequestCancelled{id})
		h.advance(10 * time.Millisecond)
	}
}

// TestOnlyServersFaultsAreReported guards against sound servers that are blamed for requests, for their slow machines, or
// for callers that do not read.
func TestOnlyServersFaultsAreReported(t *testing.T) {
	for name, tc := range map[string]struct {
		shared bool
		end    AttemptEnded
		want   bool
	}{
		"reset":              {true, AttemptEnded{Result: Broken, ConnectionLost: true}, true},
		"admission by each":  {false, AttemptEnded{Result: Broken, ConnectionLost: true}, false},
		"timeout":            {true, AttemptEnded{Result: Broken}, false},
		"given up":           {true, AttemptEnded{Result: Broken, GivenUp: true}, false},
		"caller stalled":     {true, AttemptEnded{Result: Broken, ConnectionLost: true, CallerStalled: true}, false},
		"holds unread":       {true, AttemptEnded{Result: Broken, ConnectionLost: true, HeldUnread: true}, false},
		"peer's tunnel lost": {true, AttemptEnded{Result: Broken, ConnectionLost: true, ViaPeer: true, TunnelLost: true}, false},
		"rejected":           {true, AttemptEnded{Result: Rejected}, false},
		"failed by itself":   {true, AttemptEnded{Result: Failed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, route := newOutlierHarness(t, tc.shared)
			failEach(h, route, 5, tc.end)
			failed := 0.0
			for _, row := range h.world.OwnOutliers() {
				failed += row.Failed
			}
			if (failed > 0) != tc.want {
				t.Errorf("%.1f failures are reported, want some: %v", failed, tc.want)
			}
		})
	}
}

// TestFailureIsTheServersOnceAnotherResponds guards against a server that responds with failures of its own and is blamed
// by none.
func TestFailureIsTheServersOnceAnotherResponds(t *testing.T) {
	h, route := newOutlierHarness(t, true)
	id := h.arrive(route, nil)
	first := h.requireDispatch(id).Server
	h.tick(AttemptEnded{Request: id, Result: Failed})
	second := h.requireDispatch(id).Server
	h.tick(AttemptEnded{Request: id, Result: Completed, Confidence: 1})
	for _, row := range h.world.OwnOutliers() {
		server := h.world.serversByKey[uint32(row.Server)].ID
		if failed := row.Failed > 0; failed != (server == first.ID) {
			t.Errorf("%s: %.1f failures; %s failed and %s responded", server, row.Failed, first.ID, second.ID)
		}
	}
}

// TestRequestThatBreaksAllBlamesNone guards against sound servers that are ejected for a kind of request that fails at
// each of them, and against such attempts that count as responses.
func TestRequestThatBreaksAllBlamesNone(t *testing.T) {
	h, route := newOutlierHarness(t, true)
	id := h.arrive(route, nil)
	for range route.MaxAttempts {
		h.requireDispatch(id)
		h.tick(AttemptEnded{Request: id, Result: Broken, ConnectionLost: true})
	}
	for _, row := range h.world.OwnOutliers() {
		if row.Failed > 0 || row.Total > 0 {
			t.Errorf("%d: %.1f failures and %.1f attempts", row.Server, row.Failed, row.Total)
		}
	}
}

// TestEjectedServerGetsNothing guards against a server that all instances have ejected and that is chosen as the others
// are full.
func TestEjectedServerGetsNothing(t *testing.T) {
	h, route := newOutlierHarness(t, true)
	bad := h.world.servers["llm-3"]
	rows := []outlier.Row{{Server: bad.outlierKey(), Failed: 8, Total: 8, Instances: 8}}
	for _, s := range h.world.services["llm"].servers {
		if s != bad {
			rows = append(rows, outlier.Row{Server: s.outlierKey(), Total: 8})
		}
	}
	h.tick(PeerOutliers{Rows: rows})
	ejected := false
	for _, c := range h.allCommands {
		if c, ok := c.(ServerEjected); ok && c.Server == bad.ID && c.Ejected {
			ejected = true
		}
	}
	if !ejected || h.world.EjectedServers() != 1 {
		t.Fatalf("ejected %v, %d servers", ejected, h.world.EjectedServers())
	}
	for range 200 {
		id := h.arrive(route, nil)
		if d, ok := h.last(id).(Dispatch); ok && d.Server.ID == bad.ID {
			t.Fatal("the ejected server gets a request")
		}
	}
}

// TestRolloutJudgesItsOwnVersion guards against a new version whose servers are ejected one by one, so that nobody learns
// whether it is bad.
func TestRolloutJudgesItsOwnVersion(t *testing.T) {
	h, _ := newOutlierHarness(t, true)
	list := servers("llm", 10, 8)
	list[3].Version = "v2"
	h.tick(ServersListed{list}, RolloutUpdated{Rollout{Order: Order{Service: "llm", Target: "v2"}, Phase: PhaseCanary, Share: 0.1}})
	bad := h.world.servers["llm-3"]
	h.tick(PeerOutliers{Rows: []outlier.Row{{Server: bad.outlierKey(), Failed: 8, Total: 8, Instances: 8}}})
	if bad.leftOut || h.world.EjectedServers() != 0 {
		t.Error("a server of the new version is ejected")
	}
}

// TestEjectedServerIsNoRoom guards against a plain service that admits for the slots of a server that gets nothing, so that
// what is admitted waits or is rejected.
func TestEjectedServerIsNoRoom(t *testing.T) {
	h, _ := newOutlierHarness(t, true)
	list := servers("shop", 10, 8)
	h.tick(ServersListed{list})
	s := h.world.services["shop"]
	l := h.world.levelFor(s)
	l.workTime.add(0) // a second
	if got := h.world.nominalRoom(s, l); math.Abs(got-80) > 0.01 {
		t.Fatalf("room for %.1f requests a second, want 80", got)
	}
	var rows []outlier.Row
	for _, srv := range s.servers {
		rows = append(rows, outlier.Row{Server: srv.outlierKey(), Total: 8})
	}
	rows[3].Failed, rows[3].Instances = 8, 8
	h.tick(PeerOutliers{Rows: rows})
	if got := h.world.nominalRoom(s, l); h.world.EjectedServers() != 1 || math.Abs(got-72) > 0.01 {
		t.Errorf("%d servers ejected, room for %.1f requests a second, want 1 and 72", h.world.EjectedServers(), got)
	}
}
