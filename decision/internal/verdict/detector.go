package verdict

import (
	"math"
	"slices"
)

// numBets is the number of bets that a detector runs in parallel.
const numBets = 4

// betFractions are the bets of a detector on each observation, as fractions of
// the largest allowed bet, which can lose the whole wealth but not more. A small
// bet detects a small, lasting decline; a large one detects a sudden, total
// failure within a few observations.
type betFractions [numBets]float64

// Errors are rare and come in clusters, so no bet risks nearly everything on one
// observation. Ratings vary around their mean, where large bets detect sooner.
var (
	errorBets  = betFractions{0.05, 0.1, 0.3, 0.6}
	ratingBets = betFractions{0.1, 0.3, 0.6, 0.9}
)

// Observations lie in 0..1, and with a reference of exactly 0 or 1 one
// observation would decide alone, so references are kept away from both ends.
const (
	minReference = 0.02
	maxReference = 0.99
)

// detector is a sequential test of "the mean has not fallen below a reference"
// (addBelow) or "has not risen above it" (addAbove), for observations in 0..1 of
// any distribution.
//
// The wealth of each bet starts at 1. In addBelow, each observation x multiplies
// it by 1 + l*(reference - x), where l is proportional to the fraction that is
// bet; addAbove is the mirror image, with x - reference. While the mean is at or
// above the reference, the expected factor is at most 1, so the wealth is an
// e-process. Restarting it whenever it falls below 1 makes it a CUSUM, whose
// window is the period with the most evidence against the version or server,
// however long. There is an alarm when the mean wealth of the bets
// reaches 1/alpha; the mean number of observations between false alarms is at
// least 1/alpha (Shin, Ramdas and Rinaldo, "E-detectors", 2022). No minimum
// number of samples is needed: the factor of one observation is bounded, and at
// the default rates no single one is enough for an alarm.
type detector struct {
	fractions betFractions
	logWealth [numBets]float64
	// restart is true if the detector is a CUSUM. Otherwise it is a plain
	// e-process, whose probability of ever reaching 1/alpha wrongly is at most
	// alpha (Ville's inequality).
	restart bool
}

// addBelow adds x as evidence that the mean is below ref.
func (d *detector) addBelow(x, ref float64) {
	ref = clamp(ref, minReference, maxReference)
	d.add((ref - clamp(x, 0, 1)) / (1 - ref))
}

// addAbove adds x as evidence that the mean is above ref.
func (d *detector) addAbove(x, ref float64) {
	ref = clamp(ref, minReference, maxReference)
	d.add((clamp(x, 0, 1) - ref) / ref)
}

// add multiplies the wealth of each bet by 1 + fraction*gain; gain is at least -1
// by construction.
func (d *detector) add(gain float64) {
	for i, fraction := range d.fractions {
		w := d.logWealth[i] + math.Log1p(fraction*gain)
		if d.restart && w < 0 {
			w = 0
		}
		d.logWealth[i] = w
	}
}

// evidence is the natural log of the mean wealth of the bets.
func (d *detector) evidence() float64 {
	top := slices.Max(d.logWealth[:])
	sum := 0.0
	for _, w := range d.logWealth {
		sum += math.Exp(w - top)
	}
	return top + math.Log(sum/numBets)
}

func (d *detector) reset() { d.logWealth = [numBets]float64{} }

// threshold is the evidence at which the rate of false alarms is at most alpha.
func threshold(alpha float64) float64 {
	return -math.Log(alpha)
}

// discountedMean is an exponentially discounted mean with its variance. The
// memory passed to add is the number of observations after which an old one has
// lost most of its weight. n is the discounted number of observations, and m2 the
// discounted sum of their squared deviations from the mean.
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

// lowerBound is a one-sided lower confidence bound of the true mean, at about z
// standard errors. One extra observation with the largest possible variance is
// counted in, so that the bound of a few equal ones is not equal to their mean.
func (m *discountedMean) lowerBound(z float64) float64 {
	variance := (m.m2 + maxVariance) / (m.n + 1)
	return m.mean - z*math.Sqrt(variance/(m.n+1))
}

// maxVariance is the largest variance of a value in 0..1.
const maxVariance = 0.25

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }
