package decision

// openSessions answers each new session with the versions that it is pinned to.
//
// The versions are those that a request at the same position would get now; raising a
// share in a roll-out moves no open session. A version with a bad verdict is
// skipped, and a session is never opened as a probe, which would pin it to the bad
// version for its whole life.
func (w *World) openSessions() {
	for _, e := range w.opening {
		w.emit(PinSession{Session: e.Session, Versions: w.sessionVersions(e)})
	}
}

func (w *World) sessionVersions(e SessionOpening) []VersionID {
	t := w.teams[e.Team]
	if t == nil || t.gone {
		return nil
	}
	var out []VersionID
	for _, tm := range t.models {
		if v := w.rolloutBy(tm, e.RolloutPosition, w.isGood); v != nil {
			out = append(out, v.ID)
		}
	}
	return out
}

// versionFor returns the version of a model that the request may run on: the one
// that its session is pinned to, else one by the roll-out. It returns nil if the
// pinned version is withdrawn or no longer allowed, since a session never silently
// gets another version, or if there is no pin and no allowed version is serving.
func (w *World) versionFor(tm *teamModel, r *request) *version {
	for _, id := range r.Pins {
		v := w.versions[id]
		if v == nil || v.Model != tm.model.id {
			continue
		}
		if v.open() && r.team.allowed[id] {
			return v
		}
		return nil
	}
	return w.rollout(tm, r.RolloutPosition)
}

// pinsWithdrawn reports whether the session has pins and none of them is open.
func (w *World) pinsWithdrawn(r *request) bool {
	for _, id := range r.Pins {
		if v := w.versions[id]; v != nil && v.open() {
			return false
		}
	}
	return len(r.Pins) > 0
}

// isGood reports whether there is no bad verdict on the version.
func (w *World) isGood(v *version) bool {
	return w.cfg.Policy.NoVerdicts || !w.verdicts.Bad(v.ID, w.now)
}
