package passthrough

import "testing"

// TestLongestPrefixOfTheHostWins guards against requests on the route of another host or of a
// shorter path prefix.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	x := NewIndex(Config{Routes: []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "shop", Host: "a.example", PathPrefix: "/shop/"},
		{Name: "wool", Host: "a.example", PathPrefix: "/shop/wool/"},
		{Name: "other", Host: "b.example", PathPrefix: "/shop/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/shop/wool/1", "wool"},
		{"A.example:8080", "/shop/yarn", "shop"},
		{"a.example", "/shop", "root"},
		{"b.example", "/shop/wool/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/shop/", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := x.Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s: %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// TestPickServiceByWeight guards against services that get another part of the requests than
// their weights state.
func TestPickServiceByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"none", 0}, {"b", 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.PickService(draw); got != want {
			t.Errorf("%v: %s, want %s", draw, got, want)
		}
	}
	if (&Route{}).PickService(0.5) != "" {
		t.Error("PickService chose a service for a route without backends")
	}
}

// TestTeamKeysAndPriorities guards against keys that match other keys or none, against wrong
// requirements for a key, and against a route's priority that overrides the team's.
func TestTeamKeysAndPriorities(t *testing.T) {
	x := NewIndex(Config{Teams: []Team{{Name: "t", Keys: []string{"k"}, Priority: 3, HasPriority: true}, {Name: "u"}}})
	if x.Team("k") == nil || x.Team("") != nil || x.Team("x") != nil {
		t.Error("keys are not matched exactly")
	}
	if !x.NeedsKey(&Route{}) || x.NeedsKey(&Route{Public: true}) || NewIndex(Config{}).NeedsKey(&Route{}) {
		t.Error("NeedsKey is wrong for a private route, a public route, or a configuration without teams")
	}
	if EffectivePriority(x.Team("k"), &Route{Priority: 1}) != 3 || EffectivePriority(&Team{}, &Route{Priority: 1}) != 1 || EffectivePriority(nil, &Route{Priority: 2}) != 2 {
		t.Error("the team's priority does not override the route's")
	}
}
