package passthrough

import "time"

// routeStats is what is learnt of a route's answers.
type routeStats struct {
	// first is the usual time to the first event, by size.
	first map[int]*usualTimes
	// took is the mean time to the whole answer, from the request's arrival, in seconds.
	took mean
	next nextStats
}

func (w *World) stats(route string) *routeStats {
	st := w.routes[route]
	if st == nil {
		st = &routeStats{}
		w.routes[route] = st
	}
	return st
}

// usual is how long the route's whole answers take, times a factor.
func (w *World) usual(route *Route, factor float64) time.Duration {
	return seconds(factor * w.stats(route.Name).took.value)
}

// firstOf is the usual time to the first event of answers like the request's.
func (w *World) firstOf(r *request) *usualTimes {
	return bySize(&w.stats(r.Route.Name).first, r.size)
}

// firstByte notes the time to an answer's first byte.
func (w *World) firstByte(e FirstByte) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	r.first = e.After
	w.domainAnswers(r.server)
	r.service.reads.began(r, e)
	r.hasRead()
	w.noteLimit(r.server, r.sent, e.Limit)
	if e.HasLoad {
		w.setReportedLoad(r.server, e.Load)
	}
	r.level = levelOf(r.server.reported)
	w.free(r.service)
}

const (
	// barEven is the engine's own even odds on its answer. Measured by asking each of three
	// models for the same load: answers to requests that a model is too weak for lie below
	// it, but for one in twenty.
	barEven = 0.5
	// barMargin is added since a weak answer costs its whole worth, and an answer replaced
	// for nothing only a second prompt.
	barMargin = 0.04
	// sureFrom is the confidence from which on an answer is kept, where there is room for a
	// larger model.
	sureFrom = barEven + barMargin
)

// chooseSize is the index of the model to ask.
//
// Load: requests of which the smallest model answers a half well, and a rush that the
// largest, ten times as slow, cannot bear. Harm prevented: the largest model's price and
// time for all, weak answers for the hard half, refusals in a rush. The smallest is asked
// first; its answer is dropped where it doubts it itself, as long as nothing was sent. What
// was dropped once is asked of a larger one, however full the servers are: the smallest
// would give the same answer again.
func (w *World) chooseSize(r *request, room float64) int {
	last := len(r.Route.Sizes) - 1
	switch {
	case r.next > 0 && r.onlyTry():
		return last
	case r.next > 0:
		return r.next
	case room <= 0:
		return 0
	case r.onlyTry():
		return last
	}
	return 0
}

// onlyTry says that no other attempt may follow the one that is being made, so that a weak
// answer could not be replaced.
func (r *request) onlyTry() bool {
	return r.attempts >= r.Route.MaxAttempts || !r.Route.Repeatable()
}

// Bar is the confidence under which the answer that has begun is to be dropped, while nothing
// of it was sent on, and the request to be ended as Dropped; 0 for never. As engines fill,
// only the weakest answers are dropped.
//
// Load: a rush that begins while answers of the smallest model are on their way. Harm
// prevented: half of them dropped by what was known when they were sent: all engines then
// read prompts for the largest model, two seconds of them each, before anyone notices.
func (w *World) Bar(id RequestID) float64 {
	r := w.requests[id]
	if r == nil || r.server == nil || r.size == plainSize {
		return 0
	}
	if r.size >= len(r.Route.Sizes)-1 || r.onlyTry() {
		return 0
	}
	if !r.service.budget.Spares(w.now) {
		return 0
	}
	f := filled(r.service, w.look(r.service))
	if !w.largestEnds(r, f.wait) {
		return 0
	}
	return sureFrom * f.room(r)
}

// endsPart is the part of the time to the deadline in which the largest model must begin its
// answer, for the rest of it to come too.
const endsPart = 0.5

// largestEnds says whether the largest model's answer would come before the deadline.
func (w *World) largestEnds(r *request, wait float64) bool {
	begins := wait + r.service.reads.perToken(len(r.Route.Sizes)-1)*float64(r.PromptTokens)
	return begins < endsPart*r.Deadline.Sub(w.now).Seconds()
}
