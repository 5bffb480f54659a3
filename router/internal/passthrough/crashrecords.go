package passthrough

import (
	"strconv"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

const (
	// crashKeyPrefix starts the keys of crash records.
	crashKeyPrefix = "crash/"
	// maxPendingCrashes bounds the fingerprints that wait to be written; more than that at
	// once come from a fault of another kind.
	maxPendingCrashes = 256
)

// recordCrash counts a crash. It must not block: the driver calls it.
func (st *observationStore) recordCrash(c passthrough.CrashSuspected) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.pendingCrashes) < maxPendingCrashes {
		st.pendingCrashes[c.Fingerprint]++
	}
	st.wakeUp()
}

// takeCrashRecords returns a record of each fingerprint whose crashes were not written yet. The lock is
// held.
func (st *observationStore) takeCrashRecords(now time.Time) []keyedlog.Record {
	var out []keyedlog.Record
	for fingerprint, times := range st.pendingCrashes {
		s := &observationSet{Instance: st.instance, CrashFingerprint: fingerprint, CrashCount: times}
		key := crashKeyPrefix + strconv.FormatUint(fingerprint, 16) + "/" + st.instance
		out = append(out, st.encode(key, s))
		st.deleteAt[key] = now.Add(recordLifetime)
	}
	clear(st.pendingCrashes)
	return out
}
