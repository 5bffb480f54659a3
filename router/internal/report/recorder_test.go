package report

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"masticplank.example/router/internal/manifest"
	"masticplank.example/router/internal/outcome"
)

// clock is a clock that the test sets.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

var begin = time.Date(2026, 9, 1, 6, 0, 0, 0, time.UTC)

func served(team, version string, first time.Duration) Sample {
	return Sample{Team: team, Version: version, Outcome: outcome.Completed, FirstToken: first, InterToken: 20 * time.Millisecond, Cost: 0.5}
}

var agencyObjectives = []manifest.Objective{
	{Team: "ecoles", Availability: 0.99, FirstTokenMS: 350, InterTokenMS: 47, CostPerRequest: 0.4, BadExposure: 0.1},
	{Team: "parents", Availability: 0.999},
}

func snapshot(t testing.TB, r *Recorder, name string) Snapshot {
	t.Helper()
	s, err := r.Snapshot(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestWindowsDropOlderCounts guards against counts and histograms that stay in a
// window after its span, also when a slot of the counters or a span of the histograms
// is used again.
func TestWindowsDropOlderCounts(t *testing.T) {
	c := &clock{begin}
	r := NewRecorder(c.now)
	r.Record(served("ecoles", "m@1", time.Second))
	for _, step := range []struct {
		after time.Duration
		want  map[string]uint64
	}{
		{0, map[string]uint64{"5m": 1, "30m": 1, "1h": 1, "6h": 1}},
		{4 * time.Minute, map[string]uint64{"5m": 1, "30m": 1, "1h": 1, "6h": 1}},
		{5 * time.Minute, map[string]uint64{"5m": 0, "30m": 1, "1h": 1, "6h": 1}},
		{30 * time.Minute, map[string]uint64{"5m": 0, "30m": 0, "1h": 1, "6h": 1}},
		{time.Hour, map[string]uint64{"5m": 0, "30m": 0, "1h": 0, "6h": 1}},
		{6 * time.Hour, map[string]uint64{"5m": 0, "30m": 0, "1h": 0, "6h": 0}},
		{60 * time.Hour, map[string]uint64{"5m": 0, "30m": 0, "1h": 0, "6h": 0}},
	} {
		c.t = begin.Add(step.after)
		team := snapshot(t, r, "i").Teams[0]
		for name, want := range step.want {
			if got := team.Windows[name].Served; got != want {
				t.Errorf("after %v, window %s: %d, want %d", step.after, name, got, want)
			}
		}
		withinHour := step.after < time.Hour
		if got := team.FirstToken != nil; got != withinHour {
			t.Errorf("after %v: histogram kept: %v, want %v", step.after, got, withinHour)
		}
	}
	// 60 h are a multiple of 6 h, so this uses the slot of the first record again.
	r.Record(served("ecoles", "m@1", time.Second))
	if got := snapshot(t, r, "i").Teams[0].Windows["6h"].Served; got != 1 {
		t.Errorf("a reused slot counts %d, want 1", got)
	}
}

// TestOnlyTheSystemsFaultsCountAgainstAvailability guards against failures that callers
// cause, such as an unknown model, being counted as unavailable, and against refusals by
// the system that are not.
func TestOnlyTheSystemsFaultsCountAgainstAvailability(t *testing.T) {
	r := NewRecorder((&clock{begin}).now)
	for _, s := range []struct {
		kind outcome.Kind
		code string
		want Counts
	}{
		{outcome.Completed, "", Counts{Served: 1}},
		{outcome.Refused, "queue_full", Counts{Unavailable: 1}},
		{outcome.Refused, "wait_exceeds_deadline", Counts{Unavailable: 1}},
		{outcome.Refused, "instance_not_fresh", Counts{Unavailable: 1}},
		{outcome.Refused, "no_backend_server", Counts{Unavailable: 1}},
		{outcome.Failed, "failed", Counts{Unavailable: 1}},
		{outcome.Unknown, "unknown", Counts{Unavailable: 1}},
		{outcome.Refused, "model_not_allowed", Counts{}},
		{outcome.Refused, "unknown_model", Counts{}},
		{outcome.Refused, "key_expired", Counts{}},
		{outcome.Refused, "session_version_withdrawn", Counts{}},
		{outcome.AlreadyRun, "already_run", Counts{}},
		{outcome.Unknown, "cancelled", Counts{}},
	} {
		var got Counts
		countAvailability(&got, Sample{Outcome: s.kind, Code: s.code})
		if !reflect.DeepEqual(got, s.want) {
			t.Errorf("%s %s: got %+v, want the counts of the case", s.kind, s.code, got)
		}
	}
	r.Record(Sample{Team: "t", Outcome: outcome.Refused, Code: "queue_full"})
	if got := snapshot(t, r, "i").Teams[0].Windows["5m"]; got.Unavailable != 1 || got.FirstTokens != 0 || got.Billed != 0 {
		t.Errorf("got %+v, want one unavailable request and nothing else", got)
	}
}

// TestSlowAnswersAreCountedByTheObjectiveInForce guards against a new objective that
// changes which earlier answers count as slow.
func TestSlowAnswersAreCountedByTheObjectiveInForce(t *testing.T) {
	r := NewRecorder((&clock{begin}).now)
	r.Record(served("ecoles", "", time.Second)) // no objective yet
	r.SetObjectives(1, agencyObjectives)
	r.Record(served("ecoles", "", 350*time.Millisecond))
	r.Record(served("ecoles", "", 351*time.Millisecond))
	r.SetObjectives(2, []manifest.Objective{{Team: "ecoles", FirstTokenMS: 100}})
	r.Record(served("ecoles", "", 101*time.Millisecond))
	got := snapshot(t, r, "i").Teams[0].Windows["1h"]
	if got.FirstTokens != 4 || got.SlowFirstTokens != 2 || got.SlowInterTokens != 0 {
		t.Errorf("got %+v, want 4 first tokens, 2 of them slow, and no slow inter-token time", got)
	}
}

// TestMergedSnapshotsEqualOneRecorder guards against a merge that counts requests
// twice or drops them: it records the same requests at one instance and spread over
// three, and compares the reports.
func TestMergedSnapshotsEqualOneRecorder(t *testing.T) {
	c := &clock{begin}
	whole := NewRecorder(c.now)
	parts := []*Recorder{NewRecorder(c.now), NewRecorder(c.now), NewRecorder(c.now)}
	for _, r := range append(parts, whole) {
		r.SetObjectives(7, agencyObjectives)
	}
	parts[2].SetVerdict("m@2", true)
	whole.SetVerdict("m@2", true)
	whole.SetVerdict("m@9", true)
	whole.SetVerdict("m@9", false)
	for i := range 500 {
		c.t = begin.Add(time.Duration(i) * 44 * time.Second)
		s := served([]string{"ecoles", "parents"}[i%2], fmt.Sprintf("m@%d", 1+i%3), time.Duration(i%900)*time.Millisecond)
		if i%50 == 0 {
			s.Outcome, s.Code = outcome.Failed, "failed"
		}
		whole.Record(s)
		parts[i%3].Record(s)
	}
	var sources []Source
	for i, p := range parts {
		sources = append(sources, Source{Address: fmt.Sprint(i), Snapshot: roundTrip(t, snapshot(t, p, fmt.Sprint(i)))})
	}
	one := Build(c.t, []Source{{Address: "w", Snapshot: snapshot(t, whole, "w")}})
	three := Build(c.t, sources)
	if !reflect.DeepEqual(one.Teams[0].Levels, three.Teams[0].Levels) || !reflect.DeepEqual(one.Bad, three.Bad) {
		t.Errorf("three recorders differ from one; one:\n%+v\nthree:\n%+v", one.Teams[0].Levels, three.Teams[0].Levels)
	}
	if one.Teams[0].Levels[0].Events == 0 || one.Teams[0].Levels[4].Measured == 0 {
		t.Errorf("nothing was measured: %+v", one.Teams[0].Levels)
	}
}

func roundTrip(t *testing.T, s Snapshot) Snapshot {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var out Snapshot
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRecorderIsBounded guards against memory that grows with the number of teams and
// versions, and against requests beyond the bounds that are not counted.
func TestRecorderIsBounded(t *testing.T) {
	r := NewRecorder((&clock{begin}).now)
	for i := range 2 * maxTeams {
		r.Record(served(fmt.Sprintf("team-%d", i), "m@1", time.Hour))
		r.Record(served("team-0", fmt.Sprintf("m@%d", i), -time.Hour))
		r.SetVerdict(fmt.Sprintf("m@%d", i), true)
	}
	s := snapshot(t, r, "i")
	if len(s.Teams) != maxTeams+1 || len(s.BadVersions) != maxVersions {
		t.Errorf("%d teams and %d bad versions, want maxTeams+1 and maxVersions", len(s.Teams), len(s.BadVersions))
	}
	for _, team := range s.Teams {
		if got := len(team.Windows["6h"].Versions); got > maxVersions+1 {
			t.Errorf("%s: %d versions, want at most maxVersions+1", team.Team, got)
		}
		if team.Team == otherTeams && team.Windows["6h"].Served != maxTeams {
			t.Errorf("%d requests of other teams, want maxTeams", team.Windows["6h"].Served)
		}
	}
}
