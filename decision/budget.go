package decision

import "time"

// retryBudget bounds a team's retries and resends.
//
// Load: an overload or a failing pool, in which every failure is tried again by
// us and sent again by callers. Harm prevented: retries that keep the overload
// alive after its cause is gone. Each success earns a tenth of a retry; a floor
// lets a team with little traffic retry at all; a cap forgets old success.
type retryBudget struct {
	tokens float64
	at     time.Time
}

// floorRefill is how many retries a second come back below the floor.
const floorRefillPerSecond = 1.0

// earn notes a success.
func (b *retryBudget) earn(c *Config) {
	b.tokens = min(b.tokens+c.RetryRatio, c.RetryCap)
}

// spend takes one retry, if there is one.
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
