package passthrough

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestInstancesThatGetLittleReplaceWeakAnswers plays instances with 3 to 24 requests in the
// budget's window, 44 in 100 of them answered weakly by the smallest model: one weak answer in
// fifty may be kept for want of a repeat, and the bound on repeats holds in every window.
func TestInstancesThatGetLittleReplaceWeakAnswers(t *testing.T) {
	const (
		window, instances = 10 * time.Second, 400
		ratio, slack      = 0.9, 0.45
		weak              = 0.44
		mostKept          = 0.02
	)
	for _, count := range []int{3, 6, 12, 24} {
		asked, kept := 0, 0
		for seed := range uint64(instances) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b, now := NewRetryBudget(ratio, slack, window), testStart
			for range count {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(window) / float64(count)))
				b.RecordRequest(now)
				if rng.Float64() >= weak {
					continue
				}
				asked++
				if !b.AllowsOptional(now) || !b.Spend(now) {
					kept++
				}
				if left := b.Remaining(now); left < 0 {
					t.Errorf("%d requests: %v repeats left", count, left)
				}
			}
		}
		if part := float64(kept) / float64(asked); part > mostKept {
			t.Errorf("%d requests in the window: %d of %d weak answers kept", count, kept, asked)
		}
	}
}
