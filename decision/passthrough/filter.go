package passthrough

import "slices"

// overcommit is how many requests over its slots a plain server is given: one that
// waits there starts at once when a place is free.
const overcommit = 1

// candidates lists the servers that may take the request and have a free place. Sick ones
// are left out, and those that the request has tried, as long as others are there: where
// all look sick, it is the requests or the network, and a try is better than a refusal.
func (w *World) candidates(r *request, views []serverView) []serverView {
	fits, mostUnread := w.versionFilter(r), r.maxPrefillWait(w.now)
	var spare, last []serverView
	w.eligible = w.eligible[:0]
	for _, v := range views {
		if !v.hasRoom() || v.wait > mostUnread || !fits(v.server) || !w.allowSlowStart(v.server) || !w.allowLimit(v.server) {
			continue
		}
		switch tried := slices.Contains(r.tried, v.server); {
		case !tried && !v.server.health.ejected(w.now):
			w.eligible = append(w.eligible, v)
		case !tried:
			spare = append(spare, v)
		default:
			last = append(last, v)
		}
	}
	switch {
	case len(w.eligible) > 0:
		return w.eligible
	case len(spare) > 0:
		return spare
	}
	return last
}

// hasRoom says whether the server can take one more, by what is known of it: what is only
// likely of a server must shut nobody out, since who sends nothing there hears nothing.
func (v serverView) hasRoom() bool {
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
	return v.known < float64(slots)
}
