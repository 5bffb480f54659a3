package decision

// openSessions answers each new session with the versions that it keeps.
//
// It is made for roll-outs under traffic: the versions are those that a request
// with the same hash would get now, so raising a share moves no session that is
// open. A version judged bad is passed over, and a probe never opens a session,
// which would hold the session to the bad version for its whole life.
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

// versionFor is the version of a model that the request may run on: the one its
// session keeps, where it has one, else by the roll-out. A session whose version
// of this model is withdrawn gets none of it: never another version silently.
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

// pinsWithdrawn says whether the session has pins and none may take work.
func (w *World) pinsWithdrawn(r *request) bool {
	for _, id := range r.Pins {
		if v := w.versions[id]; v != nil && v.open() {
			return false
		}
	}
	return len(r.Pins) > 0
}

// isGood says whether no verdict speaks against the version.
func (w *World) isGood(v *version) bool {
	return w.cfg.Policy.NoVerdicts || !w.verdicts.Bad(v.ID, w.now)
}
