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
	Item   string `json:"item"`
	Detail string `json:"detail,omitempty"`
}

// Diff returns the differences of to from from, sorted by item.
func Diff(from, to Manifest) []Change {
	var out []Change
	out = append(out, diffRows("team", teamRows(from), teamRows(to))...)
	out = append(out, diffRows("version", versionRows(from), versionRows(to))...)
	out = append(out, diffRows("service", serviceRows(from), serviceRows(to))...)
	out = append(out, diffRows("objective", objectiveRows(from), objectiveRows(to))...)
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

func diffRows(kind string, from, to map[string]any) []Change {
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

func teamRows(m Manifest) map[string]any {
	rows := map[string]any{}
	for _, t := range m.Teams {
		rows[t.ID] = t
	}
	return rows
}

func versionRows(m Manifest) map[string]any {
	rows := map[string]any{}
	for _, v := range m.Versions {
		rows[v.ID] = v
	}
	return rows
}

func serviceRows(m Manifest) map[string]any {
	rows := map[string]any{}
	for _, s := range m.Services {
		rows[s.ID] = s
	}
	return rows
}

func objectiveRows(m Manifest) map[string]any {
	rows := map[string]any{}
	for _, o := range m.Objectives {
		rows[o.Team] = o
	}
	return rows
}
