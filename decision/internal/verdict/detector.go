package verdict

import (
	"math"
	"slices"
)

// bettors is the number of stakes that a detector plays side by side.
const numBets = 4

// stakes are the parts of the largest safe bet that the bettors of a detector
// put on each observation. A small stake finds a small, lasting loss; a large
// one finds a sudden, total failure within a few observations.
type betFractions [numBets]float64

// Errors are rare and come in clusters, so nobody stakes nearly everything on
// one. Ratings spread around their mean, where a high stake pays.
var (
	errorBets  = betFractions{0.05, 0.1, 0.3, 0.6}
	ratingBets = betFractions{0.1, 0.3, 0.6, 0.9}
)

// Observations lie in 0..1, and a mean of exactly 0 or 1 would let one
// observation decide alone, so reference means are kept off both ends.
const (
	minReference = 0.02
	maxReference = 0.99
)

// detector is a sequential test of "the mean has not fallen below a reference"
// for observations in 0..1 of any distribution.
//
// Each bettor multiplies its wealth by 1 + l*(reference - x). While the mean is
// at or above the reference the factor is at most 1 in expectation, so wealth
// is an e-process; restarting it whenever it falls below 1 makes it a CUSUM,
// the window being the stretch that speaks most against the version, however
// long. When the bettors' mean wealth reaches 1/alpha there is an alarm; the
// mean number of observations between false alarms is at least 1/alpha (Shin,
// Ramdas and Rinaldo, "E-detectors", 2022). No minimum sample is needed: one observation cannot
// gain more than its bettor's largest factor.
type detector struct {
	fractions betFractions
	logWealth [numBets]float64
	// restart makes it a CUSUM; without it, it is a plain e-process, whose
	// chance of ever reaching 1/alpha wrongly is at most alpha (Ville).
	restart bool
}

// addBelow takes in x as evidence that the mean is below ref.
func (d *detector) addBelow(x, ref float64) {
	ref = clamp(ref, minReference, maxReference)
	d.add((ref - clamp(x, 0, 1)) / (1 - ref))
}

// addAbove takes in x as evidence that the mean is above ref.
func (d *detector) addAbove(x, ref float64) {
	ref = clamp(ref, minReference, maxReference)
	d.add((clamp(x, 0, 1) - ref) / ref)
}

// add applies a gain, which is at least -1 by construction.
func (d *detector) add(gain float64) {
	for i, stake := range d.fractions {
		w := d.logWealth[i] + math.Log1p(stake*gain)
		if d.restart && w < 0 {
			w = 0
		}
		d.logWealth[i] = w
	}
}

// evidence returns the log of the bettors' mean wealth.
func (d *detector) evidence() float64 {
	top := slices.Max(d.logWealth[:])
	sum := 0.0
	for _, w := range d.logWealth {
		sum += math.Exp(w - top)
	}
	return top + math.Log(sum/numBets)
}

func (d *detector) reset() { d.logWealth = [numBets]float64{} }

// threshold is the log wealth at which a false alarm has the rate alpha.
func threshold(alpha float64) float64 {
	return -math.Log(alpha)
}

// mean is a discounted mean with its variance. Its memory is the number of
// observations after which an old one has lost most of its weight.
type discountedMean struct {
	n, mean, m2 float64
}

func (m *discountedMean) add(x, memory float64) {
	keep := 1 - 1/memory
	m.n = m.n*keep + 1
	delta := x - m.mean
	m.mean += delta / m.n
	m.m2 = m.m2*keep + delta*(x-m.mean)
}

// lower is a one-sided lower bound of the true mean, at about z standard
// errors. The variance counts one extra observation of the widest spread, so
// that a few equal ones are not taken for certainty.
func (m *discountedMean) lowerBound(z float64) float64 {
	variance := (m.m2 + maxVariance) / (m.n + 1)
	return m.mean - z*math.Sqrt(variance/(m.n+1))
}

// maxVariance is the largest variance of a value in 0..1.
const maxVariance = 0.25

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }
