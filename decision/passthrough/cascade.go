package passthrough

// routeStats is what is learnt of a route's answers.
type routeStats struct {
	// first is the mean logarithm of the time to the first event, by size.
	first map[int]*mean
	// took is the mean time to the whole answer, from the request's arrival, in seconds.
	took mean
}

func (w *World) stats(route string) *routeStats {
	st := w.routes[route]
	if st == nil {
		st = &routeStats{}
		w.routes[route] = st
	}
	return st
}

// firstOf is the mean logarithm of the time to the first event, in seconds, of answers
// like the request's.
func (w *World) firstOf(r *request) *mean {
	return meanOf(&w.stats(r.Route.Name).first, r.size)
}

// firstByte notes the time to an answer's first byte.
func (w *World) firstByte(e FirstByte) {
	if r := w.requests[e.Request]; r != nil {
		r.first = e.After
		r.hasRead()
	}
}

const (
	// barEven is the engine's own even odds on its answer. Measured by asking each of three
	// models for the same load: answers to requests that a model is too weak for lie below
	// it, but for one in twenty.
	barEven = 0.5
	// barMargin is added since a weak answer costs its whole worth, and an answer replaced
	// for nothing only a second prompt.
	barMargin = 0.04
	// spareRepeats is what the retry budget must hold for an answer to be dropped: the
	// repeats of failures go first.
	spareRepeats = 3
	// fullLoad is the part of an engine's places from which on only the smallest model is
	// asked: the largest is ten times slower, and keeps places taken for longer than the
	// arrivals allow.
	fullLoad = 0.8
)

// chooseSize is the index of the model to ask.
//
// Load: requests of which the smallest model answers a half well, and a rush that the
// largest, ten times as slow, cannot bear. Harm prevented: the largest model's price and
// time for all, weak answers for the hard half, refusals in a rush. The smallest is asked
// first; its answer is dropped where it doubts it itself, as long as nothing was sent.
func (w *World) chooseSize(r *request, s *server) int {
	last := len(r.Route.Sizes) - 1
	slots := float64(max(s.service.slots, 1))
	switch {
	case s.load(w.now) > fullLoad*slots:
		return 0
	case r.escalated || r.attempts >= r.Route.MaxAttempts || !r.Route.Repeatable():
		return last
	}
	return 0
}

// bar is the confidence under which the answer is dropped and a larger model asked; 0 for
// never.
func (w *World) bar(r *request) float64 {
	if !r.Route.Repeatable() {
		return 0 // it would run twice
	}
	if r.escalated || r.size >= len(r.Route.Sizes)-1 || r.attempts >= r.Route.MaxAttempts {
		return 0
	}
	if r.service.budget.Left(w.now) < spareRepeats {
		return 0
	}
	return barEven + barMargin
}
