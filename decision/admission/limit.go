package admission

import (
	"math"
	"time"
)

const (
	// limitMemory is the time constant with which a limit follows the estimate: longer than the delay of the reports, as
	// a limit that is corrected faster than its effect is seen swings.
	limitMemory = 500 * time.Millisecond
	// idlePressure is the pressure below which there is room to spare.
	idlePressure = 0.25
	// spareExcess is how much more than the estimate is admitted at no pressure, so that a service that takes more again is
	// noticed; correction is by how much of it less is admitted at a pressure of 1, leastCorrection the least part.
	spareExcess     = 1.1
	correction      = 0.15
	leastCorrection = 0.75
	// growth and decline are the factors by which a limit without an estimate changes in a second with no pressure, and
	// with twice the pressure that is tolerable.
	growth  = 1.5
	decline = 0.8
	// leastOffered bounds a limit as a part of the demand, so that it soon rises again after a long lack of room.
	leastOffered = 0.02
	// releaseMargin is how far above the demand a limit ends.
	releaseMargin = 1.25
	// leastNominal and mostNominal bound a limit, as parts of the nominal room: rejections are reported for seconds after
	// the servers have room again, and instances that do not see each other's requests leave slots idle at times.
	leastNominal = 0.85
	mostNominal  = 0.95
)

// Room is what is known of a service's room. Rates are in units of work a second, for all instances.
type Room struct {
	// Offered is the work that arrives.
	Offered float64
	// Pressure is how long work waits, or how much of it the servers reject, relative to what is tolerable: 1 or more if
	// there is too little room.
	Pressure float64
	// Estimate is the work that the servers get through if all of them are busy, 0 if it is unknown.
	Estimate float64
	// Nominal is the room of the servers' slots by the measured work of a request, +Inf if unknown.
	Nominal float64
}

// Limit follows a service's room.
//
// Load: servers whose speed nobody states. Harm prevented: a level from a nominal capacity that refuses while there
// is room, or admits what then waits for too long.
type Limit struct {
	rate float64 // 0 for none
	at   time.Time
}

// Update returns the room now, in units of work a second, +Inf if no limit is needed.
func (l *Limit) Update(now time.Time, r Room) float64 {
	dt := min(max(now.Sub(l.at), 0).Seconds(), 1)
	l.at = now
	switch {
	case l.rate > 0:
		l.follow(dt, r)
		l.rate = max(l.rate, leastOffered*r.Offered)
	case r.Offered > r.Nominal:
		l.rate = r.Nominal
	case r.Pressure >= 1 && r.Estimate > 0:
		l.rate = r.Estimate
	case r.Pressure >= 1:
		l.rate = r.Offered
	}
	if l.rate <= 0 {
		return math.Inf(1)
	}
	if !math.IsInf(r.Nominal, 1) {
		l.rate = min(max(l.rate, leastNominal*r.Nominal), mostNominal*r.Nominal)
	}
	if r.Pressure < idlePressure && l.rate > releaseMargin*r.Offered {
		l.rate = 0
		return math.Inf(1)
	}
	return l.rate
}

// follow changes the limit after dt seconds.
func (l *Limit) follow(dt float64, r Room) {
	if r.Estimate > 0 {
		target := r.Estimate * max(spareExcess-correction*r.Pressure, leastCorrection)
		next := l.rate + (target-l.rate)*(1-math.Exp(-dt/limitMemory.Seconds()))
		if r.Pressure < idlePressure {
			// Nothing waits: the estimate is what the limit itself admits.
			next = max(next, l.rate*math.Pow(growth, dt))
		}
		l.rate = next
		return
	}
	switch {
	case r.Pressure < idlePressure:
		l.rate *= math.Pow(growth, dt)
	case r.Pressure > 1:
		l.rate *= math.Pow(decline, dt*min(r.Pressure-1, 2))
	}
}
