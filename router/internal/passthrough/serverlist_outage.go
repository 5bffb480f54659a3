package passthrough

import (
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/router/internal/relay"
)

const (
	// lapseGrace is how long an entry that expired in an outage of the store is still used after
	// the outage. A live server writes its entry again within two seconds.
	lapseGrace = 1500 * time.Millisecond
	// minLapseOutage is the shortest outage in which entries may have expired.
	minLapseOutage = 800 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats, on average over the servers, may be missing from a time in
	// which the store took writes. An entry expires after three heartbeats that are missing; an outage
	// keeps every server from writing at least one of them.
	maxMissedHeartbeats = 0.5
)

// onRecovery handles the end of an outage of the list.
//
// Load: the store rejects some instances for seconds, and serves the others and the backend servers, of
// which several leave. Harm prevented: an instance takes their removals for entries that expired in an
// outage of the store, and sends to servers that are about to exit. A collector that has read the list all
// the while shows that the store was up; where this instance reads the store, the heartbeats of the other
// servers do.
func (l *serverList) onRecovery(o outage) {
	if o.lost <= minLapseOutage || l.collectorReadThroughout(o) || l.wroteThroughout(o) {
		return
	}
	l.outageEnded()
}

// collectorReadThroughout reports whether the list comes from a collector that read it all through the outage,
// at intervals in which no server misses two heartbeats.
func (l *serverList) collectorReadThroughout(o outage) bool {
	return l.heartbeat > relay.MaxConfirmGap && o.steady > o.unread
}

// wroteThroughout reports whether the backend servers wrote their entries all through the outage, so that
// only this instance was disconnected from the store, and no entry expired because of the outage. It is
// false if that is not known.
func (l *serverList) wroteThroughout(o outage) bool {
	if l.heartbeat <= 0 {
		return false
	}
	servers, written := l.countHeartbeats(o.written)
	if servers == 0 || len(o.written) == 0 {
		return false
	}
	// Of the records that are not read yet, as many are heartbeats as of those that are.
	all := float64(written) * (1 + float64(o.remaining)/float64(len(o.written)))
	expected := float64(o.unread) / float64(l.heartbeat)
	return expected-all/float64(servers) <= maxMissedHeartbeats
}

// countHeartbeats counts the records of those listed servers that the records do not remove, and these
// servers.
func (l *serverList) countHeartbeats(records []keyedlog.Record) (servers, written int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byServer := map[string]int{}
	for id := range l.entries {
		byServer[id] = 0
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(byServer, r.Key)
		} else if _, listed := byServer[r.Key]; listed {
			byServer[r.Key]++
		}
	}
	for _, n := range byServer {
		written += n
	}
	return len(byServer), written
}

// outageEnded starts the period in which a removed entry may have expired only because of the outage.
func (l *serverList) outageEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	grace := min(lapseGrace, l.drainTime*3/4)
	l.lapseUntil = l.clock.Now().Add(grace)
	for id := range l.lapsed {
		l.lapsed[id] = l.lapseUntil
	}
}
