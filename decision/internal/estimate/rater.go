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

// stuck takes in a rating for a row and reports whether the service seems to say
// the same whatever it is shown. The first differing value ends that.
func (r *rater) stuck(score float64, row *row) bool {
	if score != r.last || r.run == 0 {
		r.last = score
		r.run = 0
		r.oddity = 0
	}
	r.run++
	chance := (row.count[binOf(score)] + 0.01) / (row.total + 0.01)
	r.oddity -= math.Log(min(chance, 1))
	return r.run >= stuckRun && r.oddity >= stuckOddity
}
