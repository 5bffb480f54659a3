package estimate

import "math"

// rater watches the rating service itself.
type rater struct {
	// late is the discounted part of ratings that did not come or made no sense.
	lateShare float64
	// last, run and oddity follow the longest row of equal ratings.
	lastScore float64
	runLength int
	surprisal float64
}

// raterMemory is the number of ratings that late looks back on: a service that
// goes down is given up after about 14 late ones, and trusted again as fast.
const raterMemory = 20

func (r *rater) missed()   { r.lateShare += (1 - r.lateShare) / raterMemory }
func (r *rater) answered() { r.lateShare -= r.lateShare / raterMemory }

// A run of equal ratings is taken for a stuck service once it is this long and
// this unlikely. A version that always earns a 1 gives long runs too, but likely
// ones.
const (
	minStuckRun       = 12
	minStuckSurprisal = 30.0
)

// stuck takes in a rating and reports whether the service seems to say the same
// whatever it is shown. The first differing value ends that. The estimate is
// asked for only where it matters.
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
