package passthrough

import (
	"sync"
	"time"
)

// restoreGuard decides whether a read of the operator's records confirms the configuration in
// force. After a restore of the store, reads confirm it only once the operator has had time to
// write again what the copy lacks.
//
// Load: a configuration that revokes a key is acknowledged and then lost in the restore. Harm
// prevented: every read of the copy says that nothing newer exists, and the key is accepted for
// longer than the revocation bound. While no read confirms, the configuration ages as in an
// outage of the store: the instance first leaves the rotation, then refuses requests with keys.
type restoreGuard struct {
	clock  Clock
	config *ConfigState

	mu sync.Mutex
	// storedVersion is the highest version read from the store since the last restore.
	storedVersion uint64
	// settledAt is when reads confirm again; rewritten says that a configuration was written
	// since the restore.
	settledAt time.Time
	rewritten bool
}

// settleFraction is the fraction of the revocation bound for which reads of a restored store
// confirm nothing. Together with the configuration's age at the start of the outage it stays
// below the half at which an instance leaves the rotation.
const settleFraction = 0.25

// onRestore notes that the store was restored.
func (c *restoreGuard) onRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedVersion, c.rewritten = 0, false
	c.settledAt = c.clock.Now().Add(fractionOf(settleFraction, c.config.Bound()))
}

// noteStored records a version that the store has. written says that it was read as a new record
// and not as part of a snapshot.
func (c *restoreGuard) noteStored(version uint64, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedVersion = max(c.storedVersion, version)
	c.rewritten = c.rewritten || written
}

// confirms reports whether a read confirms the configuration in force.
func (c *restoreGuard) confirms() bool {
	if c.lostVersion() != 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rewritten || !c.clock.Now().Before(c.settledAt)
}

// lostVersion returns the version in force here if the store lacks it, else 0.
func (c *restoreGuard) lostVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := c.config.Index(); index != nil && c.storedVersion < index.Version {
		return index.Version
	}
	return 0
}
