package passthrough

import (
	"time"

	"masticplank.example/decision/passthrough"
)

const (
	// confirmAfter is how long an entry that a restored store has of a server that had left is not
	// used: the entry of a server that is gone is removed after three heartbeats.
	unconfirmedDelay = 5 * time.Second
	// tombstoneLife is how long a tombstone is kept; copies of the store are some seconds old.
	tombstoneTTL = 2 * time.Minute
)

// tombstone stands for a server that has left.
type tombstone struct {
	born   int64
	leftAt time.Time
}

// unconfirmedEntry is an entry of a copy that is not used yet.
type unconfirmedEntry struct {
	server passthrough.Server
	offset uint64
	until  time.Time
}

// bury leaves a tombstone of a server that has left. The lock is held.
func (l *serverList) addTombstone(s passthrough.Server) {
	now := l.clock.Now()
	for id, t := range l.tombstones {
		if now.Sub(t.leftAt) > tombstoneTTL {
			delete(l.tombstones, id)
		}
	}
	l.tombstones[s.ID] = tombstone{s.StartTime, now}
}

// restored notes that the store came back from a copy.
//
// Load: a store that has forgotten some seconds of what servers wrote, before addresses that are
// given to other servers. Harm prevented: servers that started lately, dropped until they write
// again; and servers that have left, called at an address that is another one's by now.
func (l *serverList) onRestore() {
	l.outageEnded()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshotRestored = true
}

// reconcile merges an entry of a copy with what is known of the server: one that leaves still does, and
// one that had left must write again, for which ok is false. The lock is held.
func (l *serverList) reconcile(s passthrough.Server, offset uint64) (out passthrough.Server, ok bool) {
	if old, known := l.entries[s.ID]; known && old.StartTime == s.StartTime {
		s.Leaving = s.Leaving || old.Leaving
		return s, true
	}
	if t, left := l.tombstones[s.ID]; left && t.born == s.StartTime {
		l.unconfirmed[s.ID] = unconfirmedEntry{s, offset, l.clock.Now().Add(unconfirmedDelay)}
		l.telemetry.logStateKept("server", s.ID, "it had left")
		return s, false
	}
	return s, true
}

// confirmPending takes in the unconfirmed entries that still stand. The lock is held.
func (l *serverList) confirmPending(now time.Time) {
	for id, entry := range l.unconfirmed {
		if !now.Before(entry.until) {
			delete(l.unconfirmed, id)
			l.put(entry.server, entry.offset)
		}
	}
}
