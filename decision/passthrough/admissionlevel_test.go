package passthrough

import (
	"testing"
	"time"
)

// TestRejectionsLeaveTheRoomOfFreeSlots guards against a plain service's limit that falls without bound while its servers
// reject a part of the requests, though nearly all of their slots are free.
func TestRejectionsLeaveTheRoomOfFreeSlots(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 3, 8)})
	const interval, took = 40 * time.Millisecond, 20 * time.Millisecond
	refused := 0
	for n := range 400 {
		id := h.arrive(plainRoute(), nil)
		h.advance(took)
		switch c := h.last(id).(type) {
		case Dispatch:
			result := Completed
			if n > 50 && n%3 == 0 {
				result = Rejected
			}
			h.tick(LoadReported{Server: c.Server.ID, Load: Load{Running: 1, Slots: 8}})
			h.tick(AttemptEnded{Request: id, Result: result, EventInterval: took})
		case Refuse:
			if c.Reason == ReasonNoRoom {
				refused++
			}
		}
		h.advance(interval - took)
	}
	if refused > 0 {
		t.Errorf("%d of 400 requests were refused for lack of room, want none", refused)
	}
}

// TestServersWithFewerSlotsThanTheyStateServeUrgentRequestsFirst guards against requests that are served in any order, as
// there is room by the stated slots while the servers reject most requests.
func TestServersWithFewerSlotsThanTheyStateServeUrgentRequestsFirst(t *testing.T) {
	h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: true})
	urgent, later := plainRoute(), plainRoute()
	later.Name, later.Priority = "later", 6
	h.configure(urgent, later)
	h.tick(ServersListed{servers("shop", 3, 8)})
	busyUntil := map[string]time.Time{}
	offered, served := map[string]int{}, map[string]int{}
	running := map[RequestID]Dispatch{}
	step := func() {
		for id, c := range running {
			if !busyUntil[c.Server.ID].After(h.now) {
				delete(running, id)
				h.tick(LoadReported{Server: c.Server.ID, Load: Load{Running: 1, Slots: 8}})
				h.tick(AttemptEnded{Request: id, Result: Completed, EventInterval: 125 * time.Millisecond})
			}
		}
		for id, list := range h.commands {
			c, ok := list[len(list)-1].(Dispatch)
			if _, isRunning := running[id]; !ok || isRunning || h.world.requests[id] == nil {
				continue
			}
			if busyUntil[c.Server.ID].After(h.now) {
				h.tick(AttemptEnded{Request: id, Result: Rejected})
				continue
			}
			busyUntil[c.Server.ID] = h.now.Add(125 * time.Millisecond)
			running[id] = c
			served[h.world.requests[id].Route.Name]++
		}
	}
	for n := range 1000 {
		route := urgent
		if n%2 == 1 {
			route = later
		}
		offered[route.Name]++
		h.arrive(route, nil)
		h.advance(10 * time.Millisecond)
		step()
	}
	share := func(name string) float64 { return float64(served[name]) / float64(offered[name]) }
	t.Logf("%.2f of the urgent requests and %.2f of the others served", share("plain"), share("later"))
	if share("plain") < 1.5*share("later") {
		t.Errorf("%.2f of the less urgent requests were served, and %.2f of the urgent ones; want these half as often again", share("later"), share("plain"))
	}
}
