package passthrough

import (
	"math"
	"time"
)

// Shift sums up by how much a version's answers were slower than the old version's: the
// logarithms of the ratios, whose mean is told from chance by their spread. Single answers
// tell little, as times to a first event spread tenfold with the length of prompts.
type Shift struct {
	N       int     `json:"n"`
	Sum     float64 `json:"sum"`
	Squares float64 `json:"squares"`
}

// add takes in one logarithm of a ratio.
func (s *Shift) add(x float64) {
	s.N++
	s.Sum += x
	s.Squares += x * x
}

// plus sums two shifts.
func (s Shift) plus(o Shift) Shift {
	return Shift{N: s.N + o.N, Sum: s.Sum + o.Sum, Squares: s.Squares + o.Squares}
}

// since is what came since an earlier sum, or nothing where that is not a part of it.
func (s Shift) since(o Shift) Shift {
	if s.N < o.N {
		return Shift{}
	}
	return Shift{N: s.N - o.N, Sum: s.Sum - o.Sum, Squares: s.Squares - o.Squares}
}

const (
	// shiftAnswers is the least number of answers that a shift is judged by.
	shiftAnswers = 8
	// shiftSpread is how many standard errors the mean must lie above the limit.
	shiftSpread = 2
	// firstLimit and paceLimit are the ratios to the old version's time to a first event
	// and time between events that a version may have. A cold cache costs up to twice the
	// first; slow versions are several times slower in both.
	firstLimit = 2.2
	paceLimit  = 1.8
)

// over says whether the mean ratio is above the limit, beyond chance.
func (s Shift) over(limit float64) bool {
	if s.N < shiftAnswers {
		return false
	}
	n := float64(s.N)
	mean := s.Sum / n
	spread := math.Sqrt(max(s.Squares/n-mean*mean, 0) / n)
	return mean-shiftSpread*spread > math.Log(limit)
}

// onTrial says whether the server has the version that is being rolled out.
func (w *World) onTrial(s *server) bool {
	ro := w.rollouts[s.Service]
	return ro != nil && !ro.Phase.Ended() && s.Version == ro.Target
}

// tell tells of an attempt's end, while a roll-out is in progress.
func (w *World) tell(r *request, s *server, e Ended) {
	ro := w.rollouts[r.service.name]
	if ro == nil || ro.Phase.Ended() {
		return
	}
	o := Observed{Service: r.service.name, Route: r.Route.Name, Version: s.Version, Bad: e.Result == Failed || e.Cut}
	first := r.first
	if first == 0 {
		first = w.now.Sub(r.sent) // it would have been later still
	}
	o.First = w.compare(s, w.firstOf(r), first)
	o.Pace = w.compare(s, r.service.pace.log(r.size), e.Pace)
	w.emit(o)
}

// usualAnswers is how many answers of the old version make a usual time.
const usualAnswers = 4

// compare sets an answer's time beside the usual one: it becomes a part of that, if the
// server has the old version, and gives a shift, if it has the new one.
func (w *World) compare(s *server, usual *mean, took time.Duration) Shift {
	var out Shift
	if took <= 0 {
		return out
	}
	x := math.Log(took.Seconds())
	if !w.onTrial(s) {
		usual.add(x)
		return out
	}
	if usual.n >= usualAnswers {
		out.add(x - usual.value)
	}
	return out
}
