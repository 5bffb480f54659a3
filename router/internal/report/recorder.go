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

// Sample describes one ended request.
type Sample struct {
	Team string
	// Version that ran it; empty for a plain service, or if none did.
	Version string
	// Outcome and Code say whether the caller was served, and why not.
	Outcome outcome.Kind
	Code    string
	// FirstToken is the time to the first token, or to the end of an answer that was not
	// streamed; InterToken is the mean time between tokens. Zero if there is none.
	FirstToken time.Duration
	InterToken time.Duration
	// Cost over all attempts, in the unit of the manifest's costs; zero if the request
	// is not billed.
	Cost float64
}

// Recorder counts ended requests. It is safe for concurrent use. Its memory is
// bounded by maxTeams and maxVersions.
type Recorder struct {
	now   func() time.Time
	since time.Time

	mu         sync.Mutex
	teams      map[string]*teamMetrics
	generation uint64
	objectives map[string]manifest.Objective
	// badVersions are the versions with a bad verdict that has not been cleared.
	badVersions map[string]bool
}

// teamMetrics are the counters and histograms of one team. Each has its own lock,
// because a snapshot of one team takes some milliseconds and must not delay the
// requests of the others.
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

// SetObjectives sets the objectives of the manifest in force. An answer is counted
// as slow by the objective at its end, so that a later change of the objective does
// not change earlier counts.
func (r *Recorder) SetObjectives(generation uint64, objectives []manifest.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation = generation
	r.objectives = make(map[string]manifest.Objective, len(objectives))
	for _, o := range objectives {
		r.objectives[o.Team] = o
	}
}

// SetVerdict sets the verdict of this instance or of a peer on a version. Requests
// that ran on a version before it was judged bad count as exposed too. At most
// maxVersions versions are kept as bad.
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

// metricsOf returns a team's metrics and its objective. API keys have been checked, so
// teams are those of the manifest; the bound is for a manifest with very many.
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

// codeCancelled is the code of a request that its caller cancelled.
const codeCancelled = "cancelled"

// countAvailability counts a request as served or unavailable by what the caller
// got. A failure that the caller caused (a wrong model, an Idempotency-Key that is too
// old or was used before, a cancelled request) says nothing about the system and is not
// counted. A refusal that asks the caller to retry later (429, 503) is counted.
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

// exceedsObjective returns 1 if d is over the objective, else 0. An objective of 0
// means that there is none.
func exceedsObjective(d time.Duration, objectiveMS int) uint64 {
	if objectiveMS > 0 && d > time.Duration(objectiveMS)*time.Millisecond {
		return 1
	}
	return 0
}

// Snapshot returns what this instance has counted, in a form that can be merged with
// other instances' snapshots. It fails only if a histogram cannot be encoded or decoded.
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

// snapshotHeader returns a snapshot without teams, and the teams' metrics.
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

// points returns the counts of the last 6 h in spans of pointSpan. They begin at the
// same times at all instances, so that their counts can be added up. Empty spans are
// left out.
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
