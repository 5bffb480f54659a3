package passthrough

import (
	"testing"
	"time"
)

// limitChanges lists the reported changes of rate limits.
func limitChanges(b *harness) []RateLimitChanged {
	var out []RateLimitChanged
	for _, c := range b.allCommands {
		if c, ok := c.(RateLimitChanged); ok {
			out = append(out, c)
		}
	}
	return out
}

// TestLimitEndsWithAnAnswerToALaterRequest guards against ending a limit by a response without one
// that was overtaken by a response that states it.
func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(plainRoute())
	b.tick(ServersListed{servers("shop", 1, 8)})
	early, limited := b.arrive(plainRoute(), nil), b.arrive(plainRoute(), nil)
	b.advance(10 * time.Millisecond)
	b.tick(AttemptEnded{Request: limited, Result: Completed, Limit: &RateLimit{Limited: true, PerSecond: 100}})
	b.tick(AttemptEnded{Request: early, Result: Completed, Limit: &RateLimit{}})
	if got := limitChanges(b); len(got) != 1 || got[0].Limit.PerSecond != 100 {
		t.Fatalf("got %+v", got)
	}
	b.advance(50 * time.Millisecond)
	later := b.arrive(plainRoute(), nil)
	if !b.dispatched(later).Limit.Limited {
		t.Error("the dispatch does not state the limit")
	}
	b.tick(AttemptEnded{Request: later, Result: Completed, Limit: &RateLimit{}})
	if got := limitChanges(b); len(got) != 2 || got[1].Limit.Limited {
		t.Errorf("got %+v", got)
	}
}

// TestStreamStatesTheLimitWithItsHead guards against learning of a limit only when a stream ends.
func TestStreamStatesTheLimitWithItsHead(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 1, 8)})
	b.tick(FirstByte{Request: b.arrive(streamRoute(), nil), Limit: RateLimit{Limited: true, PerSecond: 1.4}})
	if got := limitChanges(b); len(got) != 1 || got[0].Limit.PerSecond != 1.4 {
		t.Errorf("got %+v", got)
	}
}
