package passthrough

import "time"

// budgetBuckets is into how many parts the budget's window is cut: a tenth is the error
// by which requests count for too long, and the ratio's margin pays for it.
const budgetBuckets = 10

// Budget bounds the arrivals at one service beyond the first of each request.
//
// Load: a service that fails under load, where each failure brings a repeat. Harm
// prevented: repeats that keep it down. The bound holds over all instances without a
// message, since each keeps it over its own requests and takes an equal part of the
// slack.
type RetryBudget struct {
	ratio       float64
	slack       float64
	bucketWidth time.Duration
	bucket      int64
	requests    [budgetBuckets]int
	retries     [budgetBuckets]int
}

// unknownFleet is how many instances are thought to share the slack until they are counted:
// more than the largest deployment is planned to have, 880.
const assumedFleetSize = 1000

// spareInstances is the part by which the fleet may be larger than counted.
const fleetSizeMargin = 0.15

// share takes this instance's part of the slack.
func (w *World) setFleetSize(instances int) {
	w.fleetSize = instances
	for _, s := range w.services {
		s.budget.slack = w.retrySlack()
	}
}

// slack is this instance's part of the retry budget's.
func (w *World) retrySlack() float64 {
	count := float64(w.fleetSize) * (1 + fleetSizeMargin)
	if w.fleetSize == 0 {
		count = assumedFleetSize
	}
	return w.cfg.RetrySlack / count
}

// NewBudget returns a budget: in each window as many repeats as ratio times the
// requests, and slack more.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucketWidth: max(window/budgetBuckets, time.Millisecond)}
}

// advance clears the parts of the window that have passed.
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

// Request counts a request for the service.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%budgetBuckets]++
}

// Left is the number of repeats that may go now.
func (b *RetryBudget) Remaining(now time.Time) float64 {
	repeats := 0
	allowed := b.allowed(now)
	for _, n := range b.retries {
		repeats += n
	}
	return allowed - float64(repeats)
}

// whole is the number of repeats that the window allows.
func (b *RetryBudget) allowed(now time.Time) float64 {
	b.advance(now)
	firsts := 0
	for _, n := range b.requests {
		firsts += n
	}
	return b.ratio*float64(firsts) + b.slack
}

const (
	// spareRepeats is what the budget must hold for a repeat that could be done without: those
	// of failures go first. An instance that gets little keeps spareBudget of what it has, as each
	// of its requests brings most of what its own repeat takes.
	optionalReserve         = 3.0
	optionalReserveFraction = 0.2
)

// Spares says whether a repeat may go that could be done without.
//
// Load: hundreds of instances, each with a request in some seconds. Harm prevented: a reserve that
// none of them ever has, so that all their weak answers are kept.
func (b *RetryBudget) AllowsOptional(now time.Time) bool {
	need := min(max(optionalReserveFraction*b.allowed(now), 1), optionalReserve)
	return b.Remaining(now) >= need
}

// Spend takes one repeat, or says that none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}
