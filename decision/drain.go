package decision

import (
	"math"
	"time"
)

// drainMeter measures how fast a pool works off its queue, in cost a second.
//
// Load: saturation, where other instances use the same pool. The pool's slots
// and the time per cost give a first guess; what truly left the queue while it
// was backlogged replaces it, since only that shows this instance's share.
type drainMeter struct {
	// work and busy are what left the queue, and the seconds in which there was
	// one, both decayed.
	work float64
	busy float64
	// cost and seconds of completed attempts, decayed by count.
	cost    float64
	seconds float64
}

// perAttempt keeps about the last 50 attempts: enough to smooth, few enough to
// follow a change of load within seconds.
const perAttempt = 0.98

// advance decays the meter by the time in which the pool was backlogged.
func (m *drainMeter) advance(elapsed, halfLife time.Duration) {
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	m.work *= keep
	m.busy = m.busy*keep + elapsed.Seconds()
}

// left notes work that left a backlogged queue.
func (m *drainMeter) left(cost float64) { m.work += cost }

// learn notes a completed attempt.
func (m *drainMeter) learn(took time.Duration, cost float64) {
	m.cost = m.cost*perAttempt + cost
	m.seconds = m.seconds*perAttempt + took.Seconds()
}

// service estimates how long an attempt of the cost takes; 0 before anything is
// known.
func (m *drainMeter) service(cost float64) time.Duration {
	if m.cost == 0 {
		return 0
	}
	return seconds(cost * m.seconds / m.cost)
}

// rate is the cost a second that leaves the queue; 0 before anything is known.
func (m *drainMeter) rate(slots int, window time.Duration) float64 {
	guess := 0.0
	if m.seconds > 0 {
		guess = float64(slots) * m.cost / m.seconds
	}
	if guess == 0 {
		if m.busy < window.Seconds() {
			return 0
		}
		return m.work / m.busy
	}
	// The guess counts as a tenth of the window, so that about half a second of
	// backlog outweighs it.
	prior := window.Seconds() / 10
	return (m.work + guess*prior) / (m.busy + prior)
}

// seconds turns a number of seconds into a duration, bounded to a day so that no
// estimate overflows.
func seconds(s float64) time.Duration {
	const day = 24 * 60 * 60
	return time.Duration(min(max(s, 0), day) * float64(time.Second))
}
