package passthrough

import (
	"sync"
	"time"
)

// configTrust says whether reads of the operator's records confirm the configuration in force.
// Reads of a store that came back from a copy confirm it only once the operator has had time to
// write again what the copy lacks.
//
// Load: a configuration that takes a key away, acknowledged and lost with the copy. Harm prevented:
// the key accepted for longer than its bound, as each read of the copy says that nothing is newer.
// While nothing is confirmed, the configuration ages as in an outage of the store: the instance
// leaves the rotation first, and then refuses requests with keys.
type restoreGuard struct {
	clock  Clock
	config *ConfigState

	mu sync.Mutex
	// stored is the highest version that the store has.
	storedVersion uint64
	// until is when reads confirm again; written says that a configuration was written since the
	// restore.
	settledAt time.Time
	rewritten bool
}

// settlePart is the part of the revocation bound for which reads of a restored store confirm
// nothing. Under the half at which an instance leaves the rotation, with the age that the
// configuration has when the store goes away.
const settleFraction = 0.25

// restored notes that the store came back from a copy.
func (c *restoreGuard) onRestore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedVersion, c.rewritten = 0, false
	c.settledAt = c.clock.Now().Add(fractionOf(settleFraction, c.config.Bound()))
}

// saw takes in a configuration that the store has; written says that it was read as a new record,
// not among the newest ones.
func (c *restoreGuard) noteStored(version uint64, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedVersion = max(c.storedVersion, version)
	c.rewritten = c.rewritten || written
}

// confirms says whether a read confirms the configuration.
func (c *restoreGuard) confirms() bool {
	if c.lostVersion() != 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rewritten || !c.clock.Now().Before(c.settledAt)
}

// lost is the version in force here if the store lacks it, 0 where it does not.
func (c *restoreGuard) lostVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := c.config.Index(); index != nil && c.storedVersion < index.Version {
		return index.Version
	}
	return 0
}
