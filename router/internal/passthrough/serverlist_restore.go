package passthrough

import (
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// unconfirmedDelay is how long a restored store's entry of a server that had left is not used.
	// If the server is gone, the store removes the entry within that time, after three missed
	// heartbeats.
	unconfirmedDelay = 5 * time.Second
	// tombstoneTTL is how long a tombstone is kept; the store is restored from backups that are
	// some seconds old.
	tombstoneTTL = 2 * time.Minute
)

// tombstone records a server process that has left.
type tombstone struct {
	startTime int64
	leftAt    time.Time
}

// unconfirmedEntry is an entry of a restored store that is not used yet.
type unconfirmedEntry struct {
	server passthrough.Server
	offset uint64
	until  time.Time
}

// addTombstone records that a server has left and removes expired tombstones. The lock is held.
func (l *serverList) addTombstone(s passthrough.Server) {
	now := l.clock.Now()
	for id, t := range l.tombstones {
		if now.Sub(t.leftAt) > tombstoneTTL {
			delete(l.tombstones, id)
		}
	}
	l.tombstones[s.ID] = tombstone{s.StartTime, now}
}

// onRestore prepares for the first snapshot of a restored store.
//
// Load: a restored store lacks what servers wrote in the last seconds before the restore, while
// addresses are reused by other servers. Harm prevented: servers that started in those seconds are
// removed until they write again, and requests to servers that left are sent to an address that
// another server uses by now.
func (l *serverList) onRestore() {
	l.outageEnded()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshotRestored = true
}

// reconcile merges a restored store's entry with what is known of the server. A server that was
// leaving is still leaving. For a server that had left, ok is false, and the entry stays unconfirmed
// until the server writes again or unconfirmedDelay has passed. The lock is held.
func (l *serverList) reconcile(s passthrough.Server, offset uint64) (out passthrough.Server, ok bool) {
	if old, known := l.entries[s.ID]; known && old.StartTime == s.StartTime {
		s.Leaving = s.Leaving || old.Leaving
		return s, true
	}
	if t, left := l.tombstones[s.ID]; left && t.startTime == s.StartTime {
		l.unconfirmed[s.ID] = unconfirmedEntry{s, offset, l.clock.Now().Add(unconfirmedDelay)}
		l.telemetry.logStateKept("server", s.ID, "the restored store lists a server that had left")
		return s, false
	}
	return s, true
}

// confirmPending applies the unconfirmed entries that are still in the store after unconfirmedDelay.
// The lock is held.
func (l *serverList) confirmPending(now time.Time) {
	for id, entry := range l.unconfirmed {
		if !now.Before(entry.until) {
			delete(l.unconfirmed, id)
			l.put(entry.server, entry.offset)
		}
	}
}
