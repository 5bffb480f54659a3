package manifest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

func validManifest() Manifest {
	return Manifest{
		Generation:  1,
		Publication: "run-1",
		Teams: []Team{{
			ID: "weavers", KeyHashes: []string{HashKey("loom")}, Weight: 2, QualityTarget: 0.7,
			Allowed: []string{"draft@1", "draft@2"}, Services: []string{"shop"},
		}},
		Versions: []Version{
			{ID: "draft@1", Model: "draft", State: StateServing, Share: 1, Cost: 1, Quality: 0.6},
			{ID: "draft@2", Model: "draft", State: StateServing, Share: 0.1, Predecessor: "draft@1", Cost: 2, Quality: 0.8},
		},
		Services: []Service{{ID: "shop", Routes: []Route{
			{Method: "GET", Path: "/stock/*", Idempotent: true},
			{Method: "POST", Path: "/reservations"},
		}}},
		Orders:     &Orders{Placements: []Placement{{Version: "draft@1", Servers: 2}}},
		Objectives: []Objective{{Team: "weavers", Availability: 0.999}},
	}
}

// TestValidateNamesEachFault corrupts one field at a time. A fault that validation
// misses would be put in force at every instance; a fault without its path could not
// be found by the publisher.
func TestValidateNamesEachFault(t *testing.T) {
	if faults := Validate(validManifest()); len(faults) > 0 {
		t.Fatalf("valid manifest: %v", faults)
	}
	for path, corrupt := range map[string]func(*Manifest){
		"publication":                func(m *Manifest) { m.Publication = "" },
		"versions[0].id":             func(m *Manifest) { m.Versions[0].ID = "draft" },
		"versions[1].id":             func(m *Manifest) { m.Versions[1].ID = "draft@1" },
		"versions[1].predecessor":    func(m *Manifest) { m.Versions[1].Predecessor = "draft@9" },
		"versions[0].model":          func(m *Manifest) { m.Versions[0].Model = "other" },
		"versions[0].state":          func(m *Manifest) { m.Versions[0].State = "gone" },
		"versions[1].share":          func(m *Manifest) { m.Versions[1].Share = 1.5 },
		"versions[1].cost":           func(m *Manifest) { m.Versions[1].Cost = -1 },
		"teams[0].id":                func(m *Manifest) { m.Teams[0].ID = "a/b" },
		"teams[0].weight":            func(m *Manifest) { m.Teams[0].Weight = 0 },
		"teams[0].allowed[1]":        func(m *Manifest) { m.Teams[0].Allowed[1] = "draft@7" },
		"teams[0].services[0]":       func(m *Manifest) { m.Teams[0].Services[0] = "lending" },
		"teams[0].key_hashes[0]":     func(m *Manifest) { m.Teams[0].KeyHashes[0] = "loom" },
		"services[0].routes[0].path": func(m *Manifest) { m.Services[0].Routes[0].Path = "/[" },
		"orders.placements[0].version": func(m *Manifest) {
			m.Orders = &Orders{Placements: []Placement{{Version: "draft@9", Servers: 1}}}
		},
		"orders.placements[0].servers": func(m *Manifest) {
			m.Orders = &Orders{Placements: []Placement{{Version: "draft@1", Servers: 0}}}
		},
		"objectives[0].team":         func(m *Manifest) { m.Objectives[0].Team = "dyers" },
		"objectives[0].availability": func(m *Manifest) { m.Objectives[0].Availability = 1 },
	} {
		m := validManifest()
		corrupt(&m)
		found := slices.ContainsFunc(Validate(m), func(f Fault) bool { return f.Path == path })
		if !found {
			t.Errorf("%s: not among the faults %v", path, Validate(m))
		}
	}
}

