package estimate

import (
	"math"
	"time"
)

// bins is the number of bars that a plan can choose between; 0.05 apart is finer
// than raters are repeatable.
const bins = 20

// row is what was seen of one version: a discounted histogram of its ratings,
// with each bin's own sum, so that raters that give few values (0 and 1, say)
// lose nothing by the binning, and the answers' lengths.
type versionStats struct {
	count [bins]float64
	sum   [bins]float64
	sumSq float64
	// total is the sum of count, n the part of it that stands for real ratings.
	total, n float64
	ratedAt  time.Time
	// tokens is the answers' mean length.
	meanTokens float64
	answers    float64
}

// priorSpread is the standard deviation that a rating is given before any came.
const priorSpread = 0.15

// fromQuality fills a row with weight ratings spread around a quality.
func priorStats(quality, weight float64) *versionStats {
	r := &versionStats{}
	share := [bins]float64{}
	whole := 0.0
	for i := range share {
		x := (float64(i)+0.5)/bins - quality
		share[i] = math.Exp(-x * x / (2 * priorSpread * priorSpread))
		whole += share[i]
	}
	// The bins' middles are shifted alike so that the mean is the quality.
	mean := 0.0
	for i := range share {
		share[i] /= whole
		mean += share[i] * (float64(i) + 0.5) / bins
	}
	for i := range share {
		value := (float64(i)+0.5)/bins + quality - mean
		r.addToBin(i, value, weight*share[i])
	}
	return r
}

// over returns the row with a parent standing in, with a weight in ratings and
// in answers, for what it has not seen itself.
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

// add takes in one rating; older ones lose weight by the memory.
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

// addTokens takes in an answer's length.
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

// stderr is the standard error of the mean. Ratings age: with none coming, half
// of their weight is gone after each half-life, so that the estimate stays and
// its uncertainty widens.
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

// minVariance keeps a few equal ratings from looking like certainty.
const minVariance = 0.0025
