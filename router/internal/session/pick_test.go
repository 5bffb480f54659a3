package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
	"masticplank.example/router/internal/manifest"
)

type badOnes map[string]bool

func (b badOnes) Bad(v string) bool { return b[v] }

// rollout is a manifest in which m@3 takes share of the sessions.
func rollout(share float64) *manifest.Index {
	return manifest.NewIndex(manifest.Manifest{
		Teams: []manifest.Team{
			{ID: "all", Allowed: []string{"m@1", "m@2", "m@3", "n@1"}},
			{ID: "old", Allowed: []string{"m@2"}},
		},
		Versions: []manifest.Version{
			{ID: "m@1", Model: "m", State: manifest.StateDraining, Share: 1},
			{ID: "m@2", Model: "m", State: manifest.StateServing, Predecessor: "m@1", Share: 1},
			{ID: "m@3", Model: "m", State: manifest.StateServing, Predecessor: "m@2", Share: share},
			{ID: "n@1", Model: "n", State: manifest.StateWithdrawn, Share: 1},
		},
	}, "")
}

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name, team string
		share      float64
		hash       float64
		bad        badOnes
		want       string
	}{
		{"in the roll-out", "all", 0.2, 0.19, nil, "m@3"},
		{"beyond it", "all", 0.2, 0.2, nil, "m@2"},
		{"raised share only adds", "all", 0.5, 0.19, nil, "m@3"},
		{"full", "all", 1, 0.99, nil, "m@3"},
		{"none", "all", 0, 0, nil, "m@2"},
		{"not allowed passes on", "old", 1, 0.5, nil, "m@2"},
		{"bad passes on", "all", 1, 0.5, badOnes{"m@3": true}, "m@2"},
		{"older bad passes to newer", "all", 0, 0.5, badOnes{"m@2": true}, "m@3"},
		{"all bad", "all", 1, 0.5, badOnes{"m@2": true, "m@3": true}, "m@3"},
		{"nothing allowed", "nobody", 1, 0.5, nil, ""},
	} {
		pins := Pick(rollout(c.share), c.team, c.hash, c.bad)
		if pins["m"] != c.want || pins["n"] != "" {
			t.Errorf("%s: got %v, want %s", c.name, pins, c.want)
		}
	}
}

func TestServiceOpensAndResolves(t *testing.T) {
	now := start
	store := &fakeStore{registers: map[record.Key]fold.Register{}}
	s := NewService(tokens(t, &now, "k"), NewNames(store, time.Hour), nil)
	team := manifest.Team{ID: "all"}
	ctx := context.Background()

	token, opened, _, err := s.Open(team, rollout(0))
	if err != nil || opened.Pins["m"] != "m@2" {
		t.Fatalf("got %+v, %v", opened, err)
	}
	again, err := s.Resolve(ctx, team, rollout(1), token)
	if err != nil || again.Pins["m"] != "m@2" || again.ShareHash != opened.ShareHash {
		t.Errorf("token after the roll-out: got %+v, %v", again, err)
	}
	for _, share := range []float64{0, 1} {
		named, err := s.Resolve(ctx, team, rollout(share), "tapis-7")
		if err != nil || named.Pins["m"] != "m@2" {
			t.Errorf("name at share %v: got %+v, %v", share, named, err)
		}
	}
	if _, err := s.Resolve(ctx, manifest.Team{ID: "old"}, rollout(1), token); !errors.Is(err, &Error{Reason: ReasonTeam}) {
		t.Errorf("other team's token: got %v", err)
	}
	if _, err := s.Resolve(ctx, team, rollout(1), "no name"); !errors.Is(err, &Error{Reason: ReasonName}) {
		t.Errorf("bad name: got %v", err)
	}
}
