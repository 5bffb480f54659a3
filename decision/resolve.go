package decision

// choice is where a request may run, or why it may not.
type choice struct {
	version *version // nil for a plain service
	pool    *pool
	reason  RefusalReason // empty if it may run
}

func refused(reason RefusalReason) choice { return choice{reason: reason} }

// resolve selects the version or service for a request under the current manifest.
// It is called at admission, before a retry, and whenever the manifest, the server
// list or a verdict has changed while the request is queued.
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

// resolvePinned keeps a session on its version: the request gets this version or is
// refused; it never silently gets another one. A draining version serves open
// sessions, a withdrawn one nothing; one that the manifest no longer lists counts
// as withdrawn.
func (w *World) resolvePinned(t *team, r *request) choice {
	v := w.versions[r.Pinned]
	if v == nil || !v.open() {
		return refused(ReasonVersionWithdrawn)
	}
	if r.Model != "" && r.Model != v.Model && VersionID(r.Model) != v.ID {
		return refused(ReasonUnknownModel) // pinned to a version of another model
	}
	if !t.allowed[v.ID] {
		return refused(ReasonNotAllowed)
	}
	return w.withServer(v, v.pool)
}

// resolveModel selects a version by the model's roll-out; Model may also name an
// exact "model@version".
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
		return refused(ReasonUnknownModel) // no allowed version of it is serving
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

// withServer returns the version and pool, or a refusal if no server can take
// requests for it.
func (w *World) withServer(v *version, p *pool) choice {
	if p.usableServers == 0 {
		return refused(ReasonNoServer)
	}
	return choice{version: v, pool: p}
}

// rollout maps a roll-out position in [0, 1) to one of the model's allowed serving
// versions.
//
// The shares are stacked from the newest version, so that raising a version's share
// takes no request away from it and moves requests to newer versions only; the
// remainder belongs to the oldest version. The part of a version that gets no new
// requests because of a bad verdict goes to the next older one, its predecessor, and
// to a newer one only if there is no older one.
func (w *World) rollout(tm *teamModel, position float64) *version {
	return w.rolloutBy(tm, position, w.takesNew)
}

func (w *World) rolloutBy(tm *teamModel, position float64, takes func(*version) bool) *version {
	list := tm.rollout
	if len(list) == 0 {
		return nil
	}
	index := w.shareIndex(tm, position)
	for i := index; i < len(list); i++ {
		if takes(list[i]) {
			return list[i]
		}
	}
	for i := index - 1; i >= 0; i-- {
		if takes(list[i]) {
			return list[i]
		}
	}
	// All have a bad verdict: the verdicts compare the versions with each other and
	// cannot all be right, and to refuse all requests for the model would do more
	// harm.
	return list[len(list)-1]
}

// shareIndex returns the index in tm.rollout that the position falls on. The shares
// of all serving versions of the model are stacked, allowed or not, so that a
// position falls on the same version for every team; the part of a version that the
// team may not use goes to the next older allowed one.
func (w *World) shareIndex(tm *teamModel, position float64) int {
	sum := 0.0
	next := 0
	for _, v := range tm.model.versions {
		if !v.serving() {
			continue
		}
		allowed := next < len(tm.rollout) && tm.rollout[next] == v
		sum += v.Share
		if position < sum {
			return min(next, len(tm.rollout)-1)
		}
		if allowed {
			next++
		}
	}
	return len(tm.rollout) - 1
}
