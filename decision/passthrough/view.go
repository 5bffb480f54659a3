package passthrough

import "time"

// view is a server as a decision sees it. All that depends on the time is worked out once a
// decision: with 1,000 servers that is most of its cost.
type view struct {
	server *server
	// forecast is what the choice of a server goes by: the word of all instances where that is
	// fresh, else the same as own, which is what this instance knows by itself.
	forecast
	own forecast
	// weight is the load that a choice goes by: with one more request, with the prompts that
	// are still to be read, which hold up all others, and by the server's pace.
	weight float64
}

// forecast is what is thought of a server's load.
type forecast struct {
	// load is the number of requests thought to be at the server, known what is known of it.
	// This instance's own are known; the others' are what they or the server stated. What a
	// server stated yields with its age to what the other servers have of the others' requests:
	// a server that says nothing since it is busy must not pass for idle.
	load  float64
	known float64
	// unscaled is how long a prompt waits there, in seconds, before that is scaled by what
	// earlier forecasts were worth; wait is with that.
	unscaled float64
	wait     float64
}

// readUnit is how many seconds of prompts that wait to be read weigh as much as one request
// that runs: running, it takes some 50 us of each step.
const readUnit = 0.06

// look views the service's servers that may get work. The list is valid until the next look.
func (w *World) look(s *service) []view {
	by := w.knowledge(s)
	w.views = w.views[:0]
	for _, srv := range s.servers {
		if !srv.usable(w.now) {
			continue
		}
		slowness := srv.slowness()
		v := view{server: srv, own: by.ownForecast(srv, slowness)}
		v.forecast = v.own
		if by.shared {
			v.forecast = by.sharedForecast(srv, slowness)
		}
		v.weight = (v.load+1)*slowness + v.wait/readUnit
		w.views = append(w.views, v)
	}
	return w.views
}

// knowledge is what forecasts of a service's servers go by now.
type knowledge struct {
	now     time.Time
	service *service
	// life is how long a stated load counts, usualUnread what other instances usually have
	// waiting at a server.
	life        time.Duration
	usualUnread float64
	ownScale    float64
	// shared says that the word of all instances is fresh.
	shared      bool
	sharedScale float64
}

func (w *World) knowledge(s *service) knowledge {
	rs := &s.reads
	return knowledge{
		now: w.now, service: s, life: s.loadLife(),
		usualUnread: rs.unread.value * (1 - passed(rs.heardAt, w.now, usualLife)),
		ownScale:    scale(&rs.came),
		shared:      s.engine && w.knowsPeerLoads(), sharedScale: scale(&rs.cameShared),
	}
}

// ownForecast is a server's forecast by what this instance knows by itself.
func (k *knowledge) ownForecast(srv *server, slowness float64) forecast {
	forgotten := passed(srv.reportedAt, k.now, k.life)
	forgottenUnread := passed(srv.reportedAt, k.now, waitLife)
	stated := max(srv.reportedOthers(), 0) * (1 - forgotten)
	unread := srv.othersUnread()*(1-forgottenUnread) + k.usualUnread*forgottenUnread
	f := forecast{known: float64(srv.own) + stated}
	f.load = f.known + k.service.usualOthers.value*forgotten
	f.unscaled = (srv.backlog + unread*k.service.reads.work.value) * slowness
	f.wait = f.unscaled * k.ownScale
	return f
}

// sharedForecast is a server's forecast by the word of all instances.
func (k *knowledge) sharedForecast(srv *server, slowness float64) forecast {
	load := float64(srv.own) + srv.peers.requests
	f := forecast{known: load, load: load}
	f.unscaled = (srv.remaining(k.now) + srv.peers.reading) * slowness
	f.wait = f.unscaled * k.sharedScale
	return f
}

// passed is the part of a span that has passed since then, 1 where it never began.
func passed(since, now time.Time, span time.Duration) float64 {
	if since.IsZero() {
		return 1
	}
	return min(float64(now.Sub(since))/float64(span), 1)
}
