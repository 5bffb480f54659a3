package decision

import (
	"math"
	"time"
)

// decayClock is what all useMeters decay by. New work counts for more instead of
// old work for less, so that one exponential a tick serves every meter.
type decayClock struct {
	base time.Time
	// scale is what work counts for now: it doubles with each half-life.
	scale float64
}

// rescaleAt is where the scale starts anew; far from where it would overflow.
const rescaleAt = 1 << 40

// advance moves the clock on. It returns by what to multiply all meters where
// the scale starts anew, and else 1.
func (c *decayClock) advance(now time.Time, halfLife time.Duration) float64 {
	if c.scale == 0 {
		c.base, c.scale = now, 1
		return 1
	}
	c.scale = math.Exp2(now.Sub(c.base).Seconds() / halfLife.Seconds())
	if c.scale < rescaleAt {
		return 1
	}
	factor := 1 / c.scale
	c.base, c.scale = now, 1
	return factor
}

// useMeter measures how much a flow or a pool sends, in cost a second, whether
// or not there is a backlog.
type usageMeter struct {
	// sum is scaled; born is the scale at the first work, 0 before it.
	sum        float64
	startScale float64
}

// add notes cost sent now.
func (m *usageMeter) add(cost float64, c *decayClock) {
	if m.startScale == 0 {
		m.startScale = c.scale
	}
	m.sum += cost * c.scale
}

// rate is the cost a second of late. A young meter is divided by its age, not by
// the half-life; under half a second it counts as that old.
func (m *usageMeter) rate(c *decayClock, halfLife time.Duration) float64 {
	if m.startScale == 0 {
		return 0
	}
	span := (1 - m.startScale/c.scale) * halfLife.Seconds() / math.Ln2
	return m.sum / c.scale / max(span, 0.5)
}

func (m *usageMeter) rescale(factor float64) {
	m.sum *= factor
	m.startScale *= factor
}

// advanceUse moves the meters of use on.
func (w *World) advanceUsage() {
	factor := w.usageClock.advance(w.now, w.cfg.DrainRateHalfLife)
	if factor == 1 {
		return
	}
	for _, p := range w.pools {
		p.rescaleUsage(factor)
	}
	for _, p := range w.services {
		p.rescaleUsage(factor)
	}
}

func (p *pool) rescaleUsage(factor float64) {
	p.usage.rescale(factor)
	if p.shared != nil {
		p.shared.usage.rescale(factor)
	}
	for _, f := range p.flows {
		if f != nil {
			f.usage.rescale(factor)
		}
	}
}
