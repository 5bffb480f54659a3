package passthrough

import (
	"fmt"
	"slices"
	"time"

	"masticplank.example/decision/passthrough"
)

// observationSet is one instance's counts of one roll-out, or a record of crashes. It is stored
// as JSON.
type observationSet struct {
	Instance string `json:"instance"`
	// ProcessStart is the start time of the process in nanoseconds of the instance's clock. A
	// restarted process counts from zero in a new set; the old set remains valid.
	ProcessStart uint64 `json:"life,omitempty"`
	Service      string `json:"service"`
	// Target is the new version, Order the offset of the roll-out order in the operator's topic.
	Target string `json:"target"`
	Order  uint64 `json:"order"`
	// ElapsedMS is the time since the order in milliseconds, as known to the instance when it
	// wrote the set.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Routes are the counts by route.
	Routes map[string]observationRow `json:"routes"`
	// CrashKeys identify the crashes of the new version's servers that truncated responses, by
	// route.
	CrashKeys map[string][]string `json:"cuts,omitempty"`
	// Sessions are the sessions within the canary's share that were open at the old version
	// when the order arrived.
	Sessions []string `json:"sessions,omitempty"`
	// CrashFingerprint and CrashCount are set only in a record of a request that crashes servers:
	// the request's fingerprint and the number of crashes.
	CrashFingerprint uint64 `json:"crash,omitempty"`
	CrashCount       int    `json:"times,omitempty"`

	// readAt is when a set in observationStore.others was read; dirty is true if a set in
	// observationStore.own has changes to be written.
	readAt time.Time
	dirty  bool
	// evidence computes the verdict from the sums over all instances.
	evidence passthrough.Evidence
}

// key returns the set's key in the store.
func (s *observationSet) key() string {
	return fmt.Sprintf("%s/%s/%d/%s/%x", s.Service, s.Target, s.Order, s.Instance, s.ProcessStart)
}

// view is the sum of all instances' observations of one roll-out, with the verdict on it.
type view struct {
	elapsed              time.Duration
	newCounts, oldCounts passthrough.Counts
	bad                  bool
}

// minCleanResponses is the number of good responses of the new version, with no bad one, from which a
// roll-out is completed although peers' observations may be missing. With a probability of 1/70,
// a version that fails 30% of its requests still gives an instance that many good responses and no
// bad one. If five were enough, a version that fails half of its requests would be completed in about
// 1 of 30 roll-outs.
const minCleanResponses = 12

// clean reports whether this view suffices to complete the new version although peers' observations
// may be missing.
//
// Load: an outage of the store covers most of a roll-out and ends when the roll-out does. Harm
// prevented: a version that other instances saw fail is completed before they can report it.
func (v view) clean() bool { return v.newCounts.Bad == 0 && v.newCounts.Good >= minCleanResponses }

// view sums all instances' observations of the roll-out. It starts this instance's set if there is none.
func (st *observationStore) view(r *rollout, now time.Time) view {
	st.mu.Lock()
	defer st.mu.Unlock()
	own := st.own[r.Service]
	if own == nil || own.Order != r.offset || own.Target != r.Target {
		own = &observationSet{Instance: st.instance, ProcessStart: st.processStart, Service: r.Service, Target: r.Target, Order: r.offset, Routes: map[string]observationRow{}, dirty: true}
		st.own[r.Service] = own
		st.wakeUp()
	}
	out := view{elapsed: now.Sub(r.orderedAt)}
	sums, crashes := map[string]passthrough.VersionCounts{}, crashSet{}
	add := func(s *observationSet) {
		crashes.merge(s.CrashKeys)
		for route, row := range s.Routes {
			sums[route] = sums[route].Plus(passthrough.VersionCounts(row))
		}
	}
	add(own)
	for _, s := range st.latest(r) {
		add(&s)
		out.elapsed = max(out.elapsed, time.Duration(s.ElapsedMS)*time.Millisecond+now.Sub(s.readAt))
	}
	crashes.addToCounts(sums)
	all := passthrough.SumRoutes(sums)
	out.newCounts, out.oldCounts = all.New, all.Old
	out.bad = own.evidence.Evaluate(now, sums)
	own.ElapsedMS = out.elapsed.Milliseconds()
	return out
}

// setOrderOffset moves this instance's set to the offset at which the order was written again, and
// schedules the deletion of its record under the old key.
func (st *observationStore) setOrderOffset(service string, offset uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.own[service]
	if s == nil {
		return
	}
	st.deleteAt[s.key()] = st.clock.Now().Add(recordLifetime)
	s.Order = offset
	s.dirty = true
}

// responseCount returns the number of responses in a set. It never decreases for a process, so the set
// with the higher number is the newer one.
func (s *observationSet) responseCount() int {
	n := 0
	for _, row := range s.Routes {
		n += row.New.Good + row.New.Bad + row.Old.Good + row.Old.Bad
	}
	return n
}

// matches reports whether a set belongs to the roll-out.
func (r *rollout) matches(s *observationSet) bool {
	if s.Service != r.Service || s.Target != r.Target {
		return false
	}
	return s.Order == r.offset || slices.Contains(r.earlierOffsets, s.Order)
}

// latest returns the newest set of each other process for a roll-out. A process may have several, since
// it writes under another key once the order was written again. The lock is held.
func (st *observationStore) latest(r *rollout) map[processID]observationSet {
	out := map[processID]observationSet{}
	for _, s := range st.others {
		id := processID{s.Instance, s.ProcessStart}
		if !r.matches(&s) || id == (processID{st.instance, st.processStart}) {
			continue
		}
		if known, ok := out[id]; !ok || known.responseCount() < s.responseCount() {
			out[id] = s
		}
	}
	return out
}

// processID identifies a process among those of all instances.
type processID struct {
	instance string
	start    uint64
}
