package passthrough

import "time"

// budgetBuckets is the number of buckets of the budget's window. A bucket leaves the window as a
// whole, so requests and retries count for up to a tenth less than the window; RetryRatio is
// configured with a margin for that.
const budgetBuckets = 10

// RetryBudget bounds the attempts at one service beyond the first of each request.
//
// Load: a service that fails under load, where each failure brings a retry. Harm prevented:
// retries that keep it down. The bound holds over all instances without coordination, since each
// enforces it for its own requests and uses an equal part of the slack.
type RetryBudget struct {
	ratio       float64
	slack       float64
	bucketWidth time.Duration
	// bucket is the number of the current bucket, counted from the Unix epoch.
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// assumedFleetSize is the assumed number of instances that share the slack until they are counted:
// more than in the largest planned deployment, which has 880.
const assumedFleetSize = 1000

// fleetSizeMargin is the fraction by which the fleet may be larger than counted.
const fleetSizeMargin = 0.15

// setFleetSize sets the number of instances, and with it this instance's part of the slack.
func (w *World) setFleetSize(instances int) {
	w.fleetSize = instances
	for _, s := range w.services {
		s.budget.slack = w.retrySlack()
	}
}

// retrySlack is this instance's part of the retry budget's slack.
func (w *World) retrySlack() float64 {
	count := float64(w.fleetSize) * (1 + fleetSizeMargin)
	if w.fleetSize == 0 {
		count = assumedFleetSize
	}
	return w.cfg.RetrySlack / count
}

// NewRetryBudget returns a budget that allows, in each window, ratio times the number of requests
// plus slack retries.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucketWidth: max(window/budgetBuckets, time.Millisecond)}
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance(now time.Time) {
	at := now.UnixNano() / int64(b.bucketWidth)
	elapsed := min(at-b.bucket, budgetBuckets)
	for i := int64(1); i <= elapsed; i++ {
		slot := (b.bucket + i) % budgetBuckets
		if elapsed == budgetBuckets {
			slot = (at + i) % budgetBuckets
		}
		b.requests[slot], b.retries[slot] = 0, 0
	}
	b.bucket = max(b.bucket, at)
}

// RecordRequest counts a request for the service.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%budgetBuckets]++
}

// Remaining is the number of retries that are allowed now.
func (b *RetryBudget) Remaining(now time.Time) float64 {
	retries := 0
	allowed := b.allowed(now)
	for _, n := range b.retries {
		retries += n
	}
	return allowed - float64(retries)
}

// allowed is the number of retries that the window allows.
func (b *RetryBudget) allowed(now time.Time) float64 {
	b.advance(now)
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	return b.ratio*float64(requests) + b.slack
}

const (
	// optionalReserve is what must remain in the budget for an optional retry, as retries of
	// failures come first. If optionalReserveFraction of the retries that the window allows is
	// less, that is the reserve instead, but at least one retry. The smaller reserve keeps optional
	// retries possible for an instance with few requests, each of which adds most of a retry to the
	// budget.
	optionalReserve         = 3.0
	optionalReserveFraction = 0.2
)

// AllowsOptional reports whether an optional retry is allowed: one that replaces a response of low
// confidence, not a failure.
//
// Load: hundreds of instances, each with a request every few seconds. Harm prevented: a fixed
// reserve that none of them would ever have, so that all would keep their weak responses.
func (b *RetryBudget) AllowsOptional(now time.Time) bool {
	need := min(max(optionalReserveFraction*b.allowed(now), 1), optionalReserve)
	return b.Remaining(now) >= need
}

// Spend takes one retry from the budget, and returns false if none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}
