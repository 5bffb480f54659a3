package passthrough

import (
	"testing"
	"time"
)

// limitChanges lists the reported changes of rate limits.
func limitChanges(h *harness) []RateLimitChanged {
	var out []RateLimitChanged
	for _, c := range h.allCommands {
		if c, ok := c.(RateLimitChanged); ok {
			out = append(out, c)
		}
	}
	return out
}

// TestOvertakenResponseDoesNotEndALimit guards against ending a limit by a response without one
// that was overtaken by a response that states it.
func TestOvertakenResponseDoesNotEndALimit(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(plainRoute())
	h.tick(ServersListed{servers("shop", 1, 8)}, Neighbours{Self: "i0", Names: []string{"i0"}})
	early, limited := h.arrive(plainRoute(), nil), h.arrive(plainRoute(), nil)
	h.advance(10 * time.Millisecond)
	h.tick(AttemptEnded{Request: limited, Result: Completed, Limit: &RateLimit{Limited: true, PerSecond: 100}})
	h.tick(AttemptEnded{Request: early, Result: Completed, Limit: &RateLimit{}})
	if got := limitChanges(h); len(got) != 1 || got[0].Limit.PerSecond != 100 {
		t.Fatalf("limit changes: got %+v, want one with 100 per second", got)
	}
	h.advance(50 * time.Millisecond)
	later := h.arrive(plainRoute(), nil)
	if !h.requireDispatch(later).Limit.Limited {
		t.Error("the dispatch does not state the limit, want the limit of 100 per second")
	}
	h.tick(AttemptEnded{Request: later, Result: Completed, Limit: &RateLimit{}})
	if got := limitChanges(h); len(got) != 2 || got[1].Limit.Limited {
		t.Errorf("limit changes: got %+v, want a second one that ends the limit", got)
	}
}

// TestLimitIsLearnedFromStreamHeaders guards against learning of a limit only when a stream ends.
func TestLimitIsLearnedFromStreamHeaders(t *testing.T) {
	h := newHarness(t, Settings{})
	h.configure(streamRoute())
	h.tick(ServersListed{servers("llm", 1, 8)})
	h.tick(FirstByte{Request: h.arrive(streamRoute(), nil), Limit: RateLimit{Limited: true, PerSecond: 1.4}})
	if got := limitChanges(h); len(got) != 1 || got[0].Limit.PerSecond != 1.4 {
		t.Errorf("limit changes: got %+v, want one with 1.4 per second", got)
	}
}
