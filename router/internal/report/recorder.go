package report

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
)

// Sample is one ended request.
type Sample struct {
	Team string
	// Version that ran it; empty for a plain service, or where none did.
	Version string
	// Outcome and its code say whether the caller was served.
	Outcome outcome.Kind
	Code    string
	// FirstToken and InterToken (the mean gap) are zero where there is none.
	FirstToken time.Duration
	InterToken time.Duration
	// Cost is zero for what is not billed.
	Cost float64
}

// Recorder counts ended requests. It is safe for concurrent use. Its memory is
// bounded by maxTeams.
type Recorder struct {
	now   func() time.Time
	since time.Time

	mu         sync.Mutex
	teams      map[string]*teamMetrics
	generation uint64
	objectives map[string]manifest.Objective
	// bad are the versions that are judged bad, or were and are not cleared.
	badVersions map[string]bool
}

// teamRow has a lock of its own: making a snapshot of one team takes some
// milliseconds, and must not hold up the requests of the others.
type teamMetrics struct {
	mu         sync.Mutex
	ring       slotRing
	firstToken rollingHistogram
	interToken rollingHistogram
}

// NewRecorder returns an empty Recorder; now is the clock.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{
		now:         now,
		since:       now(),
		teams:       map[string]*teamMetrics{},
		objectives:  map[string]manifest.Objective{},
		badVersions: map[string]bool{},
	}
}

// SetObjectives takes the objectives of the manifest in force. Slow answers are
// counted against the objective of their time, so that a later change of it
// does not rewrite the past.
func (r *Recorder) SetObjectives(generation uint64, rows []manifest.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation = generation
	r.objectives = make(map[string]manifest.Objective, len(rows))
	for _, o := range rows {
		r.objectives[o.Team] = o
	}
}

// SetVerdict takes a verdict on a version, own or a peer's. Requests that ran
// on it before count as exposed as well.
func (r *Recorder) SetVerdict(version string, bad bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !bad:
		delete(r.badVersions, version)
	case len(r.badVersions) < maxVersions:
		r.badVersions[version] = true
	}
}

// Record counts one ended request.
func (r *Recorder) Record(s Sample) {
	m, objective := r.metricsOf(s.Team)
	now := r.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.ring.slotAt(now)
	countAvailability(slot, s)
	if s.Version != "" {
		slot.addRuns(s.Version, 1)
	}
	if s.Cost > 0 {
		slot.Cost += s.Cost
		slot.Billed++
	}
	if s.FirstToken > 0 {
		m.firstToken.record(now, s.FirstToken)
		slot.FirstTokens++
		slot.SlowFirstTokens += exceedsObjective(s.FirstToken, objective.FirstTokenMS)
	}
	if s.InterToken > 0 {
		m.interToken.record(now, s.InterToken)
		slot.InterTokens++
		slot.SlowInterTokens += exceedsObjective(s.InterToken, objective.InterTokenMS)
	}
}

// row finds a team's row and its objective. API keys are checked before, so teams are those of
// the manifest; the bound is for a manifest with very many.
func (r *Recorder) metricsOf(team string) (*teamMetrics, manifest.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	objective := r.objectives[team]
	m, ok := r.teams[team]
	if !ok && len(r.teams) >= maxTeams {
		team = otherTeams
		m, ok = r.teams[team]
	}
	if !ok {
		m = &teamMetrics{}
		r.teams[team] = m
	}
	return m, objective
}

// codeCancelled is the code of a request that its caller gave up.
const codeCancelled = "cancelled"

// countAvailability judges by what the caller got. What the caller caused (a
// wrong model, an expired key, a key used before, a cancel) says nothing about
// the system; being told to come back later (429, 503) does.
func countAvailability(c *Counts, s Sample) {
	if s.Outcome == outcome.Completed {
		c.Served++
		return
	}
	status := outcome.Outcome{Kind: s.Outcome, Code: s.Code}.Status()
	byCaller := status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	if !byCaller && s.Code != codeCancelled {
		c.Unavailable++
	}
}

// over is 1 where d is over the objective in ms; 0 is no objective.
func exceedsObjective(d time.Duration, objectiveMS int) uint64 {
	if objectiveMS > 0 && d > time.Duration(objectiveMS)*time.Millisecond {
		return 1
	}
	return 0
}

// Snapshot is what this instance counted, in a form that merges with others'.
func (r *Recorder) Snapshot(instance string) (Snapshot, error) {
	now := r.now()
	out, teams := r.snapshotHeader()
	out.Instance, out.At = instance, now
	for name, m := range teams {
		team, err := m.snapshot(name, now)
		if err != nil {
			return Snapshot{}, trace.Wrap(err)
		}
		out.Teams = append(out.Teams, team)
	}
	out.sort()
	return out, nil
}

// head is the part of a snapshot that is not a team's, and the teams' rows.
func (r *Recorder) snapshotHeader() (Snapshot, map[string]*teamMetrics) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Snapshot{Since: r.since, Generation: r.generation}
	for _, o := range r.objectives {
		out.Objectives = append(out.Objectives, o)
	}
	for v := range r.badVersions {
		out.BadVersions = append(out.BadVersions, v)
	}
	return out, maps.Clone(r.teams)
}

func (m *teamMetrics) snapshot(name string, now time.Time) (TeamSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := TeamSnapshot{Team: name, Windows: map[string]Counts{}}
	for _, w := range Windows() {
		out.Windows[w.Name] = m.ring.sum(now, w.Span)
	}
	out.Points = m.points(now)
	var err error
	if out.FirstToken, err = m.firstToken.encode(now); err != nil {
		return out, trace.Wrap(err)
	}
	out.InterToken, err = m.interToken.encode(now)
	return out, trace.Wrap(err)
}

// points are the last 6 h in spans that begin at the same times everywhere, so
// that those of several instances add up. Empty ones are left out.
func (m *teamMetrics) points(now time.Time) []Point {
	const slots = int64(pointSpan / slotSpan)
	last := now.Truncate(pointSpan)
	var out []Point
	for i := pointCount - 1; i >= 0; i-- {
		begin := last.Add(-time.Duration(i) * pointSpan)
		first := slotNumber(begin)
		counts := m.ring.between(first, first+slots-1)
		if !counts.Empty() {
			out = append(out, Point{Begin: begin.Unix(), Counts: counts})
		}
	}
	return out
}
