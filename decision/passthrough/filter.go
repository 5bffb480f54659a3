package passthrough

import (
	"slices"
	"time"
)

// overcommit is how many requests over its slots a plain server is given: one that
// waits there starts at once when a place is free.
const overcommit = 1

// candidates lists the servers that may take the request and have a free place. Sick ones
// are left out, and those that the request has tried, as long as others are there: where
// all look sick, it is the requests or the network, and a try is better than a refusal.
func (w *World) candidates(r *request) []*server {
	fits := w.fitting(r)
	var spare, last []*server
	w.drawn = w.drawn[:0]
	for _, s := range r.service.servers {
		if !s.usable(w.now) || !s.hasRoom(w.now) || !s.readsSoon(r, w.now) || !fits(s) {
			continue
		}
		switch tried := slices.Contains(r.tried, s); {
		case !tried && !s.health.barred(w.now):
			w.drawn = append(w.drawn, s)
		case !tried:
			spare = append(spare, s)
		default:
			last = append(last, s)
		}
	}
	switch {
	case len(w.drawn) > 0:
		return w.drawn
	case len(spare) > 0:
		return spare
	}
	return last
}

// hasRoom says whether the server can take one more, by what is known of it: what is only
// likely of a server must shut nobody out, since who sends nothing there hears nothing.
func (s *server) hasRoom(now time.Time) bool {
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
	return float64(s.own)+s.stated(now) < float64(slots)
}
