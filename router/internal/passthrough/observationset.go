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
	// ProcessStart distinguishes the instance's processes: it is the start time on the
	// instance's clock in nanoseconds. A restarted process counts from zero, and its
	// predecessor's counts remain valid.
	ProcessStart uint64 `json:"life,omitempty"`
	Service      string `json:"service"`
	// Target is the new version, Order the offset of the roll-out order.
	Target string `json:"target"`
	Order  uint64 `json:"order"`
	// ElapsedMS is the time since the order in milliseconds, as known to the instance when it
	// wrote the set.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Routes are the counts by route.
	Routes map[string]observationRow `json:"routes"`
	// CrashKeys name the crashes of the new version's servers that truncated responses, by
	// route.
	CrashKeys map[string][]string `json:"cuts,omitempty"`
	// Sessions are those in the canary's share that were open at the old version when the
	// order arrived.
	Sessions []string `json:"sessions,omitempty"`
	// CrashFingerprint and CrashCount are set in a record on a request that crashes servers.
	CrashFingerprint uint64 `json:"crash,omitempty"`
	CrashCount       int    `json:"times,omitempty"`

	// readAt is when another instance's set was read; dirty says that the own set has changes
	// to be written.
	readAt time.Time
	dirty  bool
	// evidence computes the verdict from the sums of all instances.
	evidence passthrough.Evidence
}

// key returns the set's key in the store.
func (s *observationSet) key() string {
	return fmt.Sprintf("%s/%s/%d/%s/%x", s.Service, s.Target, s.Order, s.Instance, s.ProcessStart)
}

// view is the sum of what all instances saw of one roll-out.
type view struct {
	elapsed              time.Duration
	newCounts, oldCounts passthrough.Counts
	bad                  bool
}

// minCleanResponses is how many good responses of the new version, without a bad one, let an
// instance complete a roll-out by its own counts alone. If a version fails three requests in ten,
// one instance in seventy still sees twelve good responses and no bad one. With five, a version that
// failed half of its requests was completed once in 30 runs.
const minCleanResponses = 12

// clean reports whether this view suffices to complete the new version.
//
// Load: the store comes back at the end of a roll-out, most of which fell into the outage. Harm
// prevented: a version that other instances saw fail is completed before they can report it.
func (v view) clean() bool { return v.newCounts.Bad == 0 && v.newCounts.Good >= minCleanResponses }

// view sums up what all instances saw of the roll-out. It starts this instance's own set if there is
// none.
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
// has its record under the old key deleted.
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

// responseCount returns the number of responses that a set counts. A process's counts only grow.
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

// latest returns the newest set of each other process on a roll-out. A process writes under another
// key once the order was written again. The lock is held.
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
