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

// confident notes the engine's opinion of its answer.
func (w *World) confident(e Confident) {
	if r := w.requests[e.Request]; r != nil {
		r.confidence = e.Confidence
	}
}

// fullLoad is the part of an engine's places at which the largest model is not asked any
// more: its pace would keep the places taken for longer than the arrivals allow.
const fullLoad = 0.75

// chooseSize is the index of the model to ask: the largest that the load bears.
//
// Load: a rush that the largest model, ten times as slow as the smallest, cannot bear.
// Harm prevented: refusals and late answers for all, where a smaller model answers half
// of the callers well.
func (w *World) chooseSize(r *request, s *server) int {
	last := len(r.Route.Sizes) - 1
	slots := float64(max(s.service.slots, 1))
	if s.load(w.now) > fullLoad*slots {
		return 0
	}
	return last
}

// mayEscalate says whether a larger model could still be asked after this one.
func (w *World) mayEscalate(r *request) bool {
	return r.size < len(r.Route.Sizes)-1 && r.attempts < r.Route.MaxAttempts
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
