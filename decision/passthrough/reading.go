package passthrough

import (
	"math"
	"slices"
	"time"
)

// An engine's time goes into reading prompts: idle, it generates at 15 ms an event with any
// model, but reads 300 tokens a millisecond with the smallest and 30 with the largest, and
// all that it generates waits meanwhile. So load is measured here in seconds that an engine
// has still to read, not in places.

const (
	// smallestRead and largerRead are the seconds that a prompt token takes to be read by
	// the smallest and by a larger model, until answers of idle engines have told.
	smallestPrefillPerToken = 5e-6
	largerPrefillPerToken   = 30e-6
	// readMemory is how many prompt tokens the measured speeds look back on: some 50
	// prompts.
	prefillMemoryTokens = 200_000
	// waitLife is how long an engine's word on prompts that wait there counts: they are
	// read within a second.
	reportedPrefillTTL = time.Second
	// usualLife is how long what others usually have waiting at a server counts when no
	// server says anything: who is kept from sending hears nothing.
	meanPrefillTTL = 3 * time.Second
)

// readStats is what is learnt of how a service's engines read prompts.
type prefillStats struct {
	// by is the seconds of answers of idle engines to their prompts' tokens, by model size;
	// plainSize stands for models that callers name.
	perModel map[int]*ratio
	// least is the time to a first event where nothing was to be read, in seconds.
	minFirstByte float64
	// came is the times to first events to this instance's own forecasts of them, both in seconds,
	// cameShared to those by the word of all instances.
	ownAccuracy  ratio
	peerAccuracy ratio
	// heardAt is when a server last stated its load.
	lastReportAt time.Time
	// work is the mean of the seconds that a prompt takes, and unread that of the prompts of
	// other instances which wait at a server.
	meanPrefillTime      movingAverage
	meanOthersPrefilling movingAverage
}

// ratio is a sum to another one, of which the older parts fade.
type ratio struct{ numerator, denominator float64 }

// add takes in one more of each; whole grows to memory at most.
func (q *ratio) add(numerator, denominator, memory float64) {
	q.numerator += numerator
	q.denominator += denominator
	if over := q.denominator / memory; over > 1 {
		q.numerator /= over
		q.denominator /= over
	}
}

// value is the ratio, with so much weight given to what is thought before anything was seen.
func (q ratio) value(prior, weight float64) float64 {
	return (q.numerator + prior*weight) / (q.denominator + weight)
}

// perToken is how long a prompt token takes to be read, in seconds, with what was cached
// taken in.
func (rs *prefillStats) perToken(model int) float64 {
	prior := smallestPrefillPerToken
	if model > 0 {
		prior = largerPrefillPerToken
	}
	speed := rs.perModel[model]
	if speed == nil {
		return prior
	}
	const priorTokens = 10_000 // weighs as much as one or two prompts
	return speed.value(prior, priorTokens)
}

// learn takes in the time to the first event of an answer that had its engine for itself.
func (rs *prefillStats) learn(model, tokens int, took time.Duration) {
	const drift = 1.001 // a least that an odd answer set too low is forgotten
	x := took.Seconds()
	rs.minFirstByte *= drift
	if rs.minFirstByte == 0 || x < rs.minFirstByte {
		rs.minFirstByte = x
	}
	rowFor(&rs.perModel, model).add(x-rs.minFirstByte, float64(tokens), prefillMemoryTokens)
}

const (
	// scaleMemory is the seconds of waiting that the scale of forecasts looks back on.
	scaleMemory = 20.0
	// scaleLeast and scaleMost bound it: forecasts that are off by more are none.
	minScale = 0.3
	maxScale = 2.0
)

// began takes in an answer's first event: how right its forecast was, and, where the engine
// had nothing else to read, how fast it reads.
func (rs *prefillStats) observeFirstByte(r *request, e FirstByte) {
	if !r.prefilling {
		return
	}
	took := max(e.After.Seconds()-rs.minFirstByte, 0)
	rs.ownAccuracy.add(took, r.ownForecast, scaleMemory)
	if r.usedPeerForecast {
		rs.peerAccuracy.add(took, r.peerForecast, scaleMemory)
	}
	if r.prefillAlone && e.HasLoad && e.Load.Waiting == 0 {
		rs.learn(r.model, r.PromptTokens, e.After)
	}
}

// scale is what forecasts are multiplied by, to be right in the mean, by what came of earlier ones.
func forecastScale(accuracy *ratio) float64 {
	const right, priorSeconds = 1.0, 1.0 // until there were answers
	return min(max(accuracy.value(right, priorSeconds), minScale), maxScale)
}

// toRead counts a request's prompt at the engine that it is sent to.
func (w *World) beginPrefill(r *request, v serverView) {
	s := v.server
	rs := &r.service.prefill
	r.prefillTime = rs.perToken(r.model) * float64(r.PromptTokens)
	r.prefillAlone = len(s.prefilling) == 0
	r.ownForecast = v.own.unscaledWait + r.prefillTime
	r.peerForecast = v.unscaledWait + r.prefillTime
	r.prefilling = true
	r.usedPeerForecast = w.peerLoadsFresh()
	r.firstByteDue = w.now.Add(seconds(v.wait + r.prefillTime + rs.minFirstByte))
	rs.meanPrefillTime.add(r.prefillTime)
	s.prefilling = append(s.prefilling, r)
	s.prefillBacklog += r.prefillTime
}

// hasRead takes the request's prompt off what its server has to read.
func (r *request) endPrefill() {
	if !r.prefilling || r.server == nil {
		return
	}
	r.prefilling = false
	r.server.prefilling = slices.DeleteFunc(r.server.prefilling, func(x *request) bool { return x == r })
	r.server.prefillBacklog = max(r.server.prefillBacklog-r.prefillTime, 0) // rounding may go below
	if len(r.server.prefilling) == 0 {
		r.server.prefillBacklog = 0
	}
}

// overdue is how long after it was due an answer that has not begun tells that its engine is behind.
const overdueAfter = 150 * time.Millisecond

// remaining is how many seconds of this instance's prompts the server has still to read: less and
// less until an answer is due, and all of it again once that is overdue.
//
// Load: prompts of tenths of a second, of which most are read in part. Harm prevented: engines that
// pass for twice as busy as they are, and dark ones that pass for idle.
func (s *server) prefillRemaining(now time.Time) float64 {
	sum := 0.0
	for _, r := range s.prefilling {
		left := r.firstByteDue.Sub(now)
		if left < -overdueAfter {
			sum += r.prefillTime
			continue
		}
		sum += min(max(left.Seconds(), 0), r.prefillTime)
	}
	return sum
}

// unreadPart is the part of the time that a request has left for which it may wait at an
// engine.
const prefillWaitFraction = 0.8

// mostUnread is how long the request's prompt may wait at an engine, in seconds, by what is
// thought of that.
//
// Load: more prompts than the engines read. Harm prevented: all of them sent on at once, so
// that each waits for all others, the urgent ones and those of small teams too, and is given
// up at its deadline. What waits in the queue here goes by rank and team, and can be refused
// as not run. A request that has run before is not kept: its caller would have waited for
// nothing.
func (r *request) maxPrefillWait(now time.Time) float64 {
	if !r.service.engine || r.mayHaveRun {
		return math.Inf(1)
	}
	return prefillWaitFraction * r.timeLeft(now).Seconds()
}

// othersUnread is the other instances' prompts that waited at the server by its own word.
func (s *server) othersPrefilling() float64 {
	return float64(max(s.reported.Waiting-s.prefillingAtReport, 0))
}
