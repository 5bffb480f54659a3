package decision

import (
	"testing"
	"time"
)

// A server that is leaving, by its own report or by the list, must get no new
// requests. Its own report counts against a lagging list until the list has dropped
// the server.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	requestsPerServer := func(h *harness) map[ServerID]int {
		n := map[ServerID]int{}
		h.onCommand = func(c Command) {
			if d, ok := c.(Dispatch); ok {
				n[d.Server]++
			}
		}
		for range 20 {
			h.arrive(Request{Team: "weavers", Model: "weave"})
			h.run(6 * step)
		}
		h.run(time.Second)
		h.onCommand = nil
		return n
	}
	h := smallHarness(t)
	list := testServers(2, 2, weave1, draft1)
	h.send(ServerLeaving{Server: "s0"})
	h.servers(list...) // the list lags
	if n := requestsPerServer(h); n["s0"] > 0 || n["s1"] != 20 {
		t.Errorf("leaving by its own report: requests per server %v, want none on s0 and 20 on s1", n)
	}
	h.servers(list[1:]...)
	h.servers(list...)
	if n := requestsPerServer(h); n["s0"] == 0 {
		t.Errorf("listed again after the list had dropped it: requests per server %v, want some on s0", n)
	}
	list[0].Leaving = true
	h.servers(list...)
	if n := requestsPerServer(h); n["s0"] > 0 {
		t.Errorf("leaving by the list: requests per server %v, want none on s0", n)
	}
	h.requireAllEnded()
}

// A server that disappears from the list and returns still runs its attempts. If
// they were forgotten, its slots would be filled twice.
func TestRelistedServerKeepsItsSlots(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
	list := testServers(2, 2, weave1)
	h.servers(list...)
	h.duration = func(Dispatch, Request) time.Duration { return 2 * time.Second }
	h.tick()
	for range 4 {
		h.arrive(Request{Team: "weavers", Model: "weave"})
	}
	h.tick()
	h.servers(list[1:]...)
	h.tick()
	h.servers(list...)
	h.arrive(Request{Team: "weavers", Model: "weave"})
	h.run(time.Second) // the harness checks the attempts in flight against the slots
	if h.possibleRuns[5] != 0 {
		t.Error("the fifth request was dispatched to an occupied slot")
	}
	h.run(4 * time.Second)
	h.requireAllEnded()
}

// The load of other instances must count while the report is recent. A first
// attempt may exceed the slots by a quarter, and an old report must exclude
// nothing.
func TestLoadReports(t *testing.T) {
	tests := []struct {
		name    string
		running int
		age     time.Duration
		want    int
	}{
		{name: "idle", running: 0, want: 8},
		{name: "half full", running: 4, want: 4},
		{name: "full: one may exceed", running: 8, want: 1},
		{name: "full and exceeded", running: 10, want: 0},
		{name: "old report", running: 10, age: 3 * time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, DefaultConfig())
			h.manifest(1, []Team{testTeam("weavers", 1)}, testVersions())
			h.servers(testServers(1, 8, weave1)...)
			h.duration = func(Dispatch, Request) time.Duration { return time.Minute }
			h.tick()
			h.send(LoadReported{Server: "s0", Running: tt.running, At: h.now.Add(-tt.age)})
			for range 12 {
				h.arrive(Request{Team: "weavers", Model: "weave"})
			}
			h.tick()
			if got := h.inFlight["s0"]; got != tt.want {
				t.Errorf("%d dispatched, want %d", got, tt.want)
			}
		})
	}
}
