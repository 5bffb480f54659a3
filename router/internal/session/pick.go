package session

import (
	"cmp"
	"slices"

	"masticplank.example/router/internal/manifest"
)

// Verdicts tells which versions are judged bad now. Implementations are safe
// for concurrent use.
type Verdicts interface {
	// Bad says that the version must get no new sessions.
	Bad(version string) bool
}

// Pick chooses the version of each model that team may use for a session with
// the hash, as the manifest's roll-out has it. Models without a serving version
// for the team get no pin.
//
// Shares stack up from the newest version, so that raising one only adds
// sessions to it; what they leave over belongs to the oldest. A version that is
// judged bad, or that the team may not use, passes its part on to the next
// older one: a session stays for its whole life, so beginning it on a bad
// version is the longest exposure there is.
func Pick(index *manifest.Index, team string, hash float64, verdicts Verdicts) map[string]string {
	pins := map[string]string{}
	for model, list := range serving(index.Manifest.Versions) {
		usable := func(v manifest.Version) bool {
			return index.MayUse(team, v.ID) && (verdicts == nil || !verdicts.Bad(v.ID))
		}
		if v, ok := pickOne(list, hash, usable); ok {
			pins[model] = v.ID
			continue
		}
		// All that the team may use are judged bad: refusing the model is the
		// greater harm.
		allowed := func(v manifest.Version) bool { return index.MayUse(team, v.ID) }
		if v, ok := pickOne(list, hash, allowed); ok {
			pins[model] = v.ID
		}
	}
	return pins
}

// pickOne walks from the hash's place to older versions, then to newer ones.
func pickOne(list []manifest.Version, hash float64, usable func(manifest.Version) bool) (manifest.Version, bool) {
	at := shareIndex(list, hash)
	for i := at; i < len(list); i++ {
		if usable(list[i]) {
			return list[i], true
		}
	}
	for i := at - 1; i >= 0; i-- {
		if usable(list[i]) {
			return list[i], true
		}
	}
	return manifest.Version{}, false
}

func shareIndex(list []manifest.Version, hash float64) int {
	sum := 0.0
	for i, v := range list {
		sum += v.Share
		if hash < sum {
			return i
		}
	}
	return len(list) - 1
}

// serving lists each model's serving versions, newest first: by the length of
// the chain of predecessors, then by id.
func serving(versions []manifest.Version) map[string][]manifest.Version {
	byID := make(map[string]manifest.Version, len(versions))
	for _, v := range versions {
		byID[v.ID] = v
	}
	out := map[string][]manifest.Version{}
	for _, v := range versions {
		if v.State == manifest.StateServing {
			out[v.Model] = append(out[v.Model], v)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b manifest.Version) int {
			return cmp.Or(cmp.Compare(age(byID, b), age(byID, a)), cmp.Compare(b.ID, a.ID))
		})
	}
	return out
}

// age counts a version's predecessors. The bound ends a chain that a manifest
// closes to a ring.
func age(byID map[string]manifest.Version, v manifest.Version) int {
	n := 0
	for n < len(byID) {
		older, ok := byID[v.Predecessor]
		if !ok {
			break
		}
		v = older
		n++
	}
	return n
}
