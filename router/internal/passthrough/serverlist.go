package passthrough

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

const (
	// readIntervalFraction times drainTime is the interval between two reads of the store, so
	// that a server's leaving is read in time even if one read fails. The interval is at least
	// minReadInterval, to limit the load on the store, and at most maxReadInterval, since
	// entries that pass through a collector are read twice. The maximum does not apply to an
	// instance that reads only for itself because it cannot reach its peers.
	readIntervalFraction = 0.37
	minReadInterval      = 300 * time.Millisecond
	maxReadInterval      = 750 * time.Millisecond
	// followerPause is the time between two reads of a follower. It batches changes, so that
	// there is not one read per changed entry. A server that leaves or is in slow start must be
	// known within a second.
	followerPause = 100 * time.Millisecond
	// followerWait is how long a follower's read waits for a change. The data may have passed
	// through two other instances, and the waits of all three add to its age.
	followerWait = 350 * time.Millisecond
)

// serverList follows the list of backend servers and passes it to decision/passthrough.
type serverList struct {
	records   Records
	driver    *Driver
	dialer    *dialer
	telemetry *telemetry
	clock     Clock
	// drainTime is how long a leaving server may still get requests.
	drainTime time.Duration
	// heartbeat is the interval at which servers write their entries, 0 if unknown.
	heartbeat time.Duration
	wake      chan struct{}
	// startGate is informed when the list has been read.
	startGate *startGate
	// readsAlone reports whether this instance reads the store only for itself; readsFromPeer
	// reports whether it reads from another instance.
	readsAlone    func() bool
	readsFromPeer func() bool

	mu      sync.Mutex
	entries map[string]passthrough.Server
	// lapsed are entries that were removed right after an outage, with the time until which they
	// are still used.
	lapsed map[string]time.Time
	// lapseUntil is the end of the period after an outage in which a removed entry may have
	// expired only because of the outage.
	lapseUntil time.Time
	changed    bool
	// tombstones record the servers that have left; unconfirmed are entries of a restored store
	// that are not used yet.
	tombstones  map[string]tombstone
	unconfirmed map[string]unconfirmedEntry
	// snapshotRestored is true if the next snapshot is of a restored store.
	snapshotRestored bool
	// unreadable are the keys of entries that were logged as malformed.
	unreadable map[string]bool
}

func newServerList(records Records, driver *Driver, d *dialer, tel *telemetry, clock Clock, drainTime time.Duration, gate *startGate) *serverList {
	return &serverList{
		records: records, driver: driver, dialer: d, telemetry: tel, clock: clock, drainTime: drainTime, startGate: gate,
		readsAlone: func() bool { return false }, readsFromPeer: func() bool { return false },
		wake: make(chan struct{}, 1), entries: map[string]passthrough.Server{},
		lapsed: map[string]time.Time{}, unreadable: map[string]bool{},
		tombstones: map[string]tombstone{}, unconfirmed: map[string]unconfirmedEntry{},
	}
}

// requestRead ends the pause before the next read of the list.
func (l *serverList) requestRead() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// reader returns a reader of the list.
func (l *serverList) reader(log keyedlog.Log, clock Clock) *topicReader {
	t := &topicReader{
		name: topicServers, log: log, clock: clock, telemetry: l.telemetry, wake: l.wake,
		wait: l.wait, pause: l.pause,
		onRecord: func(r keyedlog.Record) { l.apply(r) },
	}
	t.onSnapshot = func(records []keyedlog.Record) { l.replace(records) }
	t.onRestore = l.onRestore
	t.onRead = func() {
		l.publish()
		l.startGate.loaded(prerequisiteServers)
	}
	t.onRecovery = l.onRecovery
	return t
}

// wait returns how long a read waits for a change: not at all at the store, where each heartbeat is
// a change, but up to followerWait at a peer, which passes on relevant changes only.
func (l *serverList) wait() time.Duration {
	if l.readsFromPeer() {
		return min(followerWait, l.readInterval())
	}
	return 0
}

