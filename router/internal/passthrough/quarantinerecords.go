package passthrough

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/decision/passthrough"
)

const (
	// quarantineKeyPrefix starts the keys of records of quarantined parts of prompts.
	quarantineKeyPrefix = "quarantine/"
	// quarantineSpread is the time over which the instances spread their first writes of a record. Whoever reads it
	// by then does not write it.
	quarantineSpread = time.Second
	// quarantineRenewal is the age at which a record is written again, if requests with the parts still come.
	quarantineRenewal = 30 * time.Second
	// quarantineLifetime is the age at which a record is ignored, and deleted if nothing is quarantined by it.
	quarantineLifetime = 3 * time.Minute
)

// quarantineRecord is a verdict in the store, for processes that start when all that knew it have ended.
type quarantineRecord struct {
	Parts   []uint64 `json:"parts"`
	Crashes int      `json:"crashes"`
	// WrittenMS is the time of day of the write, in Unix milliseconds. SinceMS and LastMS are the times from the
	// first crash, and from the latest request with the parts, to the write.
	WrittenMS int64 `json:"written_ms"`
	SinceMS   int64 `json:"since_ms"`
	LastMS    int64 `json:"last_ms"`
}

// quarantineState is what is known of the record of a verdict.
type quarantineState struct {
	// storedAt is when the record was last read or written; zero for never. dueAt is the earliest time of a write.
	storedAt, dueAt time.Time
}

func quarantineKey(parts []uint64) string {
	return quarantineKeyPrefix + strings.Trim(strings.ReplaceAll(fmt.Sprintf("%x", parts), " ", "-"), "[]")
}

// recordQuarantine schedules the write of a new verdict. It must not block: the driver calls it.
func (st *observationStore) recordQuarantine(c passthrough.PartsQuarantined) {
	st.mu.Lock()
	defer st.mu.Unlock()
	key := quarantineKey(c.Verdict.Parts)
	if st.quarantines[key] != nil {
		return
	}
	delay := rand.N(quarantineSpread)
	st.quarantines[key] = &quarantineState{dueAt: st.clock.Now().Add(delay)}
	time.AfterFunc(delay, st.wakeUp)
}

// takeQuarantineRecords returns the records of the verdicts that are to be written, and the deletions of those that
// are over. The lock is held.
func (st *observationStore) takeQuarantineRecords(now time.Time, verdicts []passthrough.PartVerdict) []keyedlog.Record {
	var out []keyedlog.Record
	current := map[string]bool{}
	for _, v := range verdicts {
		key := quarantineKey(v.Parts)
		current[key] = true
		s := st.quarantines[key]
		if s == nil || now.Before(s.dueAt) || !s.storedAt.IsZero() && now.Sub(s.storedAt) < quarantineRenewal || now.Sub(v.LastSeen) > 2*quarantineRenewal {
			continue
		}
		s.storedAt = now
		out = append(out, keyedlog.Record{Key: key, Value: st.encodeQuarantine(v, now)})
	}
	for key, s := range st.quarantines {
		if !current[key] && now.Sub(s.storedAt) > quarantineLifetime {
			delete(st.quarantines, key)
			out = append(out, keyedlog.Record{Key: key})
		}
	}
	return out
}

func (st *observationStore) encodeQuarantine(v passthrough.PartVerdict, now time.Time) []byte {
	text, err := json.Marshal(quarantineRecord{
		Parts: v.Parts, Crashes: v.Crashes, WrittenMS: st.timeOfDay().UnixMilli(),
		SinceMS: now.Sub(v.Since).Milliseconds(), LastMS: now.Sub(v.LastSeen).Milliseconds(),
	})
	if err != nil {
		panic(err) // a struct of numbers always encodes
	}
	return text
}

// applyQuarantine applies a record, or the deletion of one, that was read.
func (st *observationStore) applyQuarantine(r keyedlog.Record) error {
	now := st.clock.Now()
	if len(r.Value) == 0 {
		st.mu.Lock()
		defer st.mu.Unlock()
		delete(st.quarantines, r.Key)
		return nil
	}
	var q quarantineRecord
	if err := json.Unmarshal(r.Value, &q); err != nil {
		return err
	}
	written := now.Add(-max(st.timeOfDay().Sub(time.UnixMilli(q.WrittenMS)), 0))
	st.mu.Lock()
	st.quarantines[r.Key] = &quarantineState{storedAt: written}
	st.mu.Unlock()
	if now.Sub(written) > quarantineLifetime {
		return nil
	}
	slices.Sort(q.Parts)
	st.driver.Handle(passthrough.PeerVerdicts{Verdicts: []passthrough.PartVerdict{{
		Parts: q.Parts, Crashes: q.Crashes,
		Since: written.Add(-time.Duration(q.SinceMS) * time.Millisecond), LastSeen: written.Add(-time.Duration(q.LastMS) * time.Millisecond),
	}}})
	return nil
}

// rewriteQuarantines schedules the write of all records, since a restored store may lack some.
func (st *observationStore) rewriteQuarantines() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, s := range st.quarantines {
		delay := rand.N(quarantineSpread)
		s.storedAt, s.dueAt = time.Time{}, st.clock.Now().Add(delay)
		time.AfterFunc(delay, st.wakeUp)
	}
}
