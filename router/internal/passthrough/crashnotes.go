package passthrough

import (
	"strconv"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

const (
	crashKeyPrefix = "crash/"
	// mostCrashes is how many are written at once; more are a fault of another kind.
	maxPendingCrashes = 256
)

// crashed counts a crash. It must not block: the driver calls it.
func (b *observationStore) recordCrash(c passthrough.CrashSuspected) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pendingCrashes) < maxPendingCrashes {
		b.pendingCrashes[c.Fingerprint]++
	}
	b.wakeUp()
}

// crashNotes makes the notes on the crashes that were not told yet; the lock is held.
func (b *observationStore) crashRecords(now time.Time) []keyedlog.Record {
	var out []keyedlog.Record
	for fingerprint, times := range b.pendingCrashes {
		s := &observationSet{Instance: b.instance, CrashFingerprint: fingerprint, CrashCount: times}
		key := crashKeyPrefix + strconv.FormatUint(fingerprint, 16) + "/" + b.instance
		out = append(out, b.encode(key, s))
		b.deleteAt[key] = now.Add(recordLifetime)
	}
	clear(b.pendingCrashes)
	return out
}
