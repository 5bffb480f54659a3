package decision

import (
	"math"
	"time"
)

// decayClock is the common decay of all usage meters. Instead of decaying old
// values it scales new ones up, so that one exponential per tick serves every
// meter.
type decayClock struct {
	base time.Time
	// scale is the weight of work added now; it doubles with each half-life.
	scale float64
}

// rescaleAt is the value at which decayClock.scale is reset to 1, far below an
// overflow.
const rescaleAt = 1 << 40

// advance moves the clock to now. It returns the factor by which all meters must be
// multiplied: 1 unless the scale was reset.
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

// usageMeter measures the rate of dispatched work of a flow or a pool, in cost per
// second, with or without a backlog.
type usageMeter struct {
	// sum is the scaled cost; startScale is the scale at the first addition, 0
	// before it.
	sum        float64
	startScale float64
}

// add records cost dispatched now.
func (m *usageMeter) add(cost float64, c *decayClock) {
	if m.startScale == 0 {
		m.startScale = c.scale
	}
	m.sum += cost * c.scale
}

// rate is the recent cost per second. The average is taken over the time since the
// first addition, which is decayed like the cost, but over at least 0.5 s.
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

// advanceUsage advances the clock of the usage meters.
func (w *World) advanceUsage() {
	factor := w.usageClock.advance(w.now, w.cfg.RateHalfLife)
	if factor == 1 {
		return
	}
	for _, p := range w.versionPools {
		p.rescaleUsage(factor)
	}
	for _, p := range w.servicePools {
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
