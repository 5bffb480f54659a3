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

// reader returns a reader of the peers' observations. active says whether a roll-out is in
// progress.
func (b *observationStore) reader(clock Clock, active func() bool) *topicReader {
	t := &topicReader{
		name: topicObservations, log: b.log, clock: clock, telemetry: b.telemetry, maxRetry: slowRetryDelay,
		onRecord:   b.apply,
		onRead:     func(began time.Time, _ int) { b.markRead(began) },
		onRecovery: b.onRecovery, onRestore: b.onRestore,
	}
	t.onSnapshot = b.applySnapshot
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

// propagationTime is how long an observation takes to reach the other instances: each writes
// and reads once per observationInterval, and a write waits for batchDelay before.
const propagationTime = 2500 * time.Millisecond

// markRead notes that the peers' observations were read, as of the given time.
func (b *observationStore) markRead(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReadAt = at
}

// onRecovery notes the end of an outage of the topic, in which no instance could share its
// observations.
func (b *observationStore) onRecovery(lost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost > observationInterval {
		b.completeSince = b.clock.Now()
	}
}

// onRestore makes this instance write its observations again: the restored store may lack some.
func (b *observationStore) onRestore() {
	b.markDirty()
	b.wakeUp()
}

// onPause notes that this process was suspended and may have missed observations of its peers.
func (b *observationStore) onPause() { b.markIncomplete() }

// markIncomplete notes that peers may have observations that are not known here, for example
// because this instance could not write its own: the peers may be no better off.
func (b *observationStore) markIncomplete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completeSince = b.clock.Now()
}

// mayMissRecords reports whether peers may have observations that are not known here.
func (b *observationStore) mayMissRecords() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	return now.Sub(b.lastReadAt) > propagationTime || now.Sub(b.completeSince) < propagationTime
}

// applySnapshot applies the newest observations. It skips crash records, which may be old.
func (b *observationStore) applySnapshot(list []keyedlog.Record) {
	for _, r := range list {
		if !strings.HasPrefix(r.Key, crashKeyPrefix) {
			b.apply(r)
		}
	}
}

// apply applies one set or crash record of another instance.
func (b *observationStore) apply(r keyedlog.Record) {
	if len(r.Value) == 0 {
		return
	}
	var s observationSet
	if err := json.Unmarshal(r.Value, &s); err != nil {
		b.telemetry.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if s.Instance == b.instance && s.CrashFingerprint != 0 {
		return
	}
	if s.CrashFingerprint != 0 {
		b.driver.Handle(passthrough.Crashes{Fingerprint: s.CrashFingerprint, Count: s.CrashCount})
		return
	}
	if len(s.Sessions) > 0 {
		b.driver.Handle(passthrough.SessionsOpen{Sessions: s.Sessions})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.others[r.Key]; ok && known.responseCount() > s.responseCount() {
		return // an earlier one, from a restored store
	}
	s.readAt = b.clock.Now()
	b.others[r.Key] = s
}
