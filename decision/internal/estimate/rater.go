package estimate

import "math"

// rater tracks whether the rating service works.
type rater struct {
	// lateShare is the moving average of the share of ratings that were late or
	// invalid.
	lateShare float64
	// lastScore, runLength and surprisal describe the current run of equal
	// ratings; surprisal is the negative log of its probability.
	lastScore float64
	runLength int
	surprisal float64
}

// raterMemory is the window of lateShare, in ratings: a service that goes down
// counts as down after about 14 late ratings, and as up again after as many good
// ones.
const raterMemory = 20

// missed records a rating that was late, invalid or from a stuck service, and
// answered one that was used.
func (r *rater) missed()   { r.lateShare += (1 - r.lateShare) / raterMemory }
func (r *rater) answered() { r.lateShare -= r.lateShare / raterMemory }

// A run of equal ratings counts as a stuck rating service once it has minStuckRun
// ratings and a surprisal of minStuckSurprisal, in nats. A version whose answers
// are nearly always rated 1 gives long runs too, but with a low surprisal.
const (
	minStuckRun       = 12
	minStuckSurprisal = 30.0
)

// stuck adds a rating to the run and reports whether the service seems to return
// the same value for every answer. The first different value ends the run.
// estimate returns the stats of the rated version; it is called only from the
// second equal rating on.
func (r *rater) stuck(score float64, estimate func() versionStats) bool {
	if score != r.lastScore {
		r.lastScore = score
		r.runLength = 0
		r.surprisal = 0
	}
	r.runLength++
	if r.runLength == 1 {
		return false
	}
	e := estimate()
	chance := (e.count[binOf(score)] + 0.01) / (e.total + 0.01)
	r.surprisal -= math.Log(min(chance, 1))
	return r.runLength >= minStuckRun && r.surprisal >= minStuckSurprisal
}
