package decision

// choice is where a request may go, or why it may not.
type choice struct {
	version *version // nil for a plain service
	pool    *pool
	reason  RefusalReason // empty where it may
}

func refused(reason RefusalReason) choice { return choice{reason: reason} }

// resolve picks the version or service for a request that has not run, by the
// manifest as it is now. It is asked at admission and again whenever the
// manifest, the list or a verdict has changed while the request waits.
func (w *World) resolve(r *request) choice {
	t := r.team
	if t == nil || t.gone {
		return refused(ReasonNotAllowed)
	}
	switch {
	case r.Service != "":
		return w.resolveService(t, r)
	case r.Pinned != "":
		return w.resolvePinned(t, r)
	case r.Model != "":
		return w.resolveModel(t, r)
	default:
		return w.resolveAny(t, r)
	}
}

func (w *World) resolveService(t *team, r *request) choice {
	if !t.services[r.Service] {
		return refused(ReasonNotAllowed)
	}
	return w.withServer(nil, w.servicePool(r.Service))
}

// resolvePinned keeps a session on its version: it is that version or a refusal,
// never another one silently. Draining takes open sessions, withdrawn nothing;
// one that the manifest has dropped counts as withdrawn.
func (w *World) resolvePinned(t *team, r *request) choice {
	v := w.versions[r.Pinned]
	if v == nil || !v.open() {
		return refused(ReasonVersionWithdrawn)
	}
	if r.Model != "" && r.Model != v.Model && VersionID(r.Model) != v.ID {
		return refused(ReasonUnknownModel) // the pin is of another model
	}
	if !t.allowed[v.ID] {
		return refused(ReasonNotAllowed)
	}
	return w.withServer(v, v.pool)
}

// resolveModel follows a model's roll-out, or takes an exact "model@version".
func (w *World) resolveModel(t *team, r *request) choice {
	m := w.models[r.Model]
	if m == nil {
		return w.resolveExact(t, r)
	}
	tm := t.byModel[r.Model]
	if tm == nil {
		return refused(ReasonNotAllowed)
	}
	v := w.rollout(tm, r.RolloutPosition)
	if v == nil {
		return refused(ReasonUnknownModel) // no version of it serves new work
	}
	return w.withServer(v, v.pool)
}

func (w *World) resolveExact(t *team, r *request) choice {
	v := w.versions[VersionID(r.Model)]
	switch {
	case v == nil || v.gone:
		return refused(ReasonUnknownModel)
	case !t.allowed[v.ID]:
		return refused(ReasonNotAllowed)
	case !v.serving():
		return refused(ReasonVersionWithdrawn)
	}
	return w.withServer(v, v.pool)
}

func (w *World) withServer(v *version, p *pool) choice {
	if p.usable == 0 {
		return refused(ReasonNoServer)
	}
	return choice{version: v, pool: p}
}

// rollout places a hash among the model's allowed serving versions.
//
// Shares stack up from the newest version, so that raising its share only adds
// requests to it and moves none between the others' new halves; what the shares
// leave over belongs to the oldest. A version that must get no new work by a bad
// verdict passes its part to the next older one, its predecessor; only where no
// older one is left does a newer one take it.
func (w *World) rollout(tm *teamModel, hash float64) *version {
	return w.rolloutBy(tm, hash, w.takesNew)
}

func (w *World) rolloutBy(tm *teamModel, hash float64, takes func(*version) bool) *version {
	list := tm.rollout
	if len(list) == 0 {
		return nil
	}
	at := w.shareIndex(tm, hash)
	for i := at; i < len(list); i++ {
		if takes(list[i]) {
			return list[i]
		}
	}
	for i := at - 1; i >= 0; i-- {
		if takes(list[i]) {
			return list[i]
		}
	}
	// All are judged bad: the verdicts are against each other and cannot all
	// hold, and refusing a whole model is the greater harm.
	return list[len(list)-1]
}

// shareIndex finds the hash's place. The stack is built over all serving
// versions of the model, allowed or not, so that the same hash falls on the same
// version for every team; the part of one that the team may not use passes to
// the next older one that it may.
func (w *World) shareIndex(tm *teamModel, hash float64) int {
	sum := 0.0
	next := 0
	for _, v := range tm.model.versions {
		if !v.serving() {
			continue
		}
		allowed := next < len(tm.rollout) && tm.rollout[next] == v
		sum += v.Share
		if hash < sum {
			return min(next, len(tm.rollout)-1)
		}
		if allowed {
			next++
		}
	}
	return len(tm.rollout) - 1
}
