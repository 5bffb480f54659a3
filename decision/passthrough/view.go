package passthrough

import "time"

// view is a server as a decision sees it. All that depends on the time is worked out once a
// decision: with 1,000 servers that is most of its cost.
type view struct {
	server *server
	// load is the number of requests thought to be at the server, known what is known of it.
	// This instance's own are known; the others' are what the server stated. With its age
	// that yields to what the other servers have of the others' requests: a server that says
	// nothing since it is busy must not pass for idle.
	load  float64
	known float64
	// unscaled is the forecast of how long a prompt waits there, in seconds, before it is
	// scaled by what earlier forecasts were worth; wait is with that.
	unscaled float64
	wait     float64
	// weight is the load that a choice goes by: with one more request, with the prompts that
	// are still to be read, which hold up all others, and by the server's pace.
	weight float64
}

// readUnit is how many seconds of prompts that wait to be read weigh as much as one request
// that runs: running, it takes some 50 us of each step.
const readUnit = 0.06

// look views the service's servers that may get work. The list is valid until the next look.
func (w *World) look(s *service) []view {
	rs := &s.reads
	life := s.loadLife()
	scale := rs.scale()
	usualUnread := rs.unread.value * (1 - passed(rs.heardAt, w.now, usualLife))
	w.views = w.views[:0]
	for _, srv := range s.servers {
		if !srv.usable(w.now) {
			continue
		}
		forgotten := passed(srv.toldAt, w.now, life)
		forgottenUnread := passed(srv.toldAt, w.now, waitLife)
		stated := max(srv.statedOthers(), 0) * (1 - forgotten)
		unread := srv.othersUnread()*(1-forgottenUnread) + usualUnread*forgottenUnread
		v := view{server: srv, known: float64(srv.own) + stated}
		v.load = v.known + s.usualOthers.value*forgotten
		slowness := srv.slowness()
		v.unscaled = (srv.backlog + unread*rs.work.value) * slowness
		v.wait = v.unscaled * scale
		v.weight = (v.load+1)*slowness + v.wait/readUnit
		w.views = append(w.views, v)
	}
	return w.views
}

// passed is the part of a span that has passed since then, 1 where it never began.
func passed(since, now time.Time, span time.Duration) float64 {
	if since.IsZero() {
		return 1
	}
	return min(float64(now.Sub(since))/float64(span), 1)
}
