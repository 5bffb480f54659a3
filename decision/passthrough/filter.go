package passthrough

import "slices"

// overcommit is how many requests beyond its slots a plain server is given: a request
// that waits there starts as soon as a slot is free.
const overcommit = 1

// candidates lists the servers that may take the request and have a free slot. It leaves
// out servers that this instance does not reach itself, ejected ones and those that the request has already tried, if
// there are others.
// If all are ejected, the fault is likely in the requests or the network, and an
// attempt is better than a refusal. Of the rest, it lists those that complete the response in time.
func (w *World) candidates(r *request, views []serverView) []serverView {
	return w.preferTimely(r, w.usableCandidates(r, views), views)
}

// usableCandidates lists the candidates whatever the time that they take.
func (w *World) usableCandidates(r *request, views []serverView) []serverView {
	fits, maxWait := w.versionFilter(r), r.maxPrefillWait(w.now)
	var unreached, ejected, tried []serverView
	w.eligible = w.eligible[:0]
	for _, v := range views {
		if !v.hasFreeSlot() || v.wait > maxWait || !fits(v.server) || !w.allowRate(r, v.server) || !w.allowBrittle(v) {
			continue
		}
		switch wasTried := slices.Contains(r.tried, v.server); {
		case !wasTried && w.path.links.Avoids(w.now, v.server.ID):
			unreached = append(unreached, v)
		case !wasTried && !v.server.health.ejected(w.now):
			w.eligible = append(w.eligible, v)
		case !wasTried:
			ejected = append(ejected, v)
		default:
			tried = append(tried, v)
		}
	}
	list := tried
	switch {
	case len(w.eligible) > 0:
		list = w.eligible
	case len(unreached) > 0:
		list = unreached
	case len(ejected) > 0:
		list = ejected
	}
	return w.preferRoom(r, w.preferRegular(w.preferOwnPermits(r.service, w.preferResponding(r, list))))
}

// hasFreeSlot reports whether the server has a free slot. It counts only the known
// load, less what has probably ended: an instance kept away by an estimate would send the server nothing, and so never learn
// its real load.
func (v serverView) hasFreeSlot() bool {
	s := v.server
	slots := s.Slots
	if s.service.engine && s.service.slots > 0 {
		slots = s.service.slots
	}
	if slots <= 0 {
		return true
	}
	if !s.service.engine {
		slots += overcommit
	}
	return v.known < float64(slots)+v.spare
}
