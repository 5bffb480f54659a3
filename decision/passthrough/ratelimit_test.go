package passthrough

import (
	"testing"
	"time"
)

// limitChanges lists what the world told of rate limits.
func limitChanges(b *harness) []RateLimitChanged {
	var out []RateLimitChanged
	for _, c := range b.allCommands {
		if c, ok := c.(RateLimitChanged); ok {
			out = append(out, c)
		}
	}
	return out
}

// TestLimitEndsWithAnAnswerToALaterRequest holds that an answer without a limit, which others with
// one have overtaken, ends nothing.
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
		t.Error("a dispatch does not name the limit")
	}
	b.tick(AttemptEnded{Request: later, Result: Completed, Limit: &RateLimit{}})
	if got := limitChanges(b); len(got) != 2 || got[1].Limit.Limited {
		t.Errorf("got %+v", got)
	}
}

// TestStreamStatesTheLimitWithItsHead holds that a limit is known long before the stream ends.
func TestStreamStatesTheLimitWithItsHead(t *testing.T) {
	b := newHarness(t, Settings{})
	b.configure(streamRoute())
	b.tick(ServersListed{servers("llm", 1, 8)})
	b.tick(FirstByte{Request: b.arrive(streamRoute(), nil), Limit: RateLimit{Limited: true, PerSecond: 1.4}})
	if got := limitChanges(b); len(got) != 1 || got[0].Limit.PerSecond != 1.4 {
		t.Errorf("got %+v", got)
	}
}
