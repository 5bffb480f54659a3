package decision

import (
	"testing"
	"time"
)

// When every attempt fails, retries must stay within the budget, or they sustain an
// overload. Retries by callers are charged to the same budget.
func TestRetryBudget(t *testing.T) {
	for _, result := range []AttemptResult{AttemptNotRun, AttemptFailed, AttemptUnknown} {
		h := smallHarness(t)
		h.result = always(result)
		dispatched := 0
		h.onCommand = func(c Command) {
			if _, ok := c.(Dispatch); ok {
				dispatched++
			}
		}
		const requests, ticksPerRequest = 100, 10
		for range requests {
			h.arrive(Request{Team: "weavers", Model: "weave", Idempotent: true})
			h.run(ticksPerRequest * step)
		}
		h.run(30 * time.Second)
		h.requireAllEnded()
		// One attempt per request, the floor of 3 retries, and one retry per second
		// for 40 seconds.
		if limit := requests + 3 + 40; dispatched > limit {
			t.Errorf("result %d: %d attempts of %d requests, want at most %d", result, dispatched, requests, limit)
		}
	}
	h := smallHarness(t)
	for range 20 {
		h.arrive(Request{Team: "weavers", Model: "weave", Resend: true, Idempotent: true})
	}
	h.run(time.Second)
	refused := 0
	for _, o := range h.outcomes {
		if r, ok := o.command.(Refuse); ok && r.Reason == ReasonRetryBudget {
			refused++
		}
	}
	if refused != 17 {
		t.Errorf("%d of 20 resends refused, want all but the floor of 3", refused)
	}
}
