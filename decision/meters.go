package decision

import (
	"math"
	"math/bits"
	"time"
)

// drainMeter measures the rate at which a pool's queue drains, in cost per second.
//
// Load: saturation, where other instances use the same servers. The cost that left
// the queue while there was a backlog shows this instance's part of the capacity.
type drainMeter struct {
	// work is the cost that left the queue, busy the seconds with a backlog. Both
	// decay only while there is a backlog, so that the rate measured in one
	// saturation is kept until the next, for which it is the best prediction.
	work float64
	busy float64
}

// advance decays the meter by a time in which there was a backlog.
func (m *drainMeter) advance(elapsed, halfLife time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	m.work *= keep
	m.busy = m.busy*keep + elapsed.Seconds()
}

// add records cost that left a backlogged queue.
func (m *drainMeter) add(cost float64) { m.work += cost }

// rate is the drain rate in cost per second. expected is the rate computed from the
// service times, 0 if unknown. It weighs as much as a backlog of a tenth of the
// half-life (by default half a second), so that a longer backlog outweighs it.
func (m *drainMeter) rate(expected float64, halfLife time.Duration) float64 {
	priorSeconds := halfLife.Seconds() / 10
	if expected == 0 && m.busy < priorSeconds {
		return 0
	}
	if expected == 0 {
		return m.work / m.busy
	}
	return (m.work + expected*priorSeconds) / (m.busy + priorSeconds)
}

// biasMeter measures the ratio of actual to estimated waits.
//
// Load: many teams with short queues, at saturation. Later arrivals of a team that
// got less than its share overtake the queued requests of other teams; an estimate
// from the present queue cannot include them. There is one meter per team and pool.
// Harm prevented: teams below their share, which wait for a slot only, are refused
// because of the longer waits of the others.
type biasMeter struct {
	// expected and waited are sums in seconds, decayed with each wait.
	expected float64
	waited   float64
}

// learn records how long a request waited until it got a slot or was ended
// without one.
func (m *biasMeter) learn(expected, waited time.Duration) {
	m.expected = m.expected*decayPerSample + expected.Seconds()
	m.waited = m.waited*decayPerSample + waited.Seconds()
}

// Bounds of the correction factor: beyond them the drain rate is wrong, which is
// measured separately.
const (
	minWaitBias = 0.5
	maxWaitBias = 4
)

// factor is the correction factor of an estimate. One second of a correct estimate
// is included as a prior, so that the first few waits do not dominate it.
func (m *biasMeter) factor() float64 {
	return min(max((m.waited+1)/(m.expected+1), minWaitBias), maxWaitBias)
}

// serviceTimeMeter measures the service time of a pool's attempts by their cost.
type serviceTimeMeter struct {
	// count, cost and seconds are sums over the completed attempts, decayed with
	// each attempt.
	count   float64
	cost    float64
	seconds float64
	// meanError is the mean relative error of the estimate, at most 1 per attempt.
	meanError float64
	// lengthRatio is the mean length of an answer as a fraction of the tokens
	// allowed for it.
	lengthRatio float64
	// sizes holds sums per size class: a short answer spends most of its time on
	// the prompt and takes longer per unit of cost than a long one.
	sizes [sizeClasses]sizeTotals
}

// sizeTotals is the cost and time of the attempts of one size class.
type sizeTotals struct {
	cost    float64
	seconds float64
}

// sizeClasses is the number of size classes. Each spans twice the cost of the one
// before, up to about 500,000 tokens.
const sizeClasses = 20

func sizeClass(cost float64) int { return min(bits.Len(uint(cost)), sizeClasses-1) }

// decayPerSample gives an average over about the last 50 samples: enough to smooth,
// few enough to follow a change of load within seconds.
const decayPerSample = 0.98

// learn records a completed attempt.
func (m *serviceTimeMeter) learn(took time.Duration, cost float64) {
	if expected := m.estimate(cost); expected > 0 {
		relativeError := math.Abs(took.Seconds()/expected.Seconds() - 1)
		m.meanError += (min(relativeError, 1) - m.meanError) * (1 - decayPerSample)
	}
	m.count = m.count*decayPerSample + 1
	m.cost = m.cost*decayPerSample + cost
	m.seconds = m.seconds*decayPerSample + took.Seconds()
	size := &m.sizes[sizeClass(cost)]
	size.cost = size.cost*decayPerSample + cost
	size.seconds = size.seconds*decayPerSample + took.Seconds()
}

// learnTokens records an answer's length relative to the tokens allowed for it.
func (m *serviceTimeMeter) learnTokens(tokens, allowed float64) {
	if allowed <= 0 {
		return
	}
	ratio := min(tokens/allowed, 1)
	if m.lengthRatio == 0 {
		m.lengthRatio = ratio
	}
	m.lengthRatio += (ratio - m.lengthRatio) * (1 - decayPerSample)
}

// sizePriorAttempts is the weight of the average over all sizes in the estimate of
// one size class, in attempts.
const sizePriorAttempts = 3

// estimate returns the expected service time of an attempt of the cost, from those
// of its size class and from all; 0 before any attempt has completed.
func (m *serviceTimeMeter) estimate(cost float64) time.Duration {
	if m.cost == 0 {
		return 0
	}
	size := &m.sizes[sizeClass(cost)]
	priorCost := sizePriorAttempts * cost
	secondsPerCost := (size.seconds + priorCost*m.seconds/m.cost) / (size.cost + priorCost)
	return seconds(cost * secondsPerCost)
}

// upperBound is the estimate plus its mean error: most attempts take less.
func (m *serviceTimeMeter) upperBound(cost float64) time.Duration {
	return time.Duration(float64(m.estimate(cost)) * (1 + m.meanError))
}

// meanCost is the mean cost of an attempt; 0 before any has completed.
func (m *serviceTimeMeter) meanCost() float64 {
	if m.count == 0 {
		return 0
	}
	return m.cost / m.count
}

// rate is the expected throughput of the slots in cost per second; 0 before any
// attempt has completed.
func (m *serviceTimeMeter) rate(slots int) float64 {
	if m.seconds == 0 {
		return 0
	}
	return float64(slots) * m.cost / m.seconds
}

// seconds converts a number of seconds to a duration, clamped to the range from 0
// to 1 day so that no estimate overflows.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(max(s, 0), day) * float64(time.Second))
}

// backlogMeter measures for which fraction of the recent past a queue was not
// empty, as an exponentially decaying average.
type backlogMeter struct {
	// decayed is the fraction at updatedAt.
	decayed    float64
	updatedAt  time.Time
	backlogged bool
}

// set records that the queue is not empty, or empty, from now on.
func (m *backlogMeter) set(backlogged bool, now time.Time, halfLife time.Duration) {
	m.decayed = m.fraction(now, halfLife)
	m.updatedAt = now
	m.backlogged = backlogged
}

// fraction returns the fraction, from 0 to 1, of the recent past in which the queue
// was not empty. After a lasting change it covers half of the difference in one
// half-life.
func (m *backlogMeter) fraction(now time.Time, halfLife time.Duration) float64 {
	left := m.decayed * math.Exp2(-now.Sub(m.updatedAt).Seconds()/halfLife.Seconds())
	if !m.backlogged {
		return left
	}
	return left + 1 - math.Exp2(-now.Sub(m.updatedAt).Seconds()/halfLife.Seconds())
}
