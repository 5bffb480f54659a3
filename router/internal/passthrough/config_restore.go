package passthrough

import (
	"sync"
	"time"
)

// restoreGuard decides whether a read of the operator's records confirms the configuration in
// force. After a restore of the store, reads confirm it only once the operator has had time to
// write again what the restored store lacks.
//
// Load: a configuration that revokes a key is acknowledged and then lost in the restore. Harm
// prevented: every read of the restored store implies that nothing newer exists, and the key is
// accepted for longer than the revocation bound. While no read confirms the configuration, it ages
// as in an outage of the store: the instance first leaves the rotation, then refuses requests with
// keys.
type restoreGuard struct {
	clock  Clock
	config *ConfigState

	mu sync.Mutex
	// storedVersion is the highest version read from the store since the last restore.
	storedVersion uint64
	// confirmsAfter is when reads confirm again; rewritten is true if a configuration was
	// written since the restore, in which case they confirm at once.
	confirmsAfter time.Time
	rewritten     bool
}

// confirmDelayFraction is the fraction of the revocation bound for which reads of a restored store
// confirm nothing. Added to the configuration's age at the start of the outage, the delay must stay
// below unreadyFraction, at which an instance leaves the rotation.
const confirmDelayFraction = 0.25

// onRestore starts the delay in which reads of the restored store confirm nothing.
func (g *restoreGuard) onRestore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storedVersion, g.rewritten = 0, false
	g.confirmsAfter = g.clock.Now().Add(fractionOf(confirmDelayFraction, g.config.Bound()))
}

// eraBeforeRestores is the era of a store that was never restored.
const eraBeforeRestores = 1

// onFirstRead starts the same delay in a process that has just started, if the store was ever restored.
//
// Load: an instance starts right after a restore, before the operator has written again, and is then
// disconnected. Harm prevented: it cannot tell that restore from one long ago, and its first read would
// confirm a configuration with keys that the lost one revoked. The price is that it joins the rotation
// later by the delay.
func (g *restoreGuard) onFirstRead(era uint64) {
	if era > eraBeforeRestores {
		g.onRestore()
	}
}

// noteStored records a version that the store has. written is true if it was read as a new record,
// false if as part of a snapshot.
func (g *restoreGuard) noteStored(version uint64, written bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storedVersion = max(g.storedVersion, version)
	g.rewritten = g.rewritten || written
}

// confirms reports whether a read confirms the configuration in force.
func (g *restoreGuard) confirms() bool {
	if g.lostVersion() != 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rewritten || !g.clock.Now().Before(g.confirmsAfter)
}

// lostVersion returns the version in force here if the store lacks it, else 0.
func (g *restoreGuard) lostVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if index := g.config.Index(); index != nil && g.storedVersion < index.Version {
		return index.Version
	}
	return 0
}
