package passthrough

import (
	"testing"
	"time"
)

// TestStatedBackoffHoldsForAllDispatches guards against requests to a server within the time for which it
// wants none: first attempts, retries, second models and resumed streams; and against a server that gets
// nothing once that time is over.
func TestStatedBackoffHoldsForAllDispatches(t *testing.T) {
	for name, end := range endsOfFirstAttempts {
		list := servers("llm", 2, 8)
		h := newListedHarness(t, streamRoute(), list)
		h.tick(ServerStated{Server: list[0], RetryAfter: 3 * time.Second})
		stated := h.now
		early, late := 0, 0
		for h.now.Sub(stated) < 6*time.Second {
			end.Request = h.arrive(streamRoute(), nil)
			h.tick(end)
			h.tick(AttemptEnded{Request: end.Request, Result: Completed})
			for _, c := range h.commands[end.Request] {
				if d, ok := c.(Dispatch); ok && d.Server.ID == list[0].ID {
					if h.now.Sub(stated) < 3*time.Second {
						early++
					} else {
						late++
					}
				}
			}
			h.advance(50 * time.Millisecond)
		}
		if early > 0 || late == 0 {
			t.Errorf("%s: %d requests within the stated time, %d after it, want 0 and some", name, early, late)
		}
	}
}

// TestStatedBackoffIsNotShortened guards against a later statement of a shorter time, or the end of an
// earlier request, that ends a backoff before its time.
func TestStatedBackoffIsNotShortened(t *testing.T) {
	later := map[string]func(h *harness, s Server, running RequestID){
		"a shorter statement": func(h *harness, s Server, _ RequestID) {
			h.tick(ServerStated{Server: s, RetryAfter: 100 * time.Millisecond})
		},
		"a success": func(h *harness, _ Server, running RequestID) {
			h.tick(AttemptEnded{Request: running, Result: Completed})
		},
		"a refusal without a time": func(h *harness, _ Server, running RequestID) {
			h.tick(AttemptEnded{Request: running, Result: Rejected})
		},
		"a failed connection": func(h *harness, _ Server, running RequestID) {
			h.tick(AttemptEnded{Request: running, Result: NotSent})
		},
		"an entry that expires and is back": func(h *harness, s Server, _ RequestID) {
			h.tick(ServersListed{})
			h.tick(ServersListed{[]Server{s}})
		},
	}
	for name, do := range later {
		list := servers("shop", 1, 8)
		h := newListedHarness(t, onceRoute(), list)
		running := h.arrive(onceRoute(), nil)
		h.tick(ServerStated{Server: list[0], RetryAfter: 2 * time.Second})
		h.advance(10 * time.Millisecond)
		do(h, list[0], running)
		h.advance(1980 * time.Millisecond)
		if _, refused := h.last(h.arrive(onceRoute(), nil)).(Refuse); !refused {
			t.Errorf("%s: a request was sent 10 ms before the stated time was over", name)
		}
		h.advance(10 * time.Millisecond)
		h.requireDispatch(h.arrive(onceRoute(), nil))
	}
}

// TestRestartedServerDoesNotBackOff guards against a server that gets nothing because its former process
// wanted no requests.
func TestRestartedServerDoesNotBackOff(t *testing.T) {
	list := servers("shop", 1, 8)
	h := newListedHarness(t, plainRoute(), list)
	h.tick(ServerStated{Server: list[0], RetryAfter: time.Minute})
	list[0].StartTime++
	h.tick(ServersListed{list})
	h.requireDispatch(h.arrive(plainRoute(), nil))
}

// TestRequestsAreRefusedWhileAllServersBackOff guards against callers that wait for servers which want no
// requests, and against a retry-after time before the first of them does again.
func TestRequestsAreRefusedWhileAllServersBackOff(t *testing.T) {
	list := servers("llm", 2, 8)
	h := newListedHarness(t, streamRoute(), list)
	h.tick(ServerStated{Server: list[0], RetryAfter: 4 * time.Second}, ServerStated{Server: list[1], RetryAfter: 3 * time.Second})
	got := h.requireRefusal(h.arrive(streamRoute(), nil), ReasonBackoff)
	if got.RetryAfter < 3*time.Second {
		t.Errorf("retry after %v, want at least the 3 s of the first server that takes requests again", got.RetryAfter)
	}
}

// TestQueuedRequestsAreRefusedWhenAllServersBackOff guards against requests that wait in the queue although
// no server takes any before their wait is over, and against refusing those that one can take in time.
func TestQueuedRequestsAreRefusedWhenAllServersBackOff(t *testing.T) {
	route := streamRoute()
	newQueue := func() (h *harness, list []Server, running, queued RequestID) {
		h = newHarness(t, Settings{})
		h.configure(route)
		list = servers("llm", 1, 1)
		h.tick(Configured{NewIndex(Config{Version: 2, Services: []Service{{Name: "llm", Slots: 1}}, Routes: []Route{*route}})})
		h.tick(ServersListed{list})
		running, queued = h.arrive(route, nil), h.arrive(route, nil)
		if c := h.last(queued); c != nil {
			t.Fatalf("a request beyond the slots got %#v, want it to wait", c)
		}
		return h, list, running, queued
	}

	h, list, _, queued := newQueue()
	h.tick(ServerStated{Server: list[0], RetryAfter: 5 * time.Second})
	h.requireRefusal(queued, ReasonBackoff)

	h, list, running, queued := newQueue()
	wait := MaxQueueWait(&Request{TargetTime: h.now.Add(route.TargetLatency), Deadline: h.now.Add(route.Timeout)}, h.now)
	h.tick(ServerStated{Server: list[0], RetryAfter: wait / 2})
	h.tick(AttemptEnded{Request: running, Result: Completed})
	h.advance(wait/2 - time.Millisecond)
	h.tick()
	if c := h.last(queued); c != nil {
		t.Fatalf("a queued request got %#v within the stated time, want it to wait", c)
	}
	h.advance(time.Millisecond)
	h.tick()
	h.requireDispatch(queued)

	h, list, _, queued = newQueue()
	h.tick(ServerStated{Server: list[0], RetryAfter: wait - time.Millisecond})
	h.advance(wait / 2)
	h.tick(QueueWaitExpired{queued})
	if got := h.requireRefusal(queued, ReasonBackoff); got.RetryAfter < wait/2-time.Millisecond {
		t.Errorf("retry after %v, want at least the %v until the server takes requests again", got.RetryAfter, wait/2-time.Millisecond)
	}
}
