package passthrough

import "time"

// routeStats is what is learnt of a route's answers.
type routeStats struct {
	// first is the usual time to the first event, by size.
	firstByte map[int]*baselineTimes
	// took is the mean time to the whole answer, from the request's arrival, in seconds.
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

// usual is how long the route's whole answers take, times a factor.
func (w *World) expectedDuration(route *Route, factor float64) time.Duration {
	return seconds(factor * w.statsOf(route.Name).responseTime.value)
}

// firstOf is the usual time to the first event of answers like the request's.
func (w *World) firstByteBaseline(r *request) *baselineTimes {
	return rowFor(&w.statsOf(r.Route.Name).firstByte, r.model)
}

// firstByte notes the time to an answer's first byte.
func (w *World) observeFirstByte(e FirstByte) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	r.firstByte = e.After
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
	// barEven is the engine's own even odds on its answer. Measured by asking each of three
	// models for the same load: answers to requests that a model is too weak for lie below
	// it, but for one in twenty.
	evenConfidence = 0.5
	// barMargin is added since a weak answer costs its whole worth, and an answer replaced
	// for nothing only a second prompt.
	confidenceMargin = 0.04
	// sureFrom is the confidence from which on an answer is kept, where there is room for a
	// larger model.
	minConfidence = evenConfidence + confidenceMargin
)

// chooseSize is the index of the model to ask.
//
// Load: requests of which the smallest model answers a half well, and a rush that the
// largest, ten times as slow, cannot bear. Harm prevented: the largest model's price and
// time for all, weak answers for the hard half, refusals in a rush. The smallest is asked
// first; its answer is dropped where it doubts it itself, as long as nothing was sent. What
// was dropped once is asked of a larger one, however full the servers are: the smallest
// would give the same answer again.
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

// onlyTry says that no other attempt may follow the one that is being made, so that a weak
// answer could not be replaced.
func (r *request) lastAttempt() bool {
	return r.attempts >= r.Route.MaxAttempts || !r.Route.Retryable()
}

// Bar is the confidence under which the answer that has begun is to be dropped, while nothing
// of it was sent on, and the request to be ended as Dropped; 0 for never. As engines fill,
// only the weakest answers are dropped.
//
// Load: a rush that begins while answers of the smallest model are on their way. Harm
// prevented: half of them dropped by what was known when they were sent: all engines then
// read prompts for the largest model, two seconds of them each, before anyone notices.
func (w *World) ConfidenceThreshold(id RequestID) float64 {
	r := w.requests[id]
	if r == nil || r.server == nil || r.model == noModel {
		return 0
	}
	if r.model >= len(r.Route.Models)-1 || r.lastAttempt() {
		return 0
	}
	if !r.service.budget.AllowsOptional(w.now) {
		return 0
	}
	occ := occupancyOf(r.service, w.viewServers(r.service))
	if !w.largestInTime(r, occ.prefillWait) {
		return 0
	}
	return minConfidence * occ.headroom(r)
}

// endsPart is the part of the time to the deadline in which the largest model must begin its
// answer, for the rest of it to come too.
const escalationFraction = 0.5

// largestEnds says whether the largest model's answer would come before the deadline.
func (w *World) largestInTime(r *request, wait float64) bool {
	begins := wait + r.service.prefill.perToken(len(r.Route.Models)-1)*float64(r.PromptTokens)
	return begins < escalationFraction*r.Deadline.Sub(w.now).Seconds()
}
