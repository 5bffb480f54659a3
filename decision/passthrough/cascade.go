package passthrough

import "time"

// routeStats are statistics of a route's responses.
type routeStats struct {
	// firstByte is the old version's time to the first byte, by model index.
	firstByte map[int]*baselineTimes
	// responseTime is the mean time from a request's arrival to the end of its response, in
	// seconds.
	responseTime movingAverage
	escalation   escalationStats
}

func (w *World) statsOf(route string) *routeStats {
	st := w.routes[route]
	if st == nil {
		st = &routeStats{}
		w.routes[route] = st
	}
	return st
}

// expectedDuration is the mean response time of the route, times a factor.
func (w *World) expectedDuration(route *Route, factor float64) time.Duration {
	return seconds(factor * w.statsOf(route.Name).responseTime.value)
}

// firstByteBaseline is the old version's time to the first byte on the request's route, with the
// request's model.
func (w *World) firstByteBaseline(r *request) *baselineTimes {
	return entryFor(&w.statsOf(r.Route.Name).firstByte, r.model)
}

// observeFirstByte records that an attempt's response has begun.
func (w *World) observeFirstByte(e FirstByte) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	r.firstByte = e.After
	w.observeDelay(r, e.After)
	w.recordBegun(r)
	w.domainResponded(r.server)
	r.service.prefill.observeFirstByte(r, e)
	r.endPrefill()
	w.observeLimit(r.server, r.sent, e.Limit)
	if e.HasLoad {
		w.setReportedLoad(r.server, e.Load)
	}
	r.loadLevel = loadLevelOf(r.server.reported)
	w.markFreed(r.service)
}

const (
	// evenConfidence is the confidence at which an engine's response is as likely good as bad
	// by its own estimate. If a model is too weak for a request, its confidence is below that in
	// nineteen of twenty responses.
	evenConfidence = 0.5
	// confidenceMargin is added to evenConfidence because a weak response loses its whole value,
	// while replacing a good one costs only a second prefill.
	confidenceMargin = 0.04
	// minConfidence is the confidence from which a response is kept while a larger model
	// may be requested without restriction.
	minConfidence = evenConfidence + confidenceMargin
)

// chooseModel returns the index of the model to request.
//
// Load: requests of which the smallest model gives a good response to half, and a burst that
// the largest, ten times as slow, cannot serve. Harm prevented: the largest model's price and
// time for all requests, weak responses for the harder half, refusals in a burst. The
// smallest model is requested first, and its response is dropped if its own confidence is low
// and nothing was forwarded yet. After that a larger model is requested however full the
// servers are: the smallest would give the same response again.
func (w *World) chooseModel(r *request, headroom float64) int {
	last := len(r.Route.Models) - 1
	switch {
	case r.nextModel > 0 && r.lastAttempt():
		return last
	case r.nextModel > 0:
		return r.nextModel
	case headroom <= 0:
		return 0
	case r.lastAttempt():
		return last
	}
	return 0
}

// lastAttempt reports whether no other attempt may follow the current one, in which case a weak
// response cannot be replaced.
func (r *request) lastAttempt() bool {
	return r.attempts >= r.Route.MaxAttempts || !r.Route.Retryable()
}

// ConfidenceThreshold is the confidence below which a response that has begun is to be dropped
// and its attempt to be ended as Dropped, as long as nothing of it was forwarded; 0 to keep any
// response. As engines fill up, only the weakest responses are dropped.
//
// Load: a burst that begins while responses of the smallest model are in flight. Harm
// prevented: half of them dropped by what was known when their requests were sent, so that
// all engines are busy with the largest model's prefill, two seconds of it at each, before
// any instance notices. The threshold is computed now, not when the request was sent.
func (w *World) ConfidenceThreshold(id RequestID) float64 {
	r := w.requests[id]
	if r == nil || r.server == nil || r.model == noModel {
		return 0
	}
	if w.plansLarger(r.service) {
		threshold, _ := w.plannedThreshold(r)
		return threshold
	}
	if r.model >= len(r.Route.Models)-1 || r.lastAttempt() {
		return 0
	}
	if !r.service.budget.AllowsOptional(w.now) {
		return 0
	}
	occ := occupancyOf(r.service, w.viewServers(r.service))
	if !w.largestInTime(r, occ.prefillWait) || !w.replaceableInTime(r, w.views) {
		return 0
	}
	return minConfidence * occ.headroom(r)
}

// escalationFraction is the fraction of the time to the deadline within which the largest
// model must begin its response, to leave time for the rest of it.
const escalationFraction = 0.5

// largestInTime reports whether the largest model's response would begin within escalationFraction
// of the time to the deadline, after a prefill wait of the given seconds.
func (w *World) largestInTime(r *request, wait float64) bool {
	begins := wait + r.service.prefill.perToken(len(r.Route.Models)-1)*float64(r.PromptTokens)
	return begins < escalationFraction*r.Deadline.Sub(w.now).Seconds()
}
