package passthrough

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// reader returns a reader of the peers' observations. active reports whether a roll-out is in
// progress.
func (st *observationStore) reader(clock Clock, active func() bool) *topicReader {
	t := &topicReader{
		name: topicObservations, log: st.log, clock: clock, telemetry: st.telemetry, longestRetryDelay: slowRetryDelay,
		onRecord:   st.apply,
		onCaughtUp: st.markRead,
		onRead:     func() { st.onRead() },
		onRecovery: st.onRecovery, onRestore: st.onRestore,
	}
	t.onSnapshot = st.applySnapshot
	t.wait = func() time.Duration {
		if active() {
			return 0
		}
		return idleReadWait
	}
	t.pause = func() time.Duration {
		if active() {
			return observationInterval
		}
		return maxRetryDelay
	}
	return t
}

// propagationTime is the maximum time for an observation to reach the other instances: one
// observationInterval until it is written, batchDelay, and one observationInterval until it is read,
// plus a margin.
const propagationTime = 2500 * time.Millisecond

// markRead records that the peers' observations were read as of the given time.
func (st *observationStore) markRead(at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastReadAt = at
}

// onRecovery records the end of an outage of the topic, in which no instance could share its
// observations.
func (st *observationStore) onRecovery(o outage) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if o.lost > observationInterval {
		st.completeSince = st.clock.Now()
	}
}

// onRestore makes this instance write its observations again, since the restored store may lack some.
func (st *observationStore) onRestore() {
	st.rewriteQuarantines()
	st.markDirty()
	st.wakeUp()
}

// onSuspension records that this process was suspended and may have missed observations of its peers.
func (st *observationStore) onSuspension() { st.markIncomplete() }

// markIncomplete records that peers may have observations that are not known here, for example
// because this instance could not write its own, which suggests that the peers could not either.
func (st *observationStore) markIncomplete() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.completeSince = st.clock.Now()
}

// mayMissRecords reports whether peers may have observations that are not known here.
func (st *observationStore) mayMissRecords() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	return now.Sub(st.lastReadAt) > propagationTime || now.Sub(st.completeSince) < propagationTime
}

// applySnapshot applies the newest observations. It skips crash records, which may be old.
func (st *observationStore) applySnapshot(list []keyedlog.Record) {
	for _, r := range list {
		if !strings.HasPrefix(r.Key, crashKeyPrefix) {
			st.apply(r)
		}
	}
}

// apply applies one set or crash record that was read. It ignores this instance's crash records, as the
// instance has counted those crashes itself.
func (st *observationStore) apply(r keyedlog.Record) {
	if strings.HasPrefix(r.Key, quarantineKeyPrefix) {
		if err := st.applyQuarantine(r); err != nil {
			st.telemetry.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		}
		return
	}
	if len(r.Value) == 0 {
		return
	}
	var s observationSet
	if err := json.Unmarshal(r.Value, &s); err != nil {
		st.telemetry.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if s.Instance == st.instance && s.CrashFingerprint != 0 {
		return
	}
	if s.CrashFingerprint != 0 {
		st.driver.Handle(passthrough.PeerCrashes{Fingerprint: s.CrashFingerprint, Count: s.CrashCount})
		return
	}
	if len(s.Sessions) > 0 {
		st.driver.Handle(passthrough.PeerSessions{Sessions: s.Sessions})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if known, ok := st.others[r.Key]; ok && known.responseCount() > s.responseCount() {
		return // from a restored store: older than the set already known
	}
	s.readAt = st.clock.Now()
	st.others[r.Key] = s
}
