package passthrough

import (
	"math"
	"slices"
	"time"
)

// The prefill of prompts is most of an engine's work. An idle engine generates an event every 15 ms
// with any model, but processes 300 prompt tokens per millisecond with the smallest model and 30
// with the largest, and all generation waits meanwhile. So load is measured here in seconds of
// outstanding prefill, not in slots.

const (
	// smallestPrefillPerToken and largerPrefillPerToken are the initial estimates of the prefill
	// time of a token in seconds, for the smallest and for larger models, until there are responses
	// of idle engines.
	smallestPrefillPerToken = 5e-6
	largerPrefillPerToken   = 30e-6
	// prefillMemoryTokens is how many prompt tokens the measured speeds look back on: some 50
	// prompts.
	prefillMemoryTokens = 200_000
	// reportedPrefillTTL is how long an engine's report of waiting prompts counts: they are
	// processed within a second.
	reportedPrefillTTL = time.Second
	// meanPrefillTTL is how long the mean number of waiting prompts counts when no server reports:
	// an instance that is kept from sending gets no reports.
	meanPrefillTTL = 3 * time.Second
)

// prefillStats are statistics of the prefill at a service's engines.
type prefillStats struct {
	// perModel is the prefill time of idle engines in seconds over prompt tokens, by model index;
	// noModel stands for models named by callers.
	perModel map[int]*ratio
	// minFirstByte is the time to the first byte without prefill, in seconds.
	minFirstByte float64
	// ownAccuracy is the ratio of actual to forecast times to the first byte, both in seconds, for
	// forecasts from this instance's knowledge; peerAccuracy is for those from the peers' load
	// reports.
	ownAccuracy  ratio
	peerAccuracy ratio
	// lastReportAt is when a server last reported its load.
	lastReportAt time.Time
	// meanPrefillTime is the mean prefill time of a prompt in seconds; meanOthersPrefilling is the
	// mean number of other instances' prompts that wait at a server.
	meanPrefillTime      movingAverage
	meanOthersPrefilling movingAverage
}

// ratio is the ratio of two sums in which older terms fade.
type ratio struct{ numerator, denominator float64 }

// add adds a term to both sums, and scales them down so that the denominator is at most memory.
func (r *ratio) add(numerator, denominator, memory float64) {
	r.numerator += numerator
	r.denominator += denominator
	if over := r.denominator / memory; over > 1 {
		r.numerator /= over
		r.denominator /= over
	}
}

// value is the ratio, with a prior of the given weight.
func (r ratio) value(prior, weight float64) float64 {
	return (r.numerator + prior*weight) / (r.denominator + weight)
}

// perToken is the prefill time of a prompt token in seconds, averaged over cached and uncached
// tokens.
func (ps *prefillStats) perToken(model int) float64 {
	prior := smallestPrefillPerToken
	if model > 0 {
		prior = largerPrefillPerToken
	}
	speed := ps.perModel[model]
	if speed == nil {
		return prior
	}
	const priorTokens = 10_000 // as much as one or two prompts
	return speed.value(prior, priorTokens)
}

// learn records the time to the first byte of a response that had its engine to itself, where work takes factor times
// as long as usual.
func (ps *prefillStats) learn(model, tokens int, took time.Duration, factor float64) {
	const drift = 1.001 // the minimum rises slowly, to forget an outlier
	x := took.Seconds()
	ps.minFirstByte *= drift
	if ps.minFirstByte == 0 || x < ps.minFirstByte {
		ps.minFirstByte = x
	}
	entryFor(&ps.perModel, model).add((x-ps.minFirstByte)/factor, float64(tokens), prefillMemoryTokens)
}

const (
	// forecastMemory is how many seconds of forecasts forecastScale looks back on.
	forecastMemory = 20.0
	// minScale and maxScale bound forecastScale: forecasts that are off by more are useless.
	minScale = 0.3
	maxScale = 2.0
)

