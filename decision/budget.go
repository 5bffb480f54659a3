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
	tokens float64
	at     time.Time
}

// floorRefillPerSecond is how many retries per second are added below the floor.
const floorRefillPerSecond = 1.0

// earn records a success.
func (b *retryBudget) earn(c *Config) {
	b.tokens = min(b.tokens+c.RetryRatio, c.RetryCap)
}

// spend takes one retry from the budget and reports whether there was one.
func (b *retryBudget) spend(now time.Time, c *Config) bool {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.at = now
		if b.tokens < c.RetryFloor {
			b.tokens = min(b.tokens+elapsed*floorRefillPerSecond, c.RetryFloor)
		}
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
