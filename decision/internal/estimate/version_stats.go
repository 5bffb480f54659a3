package estimate

import (
	"math"
	"time"
)

// numBins is the number of bins of a histogram of ratings. Plans can set their
// rating threshold between any two bins; the steps of 0.05 are finer than the
// repeatability of raters.
const numBins = 20

// versionStats holds the observations of one version: an exponentially
// discounted histogram of its ratings and the mean length of its answers. Each
// bin keeps its own sum, so that binning loses nothing for raters that return few
// distinct values (0 and 1, for example).
type versionStats struct {
	count [numBins]float64
	sum   [numBins]float64
	// sumSq is the sum of the squared ratings.
	sumSq float64
	// total is the sum of count, n the part of it that comes from ratings and not
	// from the manifest's quality.
	total, n float64
	// ratedAt is the time of the last rating.
	ratedAt time.Time
	// meanTokens is the mean length of an answer, in tokens, and answers the
	// number of answers in it, counted up to the memory.
	meanTokens float64
	answers    float64
}

// priorSpread is the standard deviation of ratings assumed before any was seen.
const priorSpread = 0.15

// priorStats returns stats that hold weight ratings spread around quality.
func priorStats(quality, weight float64) *versionStats {
	s := &versionStats{}
	share := [numBins]float64{}
	total := 0.0
	for i := range share {
		x := (float64(i)+0.5)/numBins - quality
		share[i] = math.Exp(-x * x / (2 * priorSpread * priorSpread))
		total += share[i]
	}
	// The centres of the bins are shifted alike so that the mean equals quality.
	mean := 0.0
	for i := range share {
		share[i] /= total
		mean += share[i] * (float64(i) + 0.5) / numBins
	}
	for i := range share {
		value := (float64(i)+0.5)/numBins + quality - mean
		s.addToBin(i, value, weight*share[i])
	}
	return s
}

// withPrior returns the stats combined with those of the next wider level (parent)
// as a prior that counts for weight ratings and weight answers.
func (s *versionStats) withPrior(parent *versionStats, weight float64) versionStats {
	out := *s
	scale := weight / parent.total
	for i := range out.count {
		out.count[i] += parent.count[i] * scale
		out.sum[i] += parent.sum[i] * scale
	}
	out.sumSq += parent.sumSq * scale
	out.total += weight
	out.n += min(parent.n, weight)
	if parent.ratedAt.After(out.ratedAt) {
		out.ratedAt = parent.ratedAt
	}
	out.answers += weight
	out.meanTokens += (parent.meanTokens - out.meanTokens) * weight / out.answers
	return out
}

func (s *versionStats) addToBin(bin int, value, weight float64) {
	s.count[bin] += weight
	s.sum[bin] += weight * value
	s.sumSq += weight * value * value
	s.total += weight
}

// addRating adds one rating; older ones are discounted with a window of memory
// ratings.
func (s *versionStats) addRating(score, memory float64, now time.Time) {
	keep := 1 - 1/memory
	for i := range s.count {
		s.count[i] *= keep
		s.sum[i] *= keep
	}
	s.sumSq *= keep
	s.total *= keep
	s.n = s.n*keep + 1
	s.addToBin(binOf(score), score, 1)
	s.ratedAt = now
}

func binOf(score float64) int { return min(int(score*numBins), numBins-1) }

// addLength adds the length of one answer, in tokens.
func (s *versionStats) addLength(tokens, memory float64) {
	s.answers = min(s.answers+1, memory)
	s.meanTokens += (tokens - s.meanTokens) / s.answers
}

func (s *versionStats) mean() float64 {
	sum := 0.0
	for _, v := range s.sum {
		sum += v
	}
	return sum / s.total
}

// stderr is the standard error of the mean. While no new ratings arrive, the
// weight of the old ones halves with each half-life, so that the estimate stays
// and its uncertainty grows.
func (s *versionStats) stderr(now time.Time, halfLife time.Duration) float64 {
	mean := s.mean()
	variance := max(s.sumSq/s.total-mean*mean, minVariance)
	weight := s.total
	if s.n > 0 {
		age := max(now.Sub(s.ratedAt), 0)
		weight *= math.Exp2(-float64(age) / float64(halfLife))
	}
	return math.Sqrt(variance / max(weight, 1))
}

// minVariance is the least variance assumed for ratings, so that a few equal ones
// do not give a standard error near 0.
const minVariance = 0.0025
