package manifest

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two manifests.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Item is the kind and ID of an entry, such as "team weavers" or
	// "version draft@2".
	Item string `json:"item"`
	// Detail shows the entry before and after the change, if Kind is "changed".
	Detail string `json:"detail,omitempty"`
}

// Diff returns what changes from one manifest to another: teams, versions, services
// and objectives, sorted by item. Orders are not compared.
func Diff(from, to Manifest) []Change {
	var out []Change
	out = append(out, diffEntries("team", teamsByID(from), teamsByID(to))...)
	out = append(out, diffEntries("version", versionsByID(from), versionsByID(to))...)
	out = append(out, diffEntries("service", servicesByID(from), servicesByID(to))...)
	out = append(out, diffEntries("objective", objectivesByTeam(from), objectivesByTeam(to))...)
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

func diffEntries(kind string, from, to map[string]any) []Change {
	var out []Change
	for id, old := range from {
		item := kind + " " + id
		now, kept := to[id]
		switch {
		case !kept:
			out = append(out, Change{Kind: "removed", Item: item})
		case !reflect.DeepEqual(old, now):
			out = append(out, Change{Kind: "changed", Item: item, Detail: fmt.Sprintf("%+v -> %+v", old, now)})
		}
	}
	for id := range to {
		if _, had := from[id]; !had {
			out = append(out, Change{Kind: "added", Item: kind + " " + id})
		}
	}
	return out
}

func teamsByID(m Manifest) map[string]any {
	out := map[string]any{}
	for _, t := range m.Teams {
		out[t.ID] = t
	}
	return out
}

func versionsByID(m Manifest) map[string]any {
	out := map[string]any{}
	for _, v := range m.Versions {
		out[v.ID] = v
	}
	return out
}

func servicesByID(m Manifest) map[string]any {
	out := map[string]any{}
	for _, s := range m.Services {
		out[s.ID] = s
	}
	return out
}

func objectivesByTeam(m Manifest) map[string]any {
	out := map[string]any{}
	for _, o := range m.Objectives {
		out[o.Team] = o
	}
	return out
}
