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

// reader follows the others' observations.
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

// gossipTime is how long it takes until what one instance saw is known to another: each
// writes and reads once in observationsEvery, and gathers before that.
const propagationTime = 2500 * time.Millisecond

// sound notes that the others' observations were read.
func (b *observationStore) markRead(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReadAt = at
}

// regained notes the end of an outage in which nobody could tell anything.
func (b *observationStore) onRecovery(lost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost > observationInterval {
		b.completeSince = b.clock.Now()
	}
}

// restored has this instance write its observations again: a copy of the store lacks some.
func (b *observationStore) onRestore() {
	b.markDirty()
	b.wakeUp()
}

// resumed notes that this process stood still, and may have missed what the others tell.
func (b *observationStore) onPause() { b.markIncomplete() }

// unwritten notes that this instance could not tell what it saw: the others may be no better
// off.
func (b *observationStore) markIncomplete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completeSince = b.clock.Now()
}

// blind says whether the others may have seen what is not known here.
func (b *observationStore) mayMissRecords() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	return now.Sub(b.lastReadAt) > propagationTime || now.Sub(b.completeSince) < propagationTime
}

// takeAll applies the newest observations. Notes on crashes among them may be old, and are left
// out.
func (b *observationStore) applySnapshot(list []keyedlog.Record) {
	for _, r := range list {
		if !strings.HasPrefix(r.Key, crashKeyPrefix) {
			b.apply(r)
		}
	}
}

// take applies one set of another instance.
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
		b.driver.Handle(passthrough.PeerCrashes{Fingerprint: s.CrashFingerprint, Count: s.CrashCount})
		return
	}
	if len(s.Sessions) > 0 {
		b.driver.Handle(passthrough.PeerSessions{Sessions: s.Sessions})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.others[r.Key]; ok && known.answerCount() > s.answerCount() {
		return // it is one of a copy of the store
	}
	s.readAt = b.clock.Now()
	b.others[r.Key] = s
}
