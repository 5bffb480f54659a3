package decision

// SessionVersions picks the versions that a new session is pinned to: one for
// each model that the team may use, in order of the models' ids, by the roll-out
// share of the session's hash (0 to 1). A version judged bad is passed over, and
// a probe never opens a session, which would hold the session to the bad version
// for its whole life. It is empty for a team that is unknown or may use nothing.
//
// Like Tick it must be called by the goroutine that owns the World.
func (w *World) SessionVersions(id TeamID, hash float64) []VersionID {
	t := w.teams[id]
	if t == nil || t.gone {
		return nil
	}
	var list []VersionID
	for _, tm := range t.models {
		if v := w.rolloutBy(tm, hash, w.isGood); v != nil {
			list = append(list, v.ID)
		}
	}
	return list
}

// isGood says whether no verdict speaks against the version.
func (w *World) isGood(v *version) bool {
	return w.cfg.Policy.NoShift || !w.verdicts.Bad(v.ID, w.now)
}