// observeFirstByte records how accurate the forecast of a response's first byte was and, if the
// engine had no other prompts, how fast its prefill is.
func (ps *prefillStats) observeFirstByte(r *request, e FirstByte) {
	if !r.prefilling {
		return
	}
	took := max(e.After.Seconds()-ps.minFirstByte, 0)
	ps.ownAccuracy.add(took, r.ownForecast, forecastMemory)
	if r.usedPeerForecast {
		ps.peerAccuracy.add(took, r.peerForecast, forecastMemory)
	}
	if r.prefillAlone && e.HasLoad && e.Load.Waiting == 0 {
		ps.learn(r.model, r.PromptTokens, e.After, r.server.statedFactor())
	}
}

// forecastScale is the factor that makes forecasts right in the mean, from the accuracy of earlier
// ones.
func forecastScale(accuracy *ratio) float64 {
	const priorRatio, priorSeconds = 1.0, 1.0 // unscaled until there are responses
	return min(max(accuracy.value(priorRatio, priorSeconds), minScale), maxScale)
}

// beginPrefill adds a request's prompt to the backlog of the server that it is sent to.
func (w *World) beginPrefill(r *request, v serverView) {
	s := v.server
	ps := &r.service.prefill
	unitTime := ps.perToken(r.model) * float64(r.PromptTokens)
	r.prefillTime = unitTime
	if r.service.statesSpeeds {
		r.prefillTime *= v.factor
	}
	r.prefillAlone = len(s.prefilling) == 0
	r.ownForecast = v.own.unscaledWait + r.prefillTime
	r.peerForecast = v.unscaledWait + r.prefillTime
	r.prefilling = true
	r.usedPeerForecast = w.peerLoadsFresh()
	r.firstByteDue = w.now.Add(seconds(v.wait + r.prefillTime + ps.minFirstByte))
	ps.meanPrefillTime.add(unitTime)
	s.prefilling = append(s.prefilling, r)
	s.prefillBacklog += r.prefillTime
}

// endPrefill removes the request's prompt from its server's backlog.
func (r *request) endPrefill() {
	if !r.prefilling || r.server == nil {
		return
	}
	r.prefilling = false
	r.server.prefilling = slices.DeleteFunc(r.server.prefilling, func(x *request) bool { return x == r })
	r.server.prefillBacklog = max(r.server.prefillBacklog-r.prefillTime, 0) // rounding could make it negative
	if len(r.server.prefilling) == 0 {
		r.server.prefillBacklog = 0
	}
}

// overdueAfter is how long a response must be overdue to show that its engine is behind.
const overdueAfter = 150 * time.Millisecond

// prefillRemaining is how many seconds of this instance's prefill the server still has to do. Each
// prompt's part shrinks until its response is due, and counts in full again once the response is
// overdueAfter late.
//
// Load: prompts with tenths of a second of prefill, most of which are partly processed. Harm
// prevented: engines that look twice as busy as they are, as prompts would count in full; and
// unresponsive ones that look idle, as overdue prompts would not count.
func (s *server) prefillRemaining(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.prefilling {
		left := r.firstByteDue.Sub(now)
		if left < -overdueAfter {
			sum += r.prefillTime
			continue
		}
		if s.service.statesSpeeds {
			left = left.Abs() // a late prompt's engine is busy, likely for as long again
		}
		sum += min(max(left.Seconds(), 0), r.prefillTime)
	}
	return sum
}

// prefillWaitFraction is the fraction of a request's remaining time for which its prompt may wait
// at an engine.
const prefillWaitFraction = 0.8

// maxPrefillWait is how long the request's prompt may be expected to wait at an engine, in seconds.
//
// Load: more prompts than the engines can process. Harm prevented: all of them sent at once, so
// that each waits for all others, including those of high priority and of small teams, and times
// out at its deadline. Requests in this instance's queue are served by priority and team instead,
// and can be refused as not run. A request that may have run is not held back, as it cannot be
// refused as not run and its caller would have waited for nothing.
func (r *request) maxPrefillWait(now time.Time) float64 {
	if !r.service.engine || r.mayHaveRun {
		return math.Inf(1)
	}
	return prefillWaitFraction * r.timeLeft(now).Seconds()
}

// othersPrefilling is the number of other instances' prompts that waited at the server by its own
// report.
func (s *server) othersPrefilling() float64 {
	return float64(max(s.reported.Waiting-s.prefillingAtReport, 0))
}