// TestIndexPermissions guards against admitting a caller by a key's hash, a team to
// what it may not use, and a repeated call that is not idempotent.
func TestIndexPermissions(t *testing.T) {
	x := NewIndex(validManifest(), "d")
	if team, ok := x.TeamByKey("loom"); !ok || team.ID != "weavers" {
		t.Errorf("key: got %v, %v, want team weavers", team, ok)
	}
	if _, ok := x.TeamByKey(HashKey("loom")); ok {
		t.Error("the hash itself is taken as a key")
	}
	if !x.MayUse("weavers", "draft") || x.MayUse("weavers", "other") || x.MayUse("dyers", "draft") {
		t.Error("MayUse allows too much or too little")
	}
	s, known, allowed := x.Service("weavers", "shop")
	if !known || !allowed {
		t.Error("Service does not allow the team's service")
	}
	for call, want := range map[string]bool{"GET /stock/wool": true, "POST /reservations": false, "GET /unknown": false, "POST /stock/wool": false} {
		method, path, _ := strings.Cut(call, " ")
		if s.Idempotent(method, path) != want {
			t.Errorf("%s: idempotent is not %v", call, want)
		}
	}
}

// TestHolderNeverReverts replays older generations, as a reader that lags behind
// does. They must not replace the manifest in force.
func TestHolderNeverReverts(t *testing.T) {
	var applied []uint64
	h := NewHolder(func(x *Index) { applied = append(applied, x.Manifest.Generation) })
	for _, generation := range []uint64{1, 2, 1, 3, 2, 3} {
		m := validManifest()
		m.Generation = generation
		value, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		change := fold.Change{Verdict: fold.VerdictWon, Register: fold.Register{Value: value}}
		if err := h.Fold(change); err != nil {
			t.Fatal(err)
		}
	}
	if want := []uint64{1, 2, 3}; !slices.Equal(applied, want) || h.Generation() != 3 {
		t.Errorf("applied generations %v, %d in force; want 1 to 3 once each and 3 in force", applied, h.Generation())
	}
}

// TestHolderRemembersPublications checks that the last maxAccepted publications are
// remembered, and that the memory for them is bounded.
func TestHolderRemembersPublications(t *testing.T) {
	h := NewHolder(nil)
	for i := range uint64(maxAccepted + 2) {
		h.remember(Manifest{Publication: fmt.Sprint(i), Generation: i + 1})
	}
	h.remember(Manifest{Publication: "5", Generation: 9000})
	if g, ok := h.AcceptedGeneration("5"); !ok || g != 9000 {
		t.Errorf("got generation %d, %v, want 9000, true", g, ok)
	}
	if _, ok := h.AcceptedGeneration("1"); ok || len(h.accepted) != maxAccepted || len(h.acceptedOrder) != maxAccepted {
		t.Errorf("%d publications remembered, %d in acceptedOrder, want maxAccepted of each without the oldest", len(h.accepted), len(h.acceptedOrder))
	}
}

// TestCheckRecordRejectsInvalidManifests checks that the fold does not accept a
// record whose manifest cannot be parsed or is invalid, whoever wrote it to the log.
func TestCheckRecordRejectsInvalidManifests(t *testing.T) {
	bad := validManifest()
	bad.Teams[0].Weight = -1
	for name, value := range map[string][]byte{
		"invalid":     mustJSON(t, bad),
		"unknown key": []byte(`{"publication":"x","colour":"red"}`),
		"two values":  []byte(`{} {}`),
		"not JSON":    []byte(`{`),
	} {
		if err := CheckRecord(record.Record{Value: value}); err == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
	if err := CheckRecord(record.Record{Value: mustJSON(t, validManifest())}); err != nil {
		t.Errorf("valid: %v", err)
	}
}

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestDiff checks that entries that were added, removed and changed are listed, and
// no others. The diff command prints this list, so a missing entry would hide a
// change from the operator.
func TestDiff(t *testing.T) {
	to := validManifest()
	to.Versions[1].Share = 0.5
	to.Teams = append(to.Teams, Team{ID: "dyers"})
	to.Services = nil
	var got []string
	for _, c := range Diff(validManifest(), to) {
		got = append(got, c.Kind+" "+c.Item)
	}
	want := []string{"removed service shop", "added team dyers", "changed version draft@2"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// FuzzParse parses arbitrary data, encodes each valid manifest and checks the
// encoding as the fold does.
func FuzzParse(f *testing.F) {
	data, err := json.Marshal(validManifest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"teams":[{}],"versions":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil || len(Validate(m)) > 0 {
			return
		}
		// A valid manifest must still be valid after encoding, else readers of the
		// log would reject what its publisher accepted.
		encoded, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckRecord(record.Record{Value: encoded}); err != nil {
			t.Fatalf("accepted, but refused from the log: %v", err)
		}
	})
}
