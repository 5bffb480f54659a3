package decision

import "time"

// retryBudget bounds a team's retries, including those sent by its callers.
//
// Load: an overload or a failing pool, where every failure is retried by the
// instance and again by the caller. Harm prevented: retries that sustain the
// overload after its cause is gone. Each success earns a fraction of a retry
// (Config.RetryRatio); a floor lets a team with little traffic retry at all; a cap
// limits how much past success counts.
type retryBudget struct {
	retries float64
	// lastRefill is when the floor was last refilled.
	lastRefill time.Time
}

// floorRefillPerSecond is how many retries per second are added below the floor.
const floorRefillPerSecond = 1.0

// earn records a success.
func (b *retryBudget) earn(c *Config) {
	b.retries = min(b.retries+c.RetryRatio, c.RetryCap)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend(now time.Time, c *Config) bool {
	if elapsed := now.Sub(b.lastRefill).Seconds(); elapsed > 0 {
		b.lastRefill = now
		if b.retries < c.RetryFloor {
			b.retries = min(b.retries+elapsed*floorRefillPerSecond, c.RetryFloor)
		}
	}
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
