package estimate

import (
	"math"
	"time"
)

// bins is the number of rating thresholds that a plan can choose from; steps of
// 0.05 are finer than the repeatability of raters.
const bins = 20

// versionStats holds the observations of one version: an exponentially
// discounted histogram of its ratings and the mean length of its answers. Each
// bin keeps its own sum, so that binning loses nothing for raters that return few
// distinct values (0 and 1, for example).
type versionStats struct {
	count [bins]float64
	sum   [bins]float64
	sumSq float64
	// total is the sum of count, n the part of it that comes from ratings and not
	// from the prior.
	total, n float64
	ratedAt  time.Time
	// meanTokens is the mean length of an answer, in tokens.
	meanTokens float64
	answers    float64
}

// priorSpread is the standard deviation of ratings assumed before any was seen.
const priorSpread = 0.15

// priorStats returns stats that hold weight ratings spread around quality.
func priorStats(quality, weight float64) *versionStats {
	r := &versionStats{}
	share := [bins]float64{}
	total := 0.0
	for i := range share {
		x := (float64(i)+0.5)/bins - quality
		share[i] = math.Exp(-x * x / (2 * priorSpread * priorSpread))
		total += share[i]
	}
	// The centres of the bins are shifted alike so that the mean equals quality.
	mean := 0.0
	for i := range share {
		share[i] /= total
		mean += share[i] * (float64(i) + 0.5) / bins
	}
	for i := range share {
		value := (float64(i)+0.5)/bins + quality - mean
		r.addToBin(i, value, weight*share[i])
	}
	return r
}

// withPrior returns the stats combined with those of the parent level as a prior
// that counts for weight ratings and weight answers.
func (r *versionStats) withPrior(parent *versionStats, weight float64) versionStats {
	out := *r
	f := weight / parent.total
	for i := range out.count {
		out.count[i] += parent.count[i] * f
		out.sum[i] += parent.sum[i] * f
	}
	out.sumSq += parent.sumSq * f
	out.total += weight
	out.n += min(parent.n, weight)
	if parent.ratedAt.After(out.ratedAt) {
		out.ratedAt = parent.ratedAt
	}
	out.answers += weight
	out.meanTokens += (parent.meanTokens - out.meanTokens) * weight / out.answers
	return out
}

func (r *versionStats) addToBin(bin int, value, weight float64) {
	r.count[bin] += weight
	r.sum[bin] += weight * value
	r.sumSq += weight * value * value
	r.total += weight
}

// addRating adds one rating; older ones are discounted with a window of memory
// ratings.
func (r *versionStats) addRating(score, memory float64, now time.Time) {
	keep := 1 - 1/memory
	for i := range r.count {
		r.count[i] *= keep
		r.sum[i] *= keep
	}
	r.sumSq *= keep
	r.total *= keep
	r.n = r.n*keep + 1
	r.addToBin(binOf(score), score, 1)
	r.ratedAt = now
}

func binOf(score float64) int { return min(int(score*bins), bins-1) }

// addLength adds the length of one answer, in tokens.
func (r *versionStats) addLength(tokens, memory float64) {
	r.answers = min(r.answers+1, memory)
	r.meanTokens += (tokens - r.meanTokens) / r.answers
}

func (r *versionStats) mean() float64 {
	s := 0.0
	for _, v := range r.sum {
		s += v
	}
	return s / r.total
}

// stderr is the standard error of the mean. While no new ratings arrive, the
// weight of the old ones halves with each half-life, so that the estimate stays
// and its uncertainty grows.
func (r *versionStats) stderr(now time.Time, halfLife time.Duration) float64 {
	mean := r.mean()
	variance := max(r.sumSq/r.total-mean*mean, minVariance)
	weight := r.total
	if r.n > 0 {
		age := max(now.Sub(r.ratedAt), 0)
		weight *= math.Exp2(-float64(age) / float64(halfLife))
	}
	return math.Sqrt(variance / max(weight, 1))
}

// minVariance prevents a few equal ratings from being taken for certainty.
const minVariance = 0.0025
