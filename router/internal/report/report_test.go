package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"masticplank.example/router/internal/outcome"
)

// degradedFleet is the report of two instances, and of one that does not answer, after
// three hours. In the last half hour, a version that is judged bad serves one team.
func degradedFleet(t *testing.T) Report {
	t.Helper()
	c := &clock{begin}
	a, b := NewRecorder(c.now), NewRecorder(c.now)
	for _, r := range []*Recorder{a, b} {
		r.SetObjectives(41, agencyObjectives)
	}
	const steps = 3 * 60 * 2
	for i := range steps {
		c.t = begin.Add(time.Duration(i) * 30 * time.Second)
		s := served("ecoles", "resume@3", 120*time.Millisecond)
		if i >= steps-60 {
			s = served("ecoles", "resume@4", 900*time.Millisecond)
			if i%2 == 0 {
				s.Outcome, s.Code = outcome.Failed, "failed"
			}
		}
		a.Record(s)
		b.Record(served("parents", "lettre@1", 80*time.Millisecond))
	}
	a.SetVerdict("resume@4", true)
	return Build(c.t, []Source{
		{Address: "10.62.1.11:8081", Snapshot: roundTrip(t, snapshot(t, a, "entry-nyarugenge-1"))},
		{Address: "10.62.3.12:8081", Err: errors.New("no answer from http://10.62.3.12:8081")},
		{Address: "10.62.2.11:8081", Snapshot: roundTrip(t, snapshot(t, b, "entry-gasabo-1"))},
	})
}

// TestGolden guards against changed output for a terminal or for programs, and against a
// report that hides an instance that did not answer.
func TestGolden(t *testing.T) {
	r := degradedFleet(t)
	g := goldie.New(t, goldie.WithFixtureDir("testdata"))
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "burn.txt", text.Bytes())
	g.AssertJson(t, "burn.json", r)
	if !strings.Contains(text.String(), "10.62.3.12:8081: no answer from") {
		t.Error("the instance that did not answer is missing")
	}
}

// TestAlertState guards against an alert for a failure that is short or has ended, a
// missed alert under a budget too large for the burn rates to be reached, and a page
// for cost, which raises tickets only.
func TestAlertState(t *testing.T) {
	rates := func(r5m, r1h, r30m, r6h float64) map[string]float64 {
		return map[string]float64{"5m": r5m, "1h": r1h, "30m": r30m, "6h": r6h}
	}
	for _, c := range []struct {
		name   string
		kind   LevelKind
		burn   map[string]float64
		events uint64
		budget float64
		want   State
	}{
		{"no budget used", LevelAvailability, rates(0, 0, 0, 0), 9, 0.001, StateOK},
		{"no events", LevelAvailability, rates(0, 0, 0, 0), 0, 0, StateNoData},
		{"fast burn", LevelAvailability, rates(20, 15, 15, 3), 9, 0.001, StatePage},
		{"fast burn that has ended", LevelAvailability, rates(0, 15, 1, 3), 9, 0.001, StateOK},
		{"a few bad seconds", LevelAvailability, rates(100, 2, 3, 0.5), 9, 0.001, StateOK},
		{"slow burn", LevelAvailability, rates(7, 7, 7, 6), 9, 0.001, StateTicket},
		{"slow burn that has ended", LevelAvailability, rates(0, 2, 0, 6), 9, 0.001, StateOK},
		{"half of the answers slow under a large budget", LevelFirstToken, rates(10, 10, 10, 10), 9, 0.05, StatePage},
		{"a quarter of the answers slow under a large budget", LevelFirstToken, rates(5, 5, 5, 5), 9, 0.05, StateTicket},
		{"cost at the objective", LevelCost, rates(1, 1, 1, 1), 9, 1, StateOK},
		{"cost over it", LevelCost, rates(1.2, 1.2, 1.2, 1.1), 9, 1, StateTicket},
		{"cost far over it", LevelCost, rates(50, 50, 50, 50), 9, 1, StateTicket},
	} {
		got := alertState(Level{Kind: c.kind, Burn: c.burn, Events: c.events}, c.budget)
		if got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestReportUsesTheNewestObjectives guards against a report by the objectives of an older
// manifest, which an instance that is behind still has in force. The order of the sources
// must not matter.
func TestReportUsesTheNewestObjectives(t *testing.T) {
	old := Snapshot{Instance: "a", Generation: 1, Objectives: agencyObjectives[1:]}
	newer := Snapshot{Instance: "b", Generation: 2, Objectives: agencyObjectives[:1]}
	for _, sources := range [][]Source{{{Snapshot: old}, {Snapshot: newer}}, {{Snapshot: newer}, {Snapshot: old}}} {
		r := Build(begin, sources)
		if len(r.Teams) != 1 || r.Teams[0].Team != "ecoles" || r.Teams[0].Levels[0].State != StateNoData {
			t.Errorf("got %+v, want the team ecoles alone, in the state \"no data\"", r.Teams)
		}
	}
}

// FuzzBuild checks that no response of an instance makes the report fail, for example
// by a value that cannot be encoded.
func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"objectives":[{"team":"a","cost_per_request":1}],"teams":[{"team":"a","windows":{"6h":{"cost":1,"billed":1}}}]}`))
	f.Add([]byte(`{"objectives":[{"team":"a","cost_per_request":1e-300}],"teams":[{"team":"a","windows":{"6h":{"cost":1e308,"billed":1}},"points":[{"begin":1788242400,"cost":1e308,"billed":1},{"begin":-9000000000000000000}],"first_token":"AAAA"}]}`))
	f.Add([]byte(`{"bad":["v"],"teams":[{"team":"a","windows":{"6h":{"cost":-1e308,"served":18446744073709551615,"unavailable":1,"versions":{"v":1}}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Snapshot
		if json.Unmarshal(data, &s) != nil {
			return
		}
		report := Build(begin, []Source{{Snapshot: s}})
		var out bytes.Buffer
		if err := report.WriteText(&out); err != nil {
			t.Error(err)
		}
		if _, err := json.Marshal(report); err != nil {
			t.Error(err)
		}
	})
}

// TestStatusGolden guards against changed output, such as a lost row for an instance that
// did not answer, or a lost warning.
func TestStatusGolden(t *testing.T) {
	statuses := []InstanceStatus{
		{Address: "10.41.1.11:8081", Status: &StatusReport{
			Instance: "entry-rimouski-1", Domain: "salle-rimouski", Generation: 41, Mode: "fresh", OpenRequests: 12,
			Offset: 900, Head: 900, LogReachable: true, BadVersions: []string{"patron@4"}, EjectedServers: []string{"moteur-3", "moteur-7"},
		}},
		{Address: "10.41.2.11:8081", Status: &StatusReport{
			Instance: "entry-matane-1", Domain: "salle-matane", Generation: 40, Mode: "outage",
			Offset: 880, Head: 900, Lag: 20, HeldBills: 7,
		}},
		{Address: "10.41.3.11:8081", Error: "no answer from http://10.41.3.11:8081"},
	}
	var out bytes.Buffer
	if err := WriteStatusText(&out, statuses); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "status.txt", out.Bytes())
}
