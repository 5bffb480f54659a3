package passthrough

import (
	"testing"
	"time"
)

// endsOfFirstAttempts are ends of a request's first attempt by what follows: all ways to a dispatch.
var endsOfFirstAttempts = map[string]AttemptEnded{
	"first attempt":  {Result: Completed},
	"retry":          {Result: Failed},
	"second model":   {Result: Dropped, Confidence: 0.1},
	"resumed stream": {Result: Broken, Begun: true},
	"refused":        {Result: Rejected},
	"not sent":       {Result: NotSent},
}

// leavingReports counts the reports of servers that state that they are leaving.
func leavingReports(h *harness) int {
	n := 0
	for _, c := range h.allCommands {
		if _, ok := c.(ServerLeaving); ok {
			n++
		}
	}
	return n
}

// TestServerThatStatedItsLeavingGetsNothing guards against requests to a server that has stated that it
// is leaving while its entry is ready: first attempts, retries, second models and resumed streams.
func TestServerThatStatedItsLeavingGetsNothing(t *testing.T) {
	list := servers("llm", 2, 8)
	h := newListedHarness(t, streamRoute(), list)
	leaving := list[0]
	h.tick(ServerStated{Server: leaving, Leaving: true}, ServerStated{Server: leaving, Leaving: true})
	if n := leavingReports(h); n != 1 {
		t.Errorf("reported %d times that the server is leaving, want once", n)
	}
	h.tick(ServersListed{list}) // the list has not changed
	for name, end := range endsOfFirstAttempts {
		for range 5 {
			h.advance(time.Second)
			end.Request = h.arrive(streamRoute(), nil)
			h.tick(end)
			h.tick(AttemptEnded{Request: end.Request, Result: Completed})
			for _, c := range h.commands[end.Request] {
				if d, ok := c.(Dispatch); ok && d.Server.ID == leaving.ID {
					t.Fatalf("%s: attempt %d went to the server that is leaving", name, d.Attempt)
				}
			}
		}
	}
}

// TestStatementOfAnEarlierProcessIsIgnored guards against a late response of a server's former process
// that keeps requests from the process that has restarted under its id.
func TestStatementOfAnEarlierProcessIsIgnored(t *testing.T) {
	list := servers("shop", 1, 8)
	h := newListedHarness(t, plainRoute(), list)
	former := h.requireDispatch(h.arrive(plainRoute(), nil)).Server
	list[0].StartTime++
	h.tick(ServersListed{list})
	h.tick(ServerStated{Server: former, Leaving: true})
	h.requireDispatch(h.arrive(plainRoute(), nil))
}

// TestQueuedRequestsAreRefusedWhenTheLastServerLeaves guards against requests that wait in the queue for a
// server which has stated that it is leaving, and against one that is dispatched to it from the queue.
func TestQueuedRequestsAreRefusedWhenTheLastServerLeaves(t *testing.T) {
	list := servers("llm", 1, 8)
	h := newListedHarness(t, streamRoute(), list)
	var running, queued []RequestID
	for range 8 {
		running = append(running, h.arrive(streamRoute(), nil))
	}
	for range 3 {
		queued = append(queued, h.arrive(streamRoute(), nil))
		if c := h.last(queued[len(queued)-1]); c != nil {
			t.Fatalf("a request beyond the slots got %#v, want it to wait", c)
		}
	}
	h.tick(ServerStated{Server: list[0], Leaving: true})
	for _, id := range queued {
		h.requireRefusal(id, ReasonNoServer)
	}
	h.tick(AttemptEnded{Request: running[0], Result: Completed})
	h.requireRefusal(h.arrive(streamRoute(), nil), ReasonNoServer)
}

