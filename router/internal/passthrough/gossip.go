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
		name: topicObservations, log: b.log, clock: clock, journal: b.journal, retry: retryRare,
		each: b.take,
		read: func(began time.Time, _ int) { b.sound(began) },
		back: b.regained, restored: b.restored,
	}
	t.whole = b.takeAll
	t.wait = func() time.Duration {
		if active() {
			return 0
		}
		return observationsWait
	}
	t.pause = func() time.Duration {
		if active() {
			return observationsEvery
		}
		return retryMost
	}
	return t
}

// gossipTime is how long it takes until what one instance saw is known to another: each
// writes and reads once in observationsEvery, and gathers before that.
const gossipTime = 2500 * time.Millisecond

// sound notes that the others' observations were read.
func (b *observationStore) sound(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAt = at
}

// regained notes the end of an outage in which nobody could tell anything.
func (b *observationStore) regained(lost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost > observationsEvery {
		b.soundSince = b.clock.Now()
	}
}

// restored has this instance write its observations again: a copy of the store lacks some.
func (b *observationStore) restored() {
	b.redo()
	b.nudge()
}

// resumed notes that this process stood still, and may have missed what the others tell.
func (b *observationStore) resumed() { b.unwritten() }

// unwritten notes that this instance could not tell what it saw: the others may be no better
// off.
func (b *observationStore) unwritten() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.soundSince = b.clock.Now()
}

// blind says whether the others may have seen what is not known here.
func (b *observationStore) blind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	return now.Sub(b.readAt) > gossipTime || now.Sub(b.soundSince) < gossipTime
}

// takeAll applies the newest observations. Notes on crashes among them may be old, and are left
// out.
func (b *observationStore) takeAll(list []keyedlog.Record) {
	for _, r := range list {
		if !strings.HasPrefix(r.Key, keyCrash) {
			b.take(r)
		}
	}
}

// take applies one set of another instance.
func (b *observationStore) take(r keyedlog.Record) {
	if len(r.Value) == 0 {
		return
	}
	var s observationSet
	if err := json.Unmarshal(r.Value, &s); err != nil {
		b.journal.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if s.Instance == b.instance && s.Crash != 0 {
		return
	}
	if s.Crash != 0 {
		b.driver.Tell(passthrough.PeerCrashes{Fingerprint: s.Crash, Count: s.Times})
		return
	}
	if len(s.Sessions) > 0 {
		b.driver.Tell(passthrough.PeerSessions{Sessions: s.Sessions})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.others[r.Key]; ok && known.answers() > s.answers() {
		return // it is one of a copy of the store
	}
	s.readAt = b.clock.Now()
	b.others[r.Key] = s
}
