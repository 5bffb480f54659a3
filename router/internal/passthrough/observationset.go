package passthrough

import (
	"fmt"
	"slices"
	"time"

	"masticplank.example/decision/passthrough"
)

// observationSet is one instance's counts of one roll-out.
type observationSet struct {
	Instance string `json:"instance"`
	// Life tells the instance's processes apart: one that starts again counts anew, and
	// what the one before had seen still holds.
	ProcessStart uint64 `json:"life,omitempty"`
	Service      string `json:"service"`
	Target       string `json:"target"`
	Order        uint64 `json:"order"`
	// ElapsedMS is the time since the order, as the instance knew it when it wrote.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Routes are the counts by route.
	Routes map[string]observationRow `json:"routes"`
	// Cuts name the crashes of the new version's servers that cut answers off, by route.
	CrashKeys map[string][]string `json:"cuts,omitempty"`
	// Sessions are those that were open at the old version when the order came, in the
	// canary's share.
	Sessions []string `json:"sessions,omitempty"`
	// Crash and Times stand in a set on a request that crashes servers.
	CrashFingerprint uint64 `json:"crash,omitempty"`
	CrashCount       int    `json:"times,omitempty"`

	readAt time.Time
	dirty  bool
	// evidence judges the sums of all instances.
	evidence passthrough.Evidence
}

// key is the set's key in the store.
func (s *observationSet) key() string {
	return fmt.Sprintf("%s/%s/%d/%s/%x", s.Service, s.Target, s.Order, s.Instance, s.ProcessStart)
}

// view is what all instances saw of one roll-out.
type view struct {
	elapsed              time.Duration
	newCounts, oldCounts passthrough.Counts
	bad                  bool
}

// cleanAnswers is how many good answers of the new version, with no bad one beside them, are
// enough to complete it by one instance's word: of a version that fails three in ten, one
// instance in seventy sees that. With five, one that failed half of its requests was
// completed once in 30 runs.
const minCleanAnswers = 12

// clean says whether what was seen of the new version leaves no doubt.
//
// Load: a store that comes back at the end of a roll-out of which it missed the most. Harm
// prevented: a version that others saw failing, completed before they could tell.
func (v view) clean() bool { return v.newCounts.Bad == 0 && v.newCounts.Good >= minCleanAnswers }

// view sums up what all instances saw of the roll-out.
func (b *observationStore) view(r *rollout, now time.Time) view {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.own[r.Service]
	if own == nil || own.Order != r.offset || own.Target != r.Target {
		own = &observationSet{Instance: b.instance, ProcessStart: b.processStart, Service: r.Service, Target: r.Target, Order: r.offset, Routes: map[string]observationRow{}, dirty: true}
		b.own[r.Service] = own
		b.wakeUp()
	}
	out := view{elapsed: now.Sub(r.orderedAt)}
	sums, crashes := map[string]passthrough.VersionCounts{}, crashSet{}
	add := func(s *observationSet) {
		crashes.add(s.CrashKeys)
		for route, row := range s.Routes {
			sums[route] = sums[route].Plus(passthrough.VersionCounts(row))
		}
	}
	add(own)
	for _, s := range b.latest(r) {
		add(&s)
		out.elapsed = max(out.elapsed, time.Duration(s.ElapsedMS)*time.Millisecond+now.Sub(s.readAt))
	}
	crashes.addTo(sums)
	all := passthrough.SumRoutes(sums)
	out.newCounts, out.oldCounts = all.New, all.Old
	out.bad = own.evidence.Evaluate(now, sums)
	own.ElapsedMS = out.elapsed.Milliseconds()
	return out
}

// reorder has the own set count for the offset at which the order stands now.
func (b *observationStore) setOrderOffset(service string, offset uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.own[service]
	if s == nil {
		return
	}
	b.deleteAt[s.key()] = b.clock.Now().Add(recordLifetime)
	s.Order = offset
	s.dirty = true
}

// answers is the number of answers that a set counts. A process's counts only grow.
func (s *observationSet) answerCount() int {
	n := 0
	for _, row := range s.Routes {
		n += row.New.Good + row.New.Bad + row.Old.Good + row.Old.Bad
	}
	return n
}

// covers says whether a set is one of the roll-out.
func (r *rollout) matches(s *observationSet) bool {
	if s.Service != r.Service || s.Target != r.Target {
		return false
	}
	return s.Order == r.offset || slices.Contains(r.earlierOffsets, s.Order)
}

// latest are the observations of other processes on a roll-out: one of each process, which writes under
// another key once an order is written again. The lock is held.
func (b *observationStore) latest(r *rollout) map[processID]observationSet {
	out := map[processID]observationSet{}
	for _, s := range b.others {
		id := processID{s.Instance, s.ProcessStart}
		if !r.matches(&s) || id == (processID{b.instance, b.processStart}) {
			continue
		}
		if known, ok := out[id]; !ok || known.answerCount() < s.answerCount() {
			out[id] = s
		}
	}
	return out
}

// processID tells the processes of all instances apart.
type processID struct {
	instance string
	start    uint64
}
