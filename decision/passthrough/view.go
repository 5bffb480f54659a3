package passthrough

import "time"

// view is a server as a decision sees it. All that depends on the time is worked out once a
// decision: with 1,000 servers that is most of its cost.
type serverView struct {
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
	unscaledWait float64
	wait         float64
}

// readUnit is how many seconds of prompts that wait to be read weigh as much as one request
// that runs: running, it takes some 50 us of each step.
const prefillSecondsPerRequest = 0.06

// look views the service's servers that may get work. The list is valid until the next look.
func (w *World) viewServers(s *service) []serverView {
	in := w.forecastInput(s)
	w.views = w.views[:0]
	for _, srv := range s.servers {
		if !srv.usable(w.now) {
			continue
		}
		slowdown := srv.slowdown()
		v := serverView{server: srv, own: in.ownForecast(srv, slowdown)}
		v.forecast = v.own
		if in.peersFresh {
			v.forecast = in.peerForecast(srv, slowdown)
		}
		v.weight = (v.load+1)*slowdown + v.wait/prefillSecondsPerRequest
		w.views = append(w.views, v)
	}
	return w.views
}

// knowledge is what forecasts of a service's servers go by now.
type forecastInput struct {
	now     time.Time
	service *service
	// life is how long a stated load counts, usualUnread what other instances usually have
	// waiting at a server.
	reportTTL            time.Duration
	meanOthersPrefilling float64
	ownScale             float64
	// shared says that the word of all instances is fresh.
	peersFresh bool
	peerScale  float64
}

func (w *World) forecastInput(s *service) forecastInput {
	rs := &s.prefill
	return forecastInput{
		now: w.now, service: s, reportTTL: s.loadTTL(),
		meanOthersPrefilling: rs.meanOthersPrefilling.value * (1 - elapsedFraction(rs.lastReportAt, w.now, meanPrefillTTL)),
		ownScale:             forecastScale(&rs.ownAccuracy),
		peersFresh:           s.engine && w.peerLoadsFresh(), peerScale: forecastScale(&rs.peerAccuracy),
	}
}

// ownForecast is a server's forecast by what this instance knows by itself.
func (in *forecastInput) ownForecast(srv *server, slowdown float64) forecast {
	aged := elapsedFraction(srv.reportedAt, in.now, in.reportTTL)
	prefillAged := elapsedFraction(srv.reportedAt, in.now, reportedPrefillTTL)
	reported := max(srv.reportedOthers(), 0) * (1 - aged)
	prefilling := srv.othersPrefilling()*(1-prefillAged) + in.meanOthersPrefilling*prefillAged
	f := forecast{known: float64(srv.ownRequests) + reported}
	f.load = f.known + in.service.meanOthers.value*aged
	f.unscaledWait = (srv.prefillBacklog + prefilling*in.service.prefill.meanPrefillTime.value) * slowdown
	f.wait = f.unscaledWait * in.ownScale
	return f
}

// sharedForecast is a server's forecast by the word of all instances.
func (in *forecastInput) peerForecast(srv *server, slowdown float64) forecast {
	load := float64(srv.ownRequests) + srv.peers.requests
	f := forecast{known: load, load: load}
	f.unscaledWait = (srv.prefillRemaining(in.now) + srv.peers.prefillTime) * slowdown
	f.wait = f.unscaledWait * in.peerScale
	return f
}

// passed is the part of a span that has passed since then, 1 where it never began.
func elapsedFraction(since, now time.Time, span time.Duration) float64 {
	if since.IsZero() {
		return 1
	}
	return min(float64(now.Sub(since))/float64(span), 1)
}
