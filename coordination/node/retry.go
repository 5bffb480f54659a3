package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryWait gives growing waits between failed calls, with seeded jitter of
// half of each, so that instances that lost the log together do not all come
// back to it in one moment. For one goroutine.
type retryBackoff struct {
	exponential *backoff.ExponentialBackOff
	jitter      *rand.Rand
}

func newRetryBackoff(seed, stream uint64) *retryBackoff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffInitial
	b.MaxInterval = backoffMax
	b.RandomizationFactor = 0
	b.Reset()
	return &retryBackoff{b, rand.New(rand.NewPCG(seed, stream))}
}

func (w *retryBackoff) next() time.Duration {
	d := w.exponential.NextBackOff()
	return d/2 + time.Duration(w.jitter.Int64N(int64(d/2)))
}

func (w *retryBackoff) reset() { w.exponential.Reset() }

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
