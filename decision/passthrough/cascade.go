package passthrough

import "time"

// routeStats is what is learnt of a route's answers.
type routeStats struct {
	// first is the mean time to the first event, by size.
	first map[int]*mean
}

func (w *World) stats(route string) *routeStats {
	st := w.routes[route]
	if st == nil {
		st = &routeStats{first: map[int]*mean{}}
		w.routes[route] = st
	}
	return st
}

// firstByte notes the time to an answer's first byte.
func (w *World) firstByte(e FirstByte) {
	r := w.requests[e.Request]
	if r == nil || r.server == nil {
		return
	}
	st := w.stats(r.Route.Name)
	m := st.first[r.size]
	if m == nil {
		m = &mean{}
		st.first[r.size] = m
	}
	m.add(e.After.Seconds())
	r.first = e.After
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
	case r.escalated || r.attempts >= r.Route.MaxAttempts:
		return last
	}
	return 0
}

// bar is the confidence under which the answer is dropped and a larger model asked; 0 for
// never.
func (w *World) bar(r *request) float64 {
	if r.escalated || r.size >= len(r.Route.Sizes)-1 || r.attempts >= r.Route.MaxAttempts {
		return 0
	}
	if r.service.budget.Left(w.now) < spareRepeats {
		return 0
	}
	return barEven + barMargin
}

const (
	// slowTimes is how many times the old version's pace makes an answer bad: versions
	// that are slow are several times slower, and a cold cache costs less than that.
	slowTimes = 4
	// slowLeast keeps small differences of short times out.
	slowLeast = 300 * time.Millisecond
)

// slowAnswer says whether an answer was much slower than the service's usual.
func (w *World) slowAnswer(r *request, s *server, e Ended) bool {
	ro := w.rollouts[r.service.name]
	if ro == nil || s.Version != ro.Target {
		return false
	}
	usual := r.service.pace.of(r.size)
	if usual.n > 3 && e.Pace.Seconds() > slowTimes*usual.value && e.Pace > slowLeast/10 {
		return true
	}
	m := w.stats(r.Route.Name).first[r.size]
	return m != nil && m.n > 3 && r.first > slowLeast && r.first.Seconds() > slowTimes*m.value
}
