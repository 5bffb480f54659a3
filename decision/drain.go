package decision

import (
	"math"
	"math/bits"
	"time"
)

// drainMeter measures how fast a pool's queue is worked off, in cost a second.
//
// Load: saturation, where other instances use the same servers. What truly left
// the queue while there was one shows this instance's part of them.
type drainMeter struct {
	// work and busy are what left the queue, and the seconds in which there was
	// one, both decayed by such seconds only: what a saturated pool gave is the
	// best guess for the next time that it is saturated.
	work float64
	busy float64
}

// advance decays the meter by a time in which the queue was backlogged.
func (m *drainMeter) advance(elapsed, halfLife time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	m.work *= keep
	m.busy = m.busy*keep + elapsed.Seconds()
}

// left notes work that left a backlogged queue.
func (m *drainMeter) add(cost float64) { m.work += cost }

// rate is the cost a second that leaves the queue. The guess counts as a tenth
// of the half-life, so that half a second of backlog outweighs it by default.
func (m *drainMeter) rate(guess float64, halfLife time.Duration) float64 {
	prior := halfLife.Seconds() / 10
	if guess == 0 && m.busy < prior {
		return 0
	}
	if guess == 0 {
		return m.work / m.busy
	}
	return (m.work + guess*prior) / (m.busy + prior)
}

// biasMeter measures by how much waits turn out longer than was estimated.
//
// Load: many teams with thin queues, at saturation. Each later arrival of a team
// that was served less goes first, which no look at the present queue can show. It
// is kept for each team: those below their share wait for a slot only, and the
// others' longer waits must not speak against them.
type biasMeter struct {
	// expected and waited are seconds, decayed by count.
	expected float64
	waited   float64
}

// learn notes that a request waited so long for a slot, or gave up waiting.
func (m *biasMeter) learn(expected, waited time.Duration) {
	m.expected = m.expected*decayPerAttempt + expected.Seconds()
	m.waited = m.waited*decayPerAttempt + waited.Seconds()
}

// Bounds of the correction: beyond them it is the rate that is wrong, and that
// is measured by itself.
const (
	minWaitBias = 0.5
	maxWaitBias = 4
)

// factor is what to multiply an estimate by. One second of a right estimate is
// counted in, so that the first few waits do not swing it.
func (m *biasMeter) factor() float64 {
	return min(max((m.waited+1)/(m.expected+1), minWaitBias), maxWaitBias)
}

// paceMeter measures how long a pool's attempts take for their cost.
type serviceTimeMeter struct {
	// count, cost and seconds of completed attempts, decayed by count.
	count   float64
	cost    float64
	seconds float64
	// off is the mean part by which an attempt took longer or shorter than was
	// estimated.
	meanError float64
	// answered is the mean part of the tokens that were allowed for that an
	// answer had.
	lengthRatio float64
	// sizes are the same by size of the work: a short answer spends most of its
	// time on its prompt, and takes longer for its cost than a long one.
	sizes [sizeClasses]sizeTotals
}

// sizePace is the time of attempts of a size.
type sizeTotals struct {
	cost    float64
	seconds float64
}

// maxSizes bounds the sizes, each twice the one before: up to some 500,000 tokens.
const sizeClasses = 20

func sizeClass(cost float64) int { return min(bits.Len(uint(cost)), sizeClasses-1) }

// perAttempt keeps about the last 50 attempts: enough to smooth, few enough to
// follow a change of load within seconds.
const decayPerAttempt = 0.98

// learn notes a completed attempt.
func (m *serviceTimeMeter) learn(took time.Duration, cost float64) {
	if expected := m.estimate(cost); expected > 0 {
		off := math.Abs(took.Seconds()/expected.Seconds() - 1)
		m.meanError += (min(off, 1) - m.meanError) * (1 - decayPerAttempt)
	}
	m.count = m.count*decayPerAttempt + 1
	m.cost = m.cost*decayPerAttempt + cost
	m.seconds = m.seconds*decayPerAttempt + took.Seconds()
	size := &m.sizes[sizeClass(cost)]
	size.cost = size.cost*decayPerAttempt + cost
	size.seconds = size.seconds*decayPerAttempt + took.Seconds()
}

// learnTokens notes an answer's length as a part of what was allowed for.
func (m *serviceTimeMeter) learnTokens(tokens, allowed float64) {
	if allowed <= 0 {
		return
	}
	part := min(tokens/allowed, 1)
	if m.lengthRatio == 0 {
		m.lengthRatio = part
	}
	m.lengthRatio += (part - m.lengthRatio) * (1 - decayPerAttempt)
}

// sizePrior is how many attempts of a size the pace of all sizes counts for.
const sizePriorAttempts = 3

// service estimates how long an attempt of the cost takes, by those of its size
// and by all; 0 before anything is known.
func (m *serviceTimeMeter) estimate(cost float64) time.Duration {
	if m.cost == 0 {
		return 0
	}
	size := &m.sizes[sizeClass(cost)]
	prior := sizePriorAttempts * cost
	pace := (size.seconds + prior*m.seconds/m.cost) / (size.cost + prior)
	return seconds(cost * pace)
}

// atMost is the estimate with the usual error added: most attempts take less.
func (m *serviceTimeMeter) upperBound(cost float64) time.Duration {
	return time.Duration(float64(m.estimate(cost)) * (1 + m.meanError))
}

// meanCost is that of an attempt.
func (m *serviceTimeMeter) meanCost() float64 {
	if m.count == 0 {
		return 0
	}
	return m.cost / m.count
}

// rate guesses the cost a second that so many slots work off; 0 before anything
// is known.
func (m *serviceTimeMeter) rate(slots int) float64 {
	if m.seconds == 0 {
		return 0
	}
	return float64(slots) * m.cost / m.seconds
}

// seconds turns a number of seconds into a duration, bounded to a day so that no
// estimate overflows.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(max(s, 0), day) * float64(time.Second))
}

// backlogMeter measures for which part of the last while a queue stood.
type backlogMeter struct {
	past     float64
	at       time.Time
	standing bool
}

// set notes that the queue stands or is empty from now on.
func (m *backlogMeter) set(standing bool, now time.Time, halfLife time.Duration) {
	m.past = m.part(now, halfLife)
	m.at = now
	m.standing = standing
}

// part is 0 for never and 1 for always; half of a lasting change shows after the
// half-life.
func (m *backlogMeter) part(now time.Time, halfLife time.Duration) float64 {
	left := m.past * math.Exp2(-now.Sub(m.at).Seconds()/halfLife.Seconds())
	if !m.standing {
		return left
	}
	return left + 1 - math.Exp2(-now.Sub(m.at).Seconds()/halfLife.Seconds())
}
