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
	// listPart is the part of the time for which a leaving server may still get requests
	// that lies between two reads of the list: a read may fail once. Each costs a call, so
	// that they are no more frequent than listLeast. What goes by a collector is read twice,
	// and so no less often than listMost; an instance that reads for itself alone, since it is
	// cut off from the others, has no such second step.
	readIntervalFraction = 0.37
	minReadInterval      = 300 * time.Millisecond
	maxReadInterval      = 750 * time.Millisecond
	// followPause gathers changes that come together into one read by a follower: a server that
	// leaves, or is cold, must be known within a second, and not by one read for each heartbeat.
	followerPause = 100 * time.Millisecond
	// followWait is how long such a read waits for a change. What it tells may have come by two
	// other instances, and its age adds up.
	followerWait = 350 * time.Millisecond
	// lapseGrace is how long an entry that went away in an outage of the store is still
	// believed once the store is back: it returns within two seconds, if the server
	// lives.
	lapseGrace = 1500 * time.Millisecond
	// lapseAfter is the shortest outage in which entries may have lapsed.
	minLapseOutage = 800 * time.Millisecond
)

// list follows the list of backend servers.
type serverList struct {
	records   Records
	driver    *Driver
	dialer    *dialer
	telemetry *telemetry
	clock     Clock
	drain     time.Duration
	wake      chan struct{}
	// starting is told when the list was read first.
	startGate *startGate
	// alone says whether this instance reads the store, and for itself only; follows that it
	// reads from another instance.
	readsAlone    func() bool
	readsFromPeer func() bool

	mu      sync.Mutex
	entries map[string]passthrough.Server
	// lapsed are entries that went away in or right after an outage, with the time until
	// which they are believed.
	lapsed map[string]time.Time
	// until ends the time after an outage in which removals may be lapses.
	lapseUntil time.Time
	changed    bool
	// tombstones are of servers that have left; unconfirmed are entries that are not used yet.
	tombstones  map[string]tombstone
	unconfirmed map[string]unconfirmedEntry
	// fromCopy says that the next newest entries are those of a store that came back from a copy.
	snapshotRestored bool
	unreadable       map[string]bool
}

func newServerList(records Records, driver *Driver, d *dialer, j *telemetry, clock Clock, drain time.Duration, st *startGate) *serverList {
	return &serverList{
		records: records, driver: driver, dialer: d, telemetry: j, clock: clock, drain: drain, startGate: st,
		readsAlone: func() bool { return false }, readsFromPeer: func() bool { return false },
		wake: make(chan struct{}, 1), entries: map[string]passthrough.Server{},
		lapsed: map[string]time.Time{}, unreadable: map[string]bool{},
		tombstones: map[string]tombstone{}, unconfirmed: map[string]unconfirmedEntry{},
	}
}

// hurry asks for the list to be read at once.
func (l *serverList) requestRead() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *serverList) reader(log keyedlog.Log, clock Clock) *topicReader {
	t := &topicReader{
		name: topicServers, log: log, clock: clock, telemetry: l.telemetry, wake: l.wake,
		wait: l.wait, pause: l.pause,
		onRecord: func(r keyedlog.Record) { l.apply(r) },
	}
	t.onSnapshot = func(records []keyedlog.Record) { l.replace(records) }
	t.onRestore = l.onRestore
	t.onRead = func(time.Time, int) {
		l.publish()
		l.startGate.loaded(prerequisiteServers)
	}
	t.onRecovery = func(lost time.Duration) {
		if lost > minLapseOutage {
			l.outageEnded()
		}
	}
	return t
}

// wait is how long a read waits for a change: not at all in the store, where each heartbeat is
// one, and for a while where another instance passes on what matters.
func (l *serverList) wait() time.Duration {
	if l.readsFromPeer() {
		return min(followerWait, l.readInterval())
	}
	return 0
}

// pause is the time from a read to the next one.
func (l *serverList) pause() time.Duration {
	if l.readsFromPeer() {
		return followerPause
	}
	return l.readInterval()
}

// every is the time between two reads of the store.
func (l *serverList) readInterval() time.Duration {
	span := max(time.Duration(readIntervalFraction*float64(l.drain)), minReadInterval)
	if l.readsAlone() {
		return span
	}
	return min(span, maxReadInterval)
}

// outageEnded notes that removals may now be lapses.
func (l *serverList) outageEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	grace := min(lapseGrace, l.drain*3/4)
	l.lapseUntil = l.clock.Now().Add(grace)
	for id := range l.lapsed {
		l.lapsed[id] = l.lapseUntil
	}
}

// replace takes over the newest entries.
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

// take applies one entry. An entry that cannot be read names no server to use.
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
		l.drop(r.Key, "unreadable")
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

// remove drops an entry, at once or, around an outage, after a while.
func (l *serverList) remove(id string) {
	delete(l.unconfirmed, id)
	if _, ok := l.entries[id]; !ok {
		return
	}
	if l.clock.Now().Before(l.lapseUntil) {
		l.lapsed[id] = l.lapseUntil
		return
	}
	l.drop(id, "removed")
}

func (l *serverList) drop(id, why string) {
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

// publish tells the decision of a changed list.
func (l *serverList) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.confirmPending(now)
	for id, until := range l.lapsed {
		if !now.Before(until) {
			l.drop(id, "lapsed")
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

// count is the number of usable servers of a service, at the version and at others.
func (l *serverList) countServers(service, version string) (at, others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.entries {
		switch {
		case s.Service != service || s.Leaving:
		case s.Version == version:
			at++
		default:
			others++
		}
	}
	return at, others
}
