package decision

import (
	"testing"
	"time"
)

// What the list and the servers themselves say of leaving: the earliest word
// wins, until the list has dropped the server.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	used := func(h *harness) map[ServerID]int {
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
	list := serversOf(2, 2, weave1, draft1)
	h.send(ServerLeaving{Server: "s0"})
	h.servers(list...) // the list lags
	if n := used(h); n["s0"] > 0 || n["s1"] != 20 {
		t.Errorf("leaving by its own word: %v", n)
	}
	h.servers(list[1:]...)
	h.servers(list...)
	if n := used(h); n["s0"] == 0 {
		t.Errorf("back after the list had dropped it: %v", n)
	}
	list[0].Leaving = true
	h.servers(list...)
	if n := used(h); n["s0"] > 0 {
		t.Errorf("leaving by the list: %v", n)
	}
	h.requireAllAnswered()
}

// A server that drops out of the list and comes back still runs what it ran.
func TestRelistedServerKeepsItsSlots(t *testing.T) {
	h := newHarness(t, DefaultConfig())
	h.manifest(1, []Team{teamOf("weavers", 1)}, smallVersions())
	list := serversOf(2, 2, weave1)
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
	h.run(time.Second) // the harness counts what runs at once
	if h.ran[5] != 0 {
		t.Error("the fifth request was given a slot that was taken")
	}
	h.run(4 * time.Second)
	h.requireAllAnswered()
}

// Others' load counts while a report is young; a first attempt may pass the slots
// by a quarter, and an old report bars nothing.
func TestLoadReports(t *testing.T) {
	tests := []struct {
		name    string
		running int
		age     time.Duration
		want    int
	}{
		{name: "idle", running: 0, want: 8},
		{name: "half full", running: 4, want: 4},
		{name: "full: one may pass", running: 8, want: 1},
		{name: "full and passed", running: 10, want: 0},
		{name: "old report", running: 10, age: 3 * time.Second, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, DefaultConfig())
			h.manifest(1, []Team{teamOf("weavers", 1)}, smallVersions())
			h.servers(serversOf(1, 8, weave1)...)
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
