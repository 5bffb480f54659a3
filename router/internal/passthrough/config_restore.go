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
type configTrust struct {
	clock Clock
	known *Knowledge

	mu sync.Mutex
	// stored is the highest version that the store has.
	stored uint64
	// until is when reads confirm again; written says that a configuration was written since the
	// restore.
	until   time.Time
	written bool
}

// settlePart is the part of the revocation bound for which reads of a restored store confirm
// nothing. Under the half at which an instance leaves the rotation, with the age that the
// configuration has when the store goes away.
const settlePart = 0.25

// restored notes that the store came back from a copy.
func (c *configTrust) restored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored, c.written = 0, false
	c.until = c.clock.Now().Add(part(settlePart, c.known.Bound()))
}

// saw takes in a configuration that the store has; written says that it was read as a new record,
// not among the newest ones.
func (c *configTrust) saw(version uint64, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = max(c.stored, version)
	c.written = c.written || written
}

// confirms says whether a read confirms the configuration.
func (c *configTrust) confirms() bool {
	if c.lost() != 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written || !c.clock.Now().Before(c.until)
}

// lost is the version in force here if the store lacks it, 0 where it does not.
func (c *configTrust) lost() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := c.known.Index(); index != nil && c.stored < index.Version {
		return index.Version
	}
	return 0
}
