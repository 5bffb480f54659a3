package decision

import (
	"cmp"
	"slices"
)

// ingestManifest replaces teams and versions with those of a newer generation. An
// older or equal generation is dropped: the manifest in force never reverts, even
// if an event arrives late.
func (w *World) ingestManifest(e ManifestApplied) {
	if e.Generation <= w.generation {
		return
	}
	w.generation = e.Generation
	w.applyVersions(e.Versions)
	w.applyTeams(e.Teams)
	w.applyVerdictVersions()
	w.applyQuality()
	w.recheckNeeded = true
}

func (w *World) applyVersions(rows []Version) {
	for _, v := range w.versions {
		v.gone = true
	}
	w.models = map[ModelID]*model{}
	for _, row := range rows {
		v := w.versions[row.ID]
		if v == nil {
			v = &version{pool: w.versionPool(row.ID)}
			w.versions[row.ID] = v
		}
		if !v.gone && v.ID != "" {
			continue // duplicate id: the first row counts
		}
		v.Version = row
		v.gone = false
		w.addToModel(v)
	}
	for _, m := range w.models {
		w.sortVersions(m)
	}
}

func (w *World) addToModel(v *version) {
	m := w.models[v.Model]
	if m == nil {
		m = &model{id: v.Model}
		w.models[v.Model] = m
	}
	m.versions = append(m.versions, v)
}

// sortVersions orders a model's versions from the newest to the oldest.
func (w *World) sortVersions(m *model) {
	slices.SortFunc(m.versions, func(a, b *version) int {
		if d := cmp.Compare(w.predecessorCount(b), w.predecessorCount(a)); d != 0 {
			return d
		}
		return cmp.Compare(b.ID, a.ID)
	})
}

// predecessorCount counts a version's direct and indirect predecessors. The count
// is bounded by the number of versions, so that a cycle of predecessors terminates.
func (w *World) predecessorCount(v *version) int {
	n := 0
	for n <= len(w.versions) {
		p := w.versions[v.Predecessor]
		if p == nil || p.gone || p.Model != v.Model {
			return n
		}
		n++
		v = p
	}
	return n
}

func (w *World) applyTeams(rows []Team) {
	for _, t := range w.teams {
		t.gone = true
	}
	for _, row := range rows {
		t := w.teams[row.ID]
		if t == nil {
			t = &team{index: len(w.teams), account: w.fairness.NewAccount(row.Weight)}
			t.retryBudget.retries = w.cfg.RetryFloor
			t.retryBudget.lastRefill = w.now
			w.teams[row.ID] = t
		}
		t.Team = row
		t.gone = false
		w.applyAllowed(t)
		t.account.SetWeight(row.Weight)
	}
}

// applyAllowed precomputes the versions, models and services that the team may use.
func (w *World) applyAllowed(t *team) {
	t.allowed = make(map[VersionID]bool, len(t.Allowed))
	t.services = make(map[ServiceID]bool, len(t.Services))
	t.byModel = map[ModelID]*teamModel{}
	t.models = nil
	for _, id := range t.Services {
		t.services[id] = true
	}
	for _, id := range t.Allowed {
		t.allowed[id] = true
		v := w.versions[id]
		if v == nil || v.gone || t.byModel[v.Model] != nil {
			continue
		}
		tm := &teamModel{model: w.models[v.Model]}
		t.byModel[v.Model] = tm
		t.models = append(t.models, tm)
	}
	slices.SortFunc(t.models, func(a, b *teamModel) int {
		return cmp.Compare(a.model.id, b.model.id)
	})
	for _, tm := range t.models {
		tm.rollout = allowedServing(t, tm.model)
	}
}

func allowedServing(t *team, m *model) []*version {
	var list []*version
	for _, v := range m.versions {
		if v.serving() && t.allowed[v.ID] {
			list = append(list, v)
		}
	}
	return list
}
