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
	// maxPendingCrashes is the maximum number of fingerprints that wait to be written. More at
	// once are not caused by requests that crash servers, but by a fault of another kind.
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

// takeCrashRecords removes the pending crashes and returns a record of each fingerprint, which is to be
// deleted after recordLifetime. The lock is held.
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
