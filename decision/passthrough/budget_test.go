package passthrough

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestInstancesWithFewRequestsRetryWeakResponses guards against a reserve that instances with
// few requests never have: they would keep all weak responses. It simulates instances with 3
// to 24 requests per window, 44 in 100 of them with a weak response of the smallest model. One weak
// response in fifty may be kept for lack of budget, and the bound on retries holds in every
// window.
func TestInstancesWithFewRequestsRetryWeakResponses(t *testing.T) {
	const (
		window, instances = 10 * time.Second, 400
		ratio, slack      = 0.9, 0.45
		weak              = 0.44
		maxKept           = 0.02
	)
	for _, count := range []int{3, 6, 12, 24} {
		weakCount, kept := 0, 0
		for seed := range uint64(instances) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b, now := NewRetryBudget(ratio, slack, window), testStart
			for range count {
				now = now.Add(time.Duration(rng.ExpFloat64() * float64(window) / float64(count)))
				b.RecordRequest(now)
				if rng.Float64() >= weak {
					continue
				}
				weakCount++
				if !b.AllowsOptional(now) || !b.Spend(now) {
					kept++
				}
				if left := b.Remaining(now); left < 0 {
					t.Errorf("%d requests: %v retries left, want at least 0", count, left)
				}
			}
		}
		if part := float64(kept) / float64(weakCount); part > maxKept {
			t.Errorf("%d requests per window: %d of %d weak responses were kept for lack of budget, want at most one in 50", count, kept, weakCount)
		}
	}
}