// TestRelistedServerKeepsWhatItStated guards against forgetting what a process has stated or shown when its
// entry goes and comes back, by itself or beside a restart under its id, and against applying it to the
// restarted process.
func TestRelistedServerKeepsWhatItStated(t *testing.T) {
	newPair := func() (*harness, []Server) {
		list := servers("shop", 2, 8)
		h := newListedHarness(t, plainRoute(), list)
		return h, list
	}
	sent := func(h *harness, to string) int {
		n := 0
		for range 20 {
			h.advance(time.Second)
			id := h.arrive(plainRoute(), nil)
			if h.requireDispatch(id).Server.ID == to {
				n++
			}
			h.tick(AttemptEnded{Request: id, Result: Completed})
		}
		return n
	}
	restarted := func(s Server) Server { s.StartTime++; return s }
	for name, lists := range map[string][][]int{"its entry expires": {{1}, {0, 1}}, "all entries expire": {{}, {0, 1}}, "twice": {{1}, {0, 1}, {1}, {0, 1}}} {
		h, list := newPair()
		h.tick(ServerStated{Server: list[0], Leaving: true})
		for _, at := range lists {
			var now []Server
			for _, i := range at {
				now = append(now, list[i])
			}
			h.tick(ServersListed{now})
		}
		if n := sent(h, list[0].ID); n != 0 {
			t.Errorf("%s: %d requests to a server that had stated that it is leaving, want 0", name, n)
		}
		h.tick(ServersListed{[]Server{restarted(list[0]), list[1]}})
		if n := sent(h, list[0].ID); n == 0 {
			t.Errorf("%s: the restarted server gets nothing", name)
		}
		h.tick(ServersListed{list}) // a restored store lists the former process
		if n := sent(h, list[0].ID); n != 0 {
			t.Errorf("%s: %d requests to the former process in a restored list, want 0", name, n)
		}
	}

	h, list := newPair()
	h.tick(ServersListed{list[1:]})
	h.tick(ServerStated{Server: list[0], Leaving: true}) // the answer arrives while the server is not listed
	h.tick(ServersListed{list})
	if n := sent(h, list[0].ID); n != 0 {
		t.Errorf("stated while not listed: %d requests, want 0", n)
	}

	h, list = newPair()
	var id RequestID
	for id = h.arrive(plainRoute(), nil); h.requireDispatch(id).Server.ID != list[0].ID; id = h.arrive(plainRoute(), nil) {
	}
	h.tick(AttemptEnded{Request: id, Result: Completed, Limit: &RateLimit{Limited: true, PerSecond: 0.1}})
	h.tick(ServersListed{list[1:]})
	h.tick(ServersListed{list})
	if n := sent(h, list[0].ID); n > 3 {
		t.Errorf("%d requests in 20 s to a server that had stated a limit of 0.1 per second, want at most 3", n)
	}
}

// TestPeersLearnThatAServerIsLeaving guards against an instance that sends a server a request to learn what
// the server has stated to another one, against reports that outlast their use, and against a report of a
// former process that keeps requests from the restarted one.
func TestPeersLearnThatAServerIsLeaving(t *testing.T) {
	newInstance := func(list []Server) *harness {
		return newListedHarness(t, plainRoute(), list)
	}
	list := servers("shop", 1, 8)
	told, peer := newInstance(list), newInstance(list)
	told.tick(ServerStated{Server: list[0], Leaving: true})
	reported := told.world.OwnLeaving()
	if len(reported) != 1 {
		t.Fatalf("%d processes reported, want the one that is leaving", len(reported))
	}
	peer.tick(PeerLeaving{Processes: append([]uint64{1, 2}, reported...)})
	peer.requireRefusal(peer.arrive(plainRoute(), nil), ReasonNoServer)
	if n := len(peer.world.OwnLeaving()); n != 0 {
		t.Errorf("the peer reports %d processes that stated nothing to it, want 0", n)
	}
	peer.tick(ServersListed{})
	peer.tick(ServersListed{list})
	peer.requireRefusal(peer.arrive(plainRoute(), nil), ReasonNoServer)

	restarted := []Server{list[0]}
	restarted[0].StartTime++
	peer.tick(ServersListed{restarted})
	peer.tick(PeerLeaving{Processes: reported})
	peer.requireDispatch(peer.arrive(plainRoute(), nil))

	told.tick(ServersListed{})
	if n := len(told.world.OwnLeaving()); n != 1 {
		t.Errorf("%d processes reported after the entry has gone, want 1, as it may come back", n)
	}
	told.tick(ServersListed{list})
	draining := []Server{list[0]}
	draining[0].Leaving = true
	told.tick(ServersListed{draining})
	if n := len(told.world.OwnLeaving()); n != 0 {
		t.Errorf("%d processes reported although their entries say so, want 0", n)
	}

	told = newInstance(list)
	told.tick(ServerStated{Server: list[0], Leaving: true})
	told.tick(ServersListed{})
	told.advance(leavingReportPeriod + time.Second)
	told.tick()
	if n := len(told.world.OwnLeaving()); n != 0 {
		t.Errorf("%d processes reported that have gone %v ago, want 0", n, leavingReportPeriod)
	}
}

