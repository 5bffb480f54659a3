package passthrough

import "time"

// serverView is a server as seen by one decision. All that depends on the time is computed once
// per decision: with 1,000 servers that is most of a decision's cost.
type serverView struct {
	server *server
	// forecast is what the choice of a server uses. It comes from the peers' load reports if
	// they are fresh, else it equals own, which comes from this instance's knowledge alone.
	forecast
	own forecast
	// weight is what servers are compared by, in requests: the load with one more request,
	// multiplied by the server's factor, plus the prefill wait, which delays all other requests.
	weight float64
	// factor is how many times as long as usual work is expected to take at the server, momentary the same for
	// work of some tens of milliseconds.
	factor, momentary float64
	// spare is how many requests beyond its slots the server may have by the reports: those that have probably ended since
	// then, and those that may wait there. room is how many more it is expected to have place for at this moment.
	spare, room float64
}

// forecast is the expected load of a server.
type forecast struct {
	// load is the expected number of requests at the server; known is the part that is known.
	// This instance's requests are known; the others' are as they or the server reported. As a
	// server's report ages, the mean of the reports of all the service's servers gradually
	// replaces it: a server that reports nothing because it is busy must not look idle.
	load  float64
	known float64
	// unscaledWait is how long a prompt is expected to wait at the server, in seconds; wait is
	// the same time, scaled by the accuracy of earlier forecasts.
	unscaledWait float64
	wait         float64
}

// prefillSecondsPerRequest is how many seconds of waiting prefill weigh as much as one running
// request, which takes some 50 us of each step of the engine.
const prefillSecondsPerRequest = 0.06

// viewServers returns the views of the service's usable servers. The list is valid until the next
// call.
func (w *World) viewServers(s *service) []serverView {
	in := w.forecastInput(s)
	w.views = w.views[:0]
	for _, srv := range s.servers {
		if !srv.usable(w.now) {
			if srv.inService() && srv.backingOff(w.now) {
				s.wakeBy(srv.backoffUntil)
			}
			continue
		}
		factor, momentary := w.speedFactors(srv)
		v := serverView{server: srv, factor: factor, momentary: momentary, own: in.ownForecast(srv, factor)}
		v.forecast = v.own
		if in.peersFresh {
			v.forecast = in.peerForecast(srv, factor)
			if in.expects {
				v.expectRoom(&in)
			}
		}
		v.weight = (v.load+1)*factor + v.wait/prefillSecondsPerRequest
		w.views = append(w.views, v)
	}
	return w.views
}

// forecastInput is what the forecasts of a service's servers are computed from.
type forecastInput struct {
	now     time.Time
	service *service
	// reportTTL is how long a reported load counts; meanOthersPrefilling is the mean number of
	// other instances' prompts that wait at a server.
	reportTTL            time.Duration
	meanOthersPrefilling float64
	// ownScale and peerScale are the forecastScale of ownForecast and of peerForecast.
	ownScale float64
	// peersFresh is true if the peers' load reports still count.
	peersFresh bool
	peerScale  float64
	// expects is true if the load is expected to change since the peers' reports, which are reportAge seconds old.
	expects   bool
	reportAge float64
}

func (w *World) forecastInput(s *service) forecastInput {
	ps := &s.prefill
	return forecastInput{
		now: w.now, service: s, reportTTL: s.loadTTL(),
		meanOthersPrefilling: ps.meanOthersPrefilling.value * (1 - elapsedFraction(ps.lastReportAt, w.now, meanPrefillTTL)),
		ownScale:             forecastScale(&ps.ownAccuracy),
		peersFresh:           s.engine && w.peerLoadsFresh(), peerScale: forecastScale(&ps.peerAccuracy),
		expects: w.expectsLoads(s) && s.flow.scarce, reportAge: (w.now.Sub(w.peerLoadsAt) + reportDelay).Seconds(),
	}
}

// ownForecast is the forecast from this instance's knowledge alone.
func (in *forecastInput) ownForecast(srv *server, factor float64) forecast {
	aged := elapsedFraction(srv.reportedAt, in.now, in.reportTTL)
	prefillAged := elapsedFraction(srv.reportedAt, in.now, reportedPrefillTTL)
	reported := max(srv.reportedOthers(), 0) * (1 - aged)
	prefilling := srv.othersPrefilling()*(1-prefillAged) + in.meanOthersPrefilling*prefillAged
	f := forecast{known: float64(srv.ownRequests) + reported}
	f.load = f.known + in.service.meanOthers.value*aged
	f.unscaledWait = in.waitFor(srv.prefillBacklog, prefilling*in.service.prefill.meanPrefillTime.value, factor)
	f.wait = f.unscaledWait * in.ownScale
	return f
}

// peerForecast is the forecast from the peers' load reports.
func (in *forecastInput) peerForecast(srv *server, factor float64) forecast {
	load := float64(srv.ownRequests) + srv.peers.requests
	f := forecast{known: load, load: load}
	if in.expects {
		f.load += srv.arriving*in.reportAge - in.ended(srv)
	}
	f.unscaledWait = in.waitFor(srv.prefillRemaining(in.now)+srv.peers.prefillTime, 0, factor)
	f.wait = f.unscaledWait * in.peerScale
	return f
}

// waitFor is how long a server takes for a backlog, and for others' prompts that take unitTime at unit speed, in seconds.
// With stated speeds the backlog is in the server's own time already.
func (in *forecastInput) waitFor(backlog, unitTime, factor float64) float64 {
	if in.service.statesSpeeds {
		return backlog + unitTime*factor
	}
	return (backlog + unitTime) * factor
}

// elapsedFraction is the fraction of span that has passed since a time, at most 1; it is 1 for
// the zero time.
func elapsedFraction(since, now time.Time, span time.Duration) float64 {
	if since.IsZero() {
		return 1
	}
	return min(float64(now.Sub(since))/float64(span), 1)
}
