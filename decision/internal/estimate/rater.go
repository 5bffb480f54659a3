package estimate

import "math"

// rater watches the rating service itself.
type rater struct {
	// late is the discounted part of ratings that did not come or made no sense.
	late float64
	// last, run and oddity follow the longest row of equal ratings.
	last   float64
	run    int
	oddity float64
}

// raterMemory is the number of ratings that late looks back on: a service that
// goes down is given up after about 14 late ones, and trusted again as fast.
const raterMemory = 20

func (r *rater) missed()   { r.late += (1 - r.late) / raterMemory }
func (r *rater) answered() { r.late -= r.late / raterMemory }

// A run of equal ratings is taken for a stuck service once it is this long and
// this unlikely. A version that always earns a 1 gives long runs too, but likely
// ones.
const (
	stuckRun    = 12
	stuckOddity = 30.0
)

// stuck takes in a rating and reports whether the service seems to say the same
// whatever it is shown. The first differing value ends that. The estimate is
// asked for only where it matters.
func (r *rater) stuck(score float64, estimate func() row) bool {
	if score != r.last {
		r.last = score
		r.run = 0
		r.oddity = 0
	}
	r.run++
	if r.run == 1 {
		return false
	}
	e := estimate()
	chance := (e.count[binOf(score)] + 0.01) / (e.total + 0.01)
	r.oddity -= math.Log(min(chance, 1))
	return r.run >= stuckRun && r.oddity >= stuckOddity
}