// TestRefusalOfALeavingServerIsReportedToPeers guards against a statement that is not reported because the
// same answer is a refusal that closes the connection.
func TestRefusalOfALeavingServerIsReportedToPeers(t *testing.T) {
	list := servers("shop", 2, 8)
	h := newListedHarness(t, plainRoute(), list)
	id := h.arrive(plainRoute(), nil)
	h.tick(ServerStated{Server: h.requireDispatch(id).Server, Leaving: true})
	h.tick(AttemptEnded{Request: id, Result: Rejected, Leaving: true})
	if n := len(h.world.OwnLeaving()); n != 1 {
		t.Errorf("%d processes reported, want 1", n)
	}
}

// TestMisdirectedServerGetsNothingUntilItsEntryIsNew guards against requests to an address that another
// server has by now, and against a server that gets nothing once its entry is new.
func TestMisdirectedServerGetsNothingUntilItsEntryIsNew(t *testing.T) {
	list := servers("shop", 1, 8)
	moved := []Server{list[0]}
	moved[0].Address = "127.0.0.1:2"
	for name, lists := range map[string][][]Server{"its entry comes back": {{}, list}, "it has another address": {moved}} {
		h := newListedHarness(t, plainRoute(), list)
		h.tick(AttemptEnded{Request: h.arrive(plainRoute(), nil), Result: Rejected, Misdirected: true})
		h.advance(time.Minute)
		h.tick(ServersListed{list}) // the list has not changed
		h.requireRefusal(h.arrive(plainRoute(), nil), ReasonNoServer)
		if n := len(h.world.OwnLeaving()); n != 0 {
			t.Errorf("%s: %d processes reported as leaving, want 0: the server has stated nothing", name, n)
		}
		for _, l := range lists {
			h.tick(ServersListed{l})
		}
		h.requireDispatch(h.arrive(plainRoute(), nil))
	}
}

// TestServerAtAReusedAddressGetsRequests guards against a server that gets nothing because the one that had
// its address before was leaving or wanted no requests.
func TestServerAtAReusedAddressGetsRequests(t *testing.T) {
	list := servers("shop", 1, 8)
	h := newListedHarness(t, plainRoute(), list)
	h.tick(ServerStated{Server: list[0], Leaving: true, RetryAfter: time.Minute})
	reused := []Server{list[0]}
	reused[0].ID = "shop-later"
	h.tick(ServersListed{reused})
	h.tick(ServerStated{Server: list[0], Leaving: true}, PeerLeaving{Processes: []uint64{list[0].process().hash()}})
	if got := h.requireDispatch(h.arrive(plainRoute(), nil)).Server.ID; got != "shop-later" {
		t.Errorf("dispatched to %s, want the server that has the address now", got)
	}
}
