package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryBackoff computes exponential waits between failed calls. Up to half of
// each wait is seeded jitter, so that instances that lost the log together do not
// all return to it at the same moment. Not safe for concurrent use.
type retryBackoff struct {
	exponential *backoff.ExponentialBackOff
	jitter      *rand.Rand
}

// newRetryBackoff returns a backoff whose jitter depends on nothing but seed and
// stream. Each user of a node's seed has a stream of its own.
func newRetryBackoff(seed, stream uint64) *retryBackoff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffInitial
	b.MaxInterval = backoffMax
	b.RandomizationFactor = 0
	b.Reset()
	return &retryBackoff{b, rand.New(rand.NewPCG(seed, stream))}
}

func (r *retryBackoff) next() time.Duration {
	d := r.exponential.NextBackOff()
	return d/2 + time.Duration(r.jitter.Int64N(int64(d/2)))
}

func (r *retryBackoff) reset() { r.exponential.Reset() }

// sleep waits for d or until ctx ends.
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
