package passthrough

import (
	"strconv"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

const (
	keyCrash = "crash/"
	// mostCrashes is how many are written at once; more are a fault of another kind.
	mostCrashes = 256
)

// crashed counts a crash. It must not block: the driver calls it.
func (b *observationStore) crashed(c passthrough.CrashSuspected) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crash) < mostCrashes {
		b.crash[c.Fingerprint]++
	}
	b.nudge()
}

// crashNotes makes the notes on the crashes that were not told yet; the lock is held.
func (b *observationStore) crashNotes(now time.Time) []keyedlog.Record {
	var out []keyedlog.Record
	for fingerprint, times := range b.crash {
		s := &observationSet{Instance: b.instance, Crash: fingerprint, Times: times}
		key := keyCrash + strconv.FormatUint(fingerprint, 16) + "/" + b.instance
		out = append(out, b.encode(key, s))
		b.drops[key] = now.Add(noteLife)
	}
	clear(b.crash)
	return out
}
