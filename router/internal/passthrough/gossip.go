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

// tail follows the others' sheets.
func (b *board) tail(clock Clock, active func() bool) *tail {
	t := &tail{
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
		return boardWait
	}
	t.pause = func() time.Duration {
		if active() {
			return boardEvery
		}
		return retryMost
	}
	return t
}

// gossipTime is how long it takes until what one instance saw is known to another: each
// writes and reads once in boardEvery, and gathers before that.
const gossipTime = 2500 * time.Millisecond

// sound notes that the others' sheets were read.
func (b *board) sound(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readAt = at
}

// regained notes the end of an outage in which nobody could tell anything.
func (b *board) regained(lost time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lost > boardEvery {
		b.soundSince = b.clock.Now()
	}
}

// restored has this instance write its sheets again: a copy of the store lacks some.
func (b *board) restored() {
	b.redo()
	b.nudge()
}

// unwritten notes that this instance could not tell what it saw: the others may be no better
// off.
func (b *board) unwritten() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.soundSince = b.clock.Now()
}

// blind says whether the others may have seen what is not known here.
func (b *board) blind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	return now.Sub(b.readAt) > gossipTime || now.Sub(b.soundSince) < gossipTime
}

// takeAll applies the newest sheets. Notes on crashes among them may be old, and are left
// out.
func (b *board) takeAll(list []keyedlog.Record) {
	for _, r := range list {
		if !strings.HasPrefix(r.Key, keyCrash) {
			b.take(r)
		}
	}
}

// take applies one sheet of another instance.
func (b *board) take(r keyedlog.Record) {
	if len(r.Value) == 0 {
		return
	}
	var s sheet
	if err := json.Unmarshal(r.Value, &s); err != nil {
		b.journal.emit(logging.EventRecordRejected, slog.String("key", r.Key), slog.String(logging.KeyError, err.Error()))
		return
	}
	if s.Instance == b.instance && s.Crash != 0 {
		return
	}
	if s.Crash != 0 {
		b.driver.Tell(passthrough.Crashes{Fingerprint: s.Crash, Count: s.Times})
		return
	}
	if len(s.Sessions) > 0 {
		b.driver.Tell(passthrough.SessionsOpen{Sessions: s.Sessions})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.others[r.Key]; ok && known.answers() > s.answers() {
		return // it is one of a copy of the store
	}
	s.readAt = b.clock.Now()
	b.others[r.Key] = s
}