// pause returns the time between two reads.
func (l *serverList) pause() time.Duration {
	if l.readsFromPeer() {
		return followerPause
	}
	return l.readInterval()
}

// readInterval returns the time between two reads of the store.
func (l *serverList) readInterval() time.Duration {
	interval := max(time.Duration(readIntervalFraction*float64(l.drainTime)), minReadInterval)
	if l.readsAlone() {
		return interval
	}
	return min(interval, maxReadInterval)
}

// replace applies a snapshot: entries that are not in it are removed.
func (l *serverList) replace(records []keyedlog.Record) {
	seen := map[string]bool{}
	for _, r := range records {
		seen[r.Key] = true
		l.apply(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.entries {
		if !seen[id] {
			l.remove(id)
		}
	}
	for id := range l.unconfirmed {
		if !seen[id] {
			delete(l.unconfirmed, id)
		}
	}
	l.snapshotRestored = false
}

// apply applies one entry. A malformed entry removes its server.
func (l *serverList) apply(r keyedlog.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(r.Value) == 0 {
		l.remove(r.Key)
		return
	}
	s, err := l.records.Server(r)
	if err != nil {
		if !l.unreadable[r.Key] {
			l.unreadable[r.Key] = true
			l.telemetry.count("entry_ignored")
			l.telemetry.emit(logging.EventEntryIgnored, slog.String(keyServer, r.Key), slog.String(logging.KeyError, err.Error()))
		}
		l.removeNow(r.Key, "unreadable")
		return
	}
	delete(l.unreadable, r.Key)
	delete(l.lapsed, r.Key)
	delete(l.unconfirmed, r.Key)
	if l.snapshotRestored {
		if s, ok := l.reconcile(s, r.Offset); ok {
			l.put(s, r.Offset)
		}
		return
	}
	l.put(s, r.Offset)
}

// put sets a server's entry. The lock is held.
func (l *serverList) put(s passthrough.Server, offset uint64) {
	if old, ok := l.entries[s.ID]; ok && old == s {
		return
	}
	delete(l.tombstones, s.ID)
	l.entries[s.ID] = s
	l.changed = true
	l.telemetry.emit(logging.EventServerListed, slog.String(keyServer, s.ID), slog.String("service", s.Service),
		slog.String("software", s.Version), slog.Bool("draining", s.Leaving), slog.Uint64("offset", offset))
}

// remove removes an entry: at once, or at lapseUntil in the period after an outage. The lock is held.
func (l *serverList) remove(id string) {
	delete(l.unconfirmed, id)
	if _, ok := l.entries[id]; !ok {
		return
	}
	if l.clock.Now().Before(l.lapseUntil) {
		l.lapsed[id] = l.lapseUntil
		return
	}
	l.removeNow(id, "removed")
}

// removeNow removes an entry at once and adds a tombstone. The lock is held.
func (l *serverList) removeNow(id, why string) {
	s, ok := l.entries[id]
	if !ok {
		return
	}
	l.addTombstone(s)
	delete(l.entries, id)
	delete(l.lapsed, id)
	l.changed = true
	l.telemetry.emit(logging.EventServerGone, slog.String(keyServer, id), slog.String(keyReason, why))
}

// publish passes a changed list to decision/passthrough.
func (l *serverList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.confirmPending(now)
	for id, until := range l.lapsed {
		if !now.Before(until) {
			l.removeNow(id, "lapsed")
		}
	}
	if !l.changed {
		return
	}
	l.changed = false
	out := make([]passthrough.Server, 0, len(l.entries))
	for _, s := range l.entries {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b passthrough.Server) int { return cmp.Compare(a.ID, b.ID) })
	l.driver.Handle(passthrough.ServersListed{Servers: out})
	l.dialer.retain(func(id string) bool { _, ok := l.entries[id]; return ok })
}

// countServers counts a service's servers that are not leaving, at the given version and at others.
func (l *serverList) countServers(service, version string) (atVersion, others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.entries {
		switch {
		case s.Service != service || l.driver.isLeaving(s):
		case s.Version == version:
			atVersion++
		default:
			others++
		}
	}
	return atVersion, others
}
