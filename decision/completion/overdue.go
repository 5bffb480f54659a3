package completion

import "time"

// Progress is how far an attempt is.
type Progress struct {
	// Since is the time since its dispatch.
	Since time.Duration
	// Begun is true once the response's head has arrived. Events is the number of events received, Interval the time
	// between them at the present rate, 0 if unknown.
	Begun    bool
	Events   int
	Interval time.Duration
}

const (
	// minOverdue is how much later than forecast a first event must be before the attempt may be given up: a forecast of
	// a busy server is off by tenths of a second.
	minOverdue = 500 * time.Millisecond
	// checkInterval is at least the time between two decisions on an attempt: what cannot wait for the next one is
	// decided now.
	checkInterval = 250 * time.Millisecond
	// minEvents is how many events a stream must have before its rate is judged: enough to average out the pause for
	// another request's prefill.
	minEvents = 6
	// lateMargin is by how much the present rate must miss the deadline: a rate that just misses it may improve, and
	// half of all responses are shorter than estimated.
	lateMargin = 1.15
	// betterFraction is the fraction of the time here in which the other server must be done: the repeated prefill
	// delays the responses there.
	betterFraction = 0.75
	// urgency is how many times the rest of a stream would fit into the time left at another server when it is moved
	// there. As long as it fits more often, the stream stays: its rate may improve, and it may be shorter than estimated.
	urgency = 1.8
)

// MayMiss reports whether the attempt may have to be given up if another server is better: first and remaining are
// as in GivesUp.
func (p Progress) MayMiss(left, first time.Duration, remaining int) bool {
	if p.Events > 0 {
		return p.missesDeadline(left, remaining)
	}
	return !p.Begun && p.Since-first >= minOverdue
}

// GivesUp reports whether an attempt is better given up for another server, with the time left to the deadline. first is
// when its first event was forecast after the dispatch, generation how long the events that are still to come take at the
// present server by its learned rate, remaining their number, and elsewhere the forecast of the same work at the best
// other server, where the prefill is repeated.
//
// Load: streams at servers that became slow, and short requests at full ones, with seconds to their deadline. Harm
// prevented: a caller that waits up to the deadline for a response that cannot come, while another server could give it.
func (p Progress) GivesUp(left, first, generation time.Duration, remaining int, elsewhere Forecast) bool {
	if elsewhere.End <= 0 || !elsewhere.EndsWithin(left) {
		return false
	}
	if !p.MayMiss(left, first, remaining) {
		return false
	}
	if p.Events > 0 {
		here := time.Duration(remaining) * p.Interval
		return scale(here, betterFraction) > elsewhere.End && scale(elsewhere.End, urgency) > left
	}
	late := p.Since - first
	// What is late by a time is expected to take about as long again.
	here := late + generation
	if here > left && scale(here, betterFraction) > elsewhere.End {
		return true
	}
	lastChance := !elsewhere.EndsWithin(left - checkInterval)
	return lastChance && late > first
}

// missesDeadline reports whether a stream that has begun misses the deadline at its present rate.
func (p Progress) missesDeadline(left time.Duration, remaining int) bool {
	if p.Events < minEvents || p.Interval <= 0 || remaining <= 0 {
		return false
	}
	return time.Duration(remaining)*p.Interval > scale(left, lateMargin)
}
