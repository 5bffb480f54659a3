package admission

import (
	"math"
	"time"
)

const (
	// meterMemory is the time constant of the rates: short compared to a burst of four seconds, and long compared to
	// the delay of the reports, so that a level does not swing with it.
	meterMemory = 700 * time.Millisecond
	// minMeterAge bounds how far the rates of an instance that has just started are scaled up: its first few requests
	// say little about all instances.
	minMeterAge = time.Second
	// negligibleRate is the rate, in units of work a second, below which a class is forgotten.
	negligibleRate = 0.02
)

// Meter measures the demand at one instance.
type Meter struct {
	started time.Time
	classes map[Class]*rates
}

// rates are exponentially decaying sums of work.
type rates struct {
	offered, admitted float64
	at                time.Time
}

// Offer counts work that arrives.
func (m *Meter) Offer(now time.Time, c Class, work float64) { m.class(now, c).offered += work }

// Admit counts work that is sent to a server for the first time.
func (m *Meter) Admit(now time.Time, c Class, work float64) { m.class(now, c).admitted += work }

func (m *Meter) class(now time.Time, c Class) *rates {
	if m.classes == nil {
		m.classes, m.started = map[Class]*rates{}, now
	}
	r := m.classes[c]
	if r == nil {
		r = &rates{at: now}
		m.classes[c] = r
	}
	r.decay(now)
	return r
}

func (r *rates) decay(now time.Time) {
	f := math.Exp(-max(now.Sub(r.at), 0).Seconds() / meterMemory.Seconds())
	r.offered, r.admitted, r.at = r.offered*f, r.admitted*f, now
}

// Demand returns the demand now. waiting is the work that is queued, by class.
func (m *Meter) Demand(now time.Time, waiting map[Class]float64) []Demand {
	age := max(now.Sub(m.started), minMeterAge).Seconds() / meterMemory.Seconds()
	perSecond := 1 / (meterMemory.Seconds() * (1 - math.Exp(-age)))
	var out []Demand
	for c, r := range m.classes {
		r.decay(now)
		if r.offered+r.admitted < negligibleRate && waiting[c] == 0 {
			delete(m.classes, c)
			continue
		}
		out = append(out, Demand{Class: c, Offered: r.offered * perSecond, Admitted: r.admitted * perSecond, Waiting: waiting[c]})
	}
	for c, work := range waiting {
		if m.classes[c] == nil {
			out = append(out, Demand{Class: c, Waiting: work})
		}
	}
	return Sum(out)
}
