package passthrough

import (
	"testing"
	"time"
)

// TestRefusalAfterTheDeadlineStatesWhenToRetry guards against a refusal without a retry-after time, as the instance stood still
// until after the deadline.
func TestRefusalAfterTheDeadlineStatesWhenToRetry(t *testing.T) {
	for _, shared := range []bool{false, true} {
		h := newHarness(t, Settings{Seed: 1, RetryRatio: 0.9, RetrySlack: 5, RetryWindow: 10 * time.Second, SessionTTL: time.Second, SharedAdmission: shared})
		h.configure(plainRoute())
		h.tick(ServersListed{servers("shop", 1, 1)})
		late, waits := h.arrive(plainRoute(), func(r *Request) { r.Deadline = h.now.Add(-time.Second) }), h.arrive(plainRoute(), nil)
		for len(h.commands[waits]) > 0 { // the server has room for it
			waits = h.arrive(plainRoute(), nil)
		}
		h.advance(2 * time.Second)
		h.tick(QueueWaitExpired{Request: waits})
		for _, id := range []RequestID{late, waits} {
			if c, ok := h.last(id).(Refuse); !ok || c.RetryAfter <= 0 {
				t.Errorf("shared admission %t: %+v, want a refusal with a time", shared, h.last(id))
			}
		}
	}
}
