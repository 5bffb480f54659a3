package verdict

import "math"

// channel is one kind of observation of one version, 0 worst and 1 best.
type channel struct {
	// byClass holds the pasts of the classes of requests; errors have one only.
	byClass map[string]*past
	fall    detector
	rise    detector
	bad     bool
	// run is the present stretch under suspicion, as differences to the line.
	run mean
	// proof is how far above the line, and so mostly below 0, a bad version must
	// prove itself to be.
	proof   float64
	returns int
}

// past is what was observed of one class of requests.
type past struct {
	// own leaves out the stretches under suspicion: the reference for the version
	// itself.
	own mean
	// seen and recent have everything: the reference for a successor.
	seen   mean
	recent mean
}

// maxClasses bounds the classes of one version, which callers choose; further
// ones share one past.
const maxClasses = 32

const otherClasses = ""

func newChannel(s stakes) channel {
	return channel{
		byClass: make(map[string]*past),
		fall:    detector{stakes: s, restart: true},
		rise:    detector{stakes: s},
	}
}

// past returns the past of a class, made if need be.
func (c *channel) past(class string) *past {
	if p := c.byClass[class]; p != nil {
		return p
	}
	if len(c.byClass) >= maxClasses {
		class = otherClasses
	}
	p := c.byClass[class]
	if p == nil {
		p = &past{}
		c.byClass[class] = p
	}
	return p
}

// suspicion is the evidence from which a version's own reference stops
// learning: else a version that goes bad would teach its reference to be bad.
const suspicion = 2.0

// watch takes in an observation of a version that is not barred.
func (c *channel) watch(p *past, x, line float64, cfg *VersionConfig) {
	c.run.add(x-line, cfg.Memory)
	c.fall.addBelow(x, line)
	evidence := c.fall.evidence()
	if evidence < suspicion {
		p.own.add(x, cfg.Memory)
		c.run = mean{}
	}
	if evidence >= threshold(cfg.FalseAlarm) {
		c.condemn()
	}
}

// suspected reports whether half of the evidence for a verdict is there, as the
// log of a chance: two instances that each have half have it whole together.
func (c *channel) suspected(cfg *VersionConfig) bool {
	return !c.bad && c.fall.evidence() >= threshold(cfg.FalseAlarm)/2
}

// condemn turns the verdict to bad.
func (c *channel) condemn() {
	c.bad = true
	// Halfway from what it did to the line tells mended from still bad in the
	// fewest probes. After each return that did not last, the proof moves
	// halfway on to the line, so that half mended does not come and go for ever.
	c.proof = min(c.run.mu, 0) / math.Exp2(float64(c.returns+1))
	c.fall.reset()
	c.rise.reset()
}

// recentMemory is how many observations of the predecessor tell that a fault
// hits it now as well.
const recentMemory = 50

// probeEnded collects evidence that a bad version is good again. A version that
// was taken back wrongly must prove itself twice as well the next time.
func (c *channel) probeEnded(x, line float64, cfg *VersionConfig) {
	c.rise.addAbove(x, line+c.proof)
	alpha := cfg.WrongRecovery / math.Exp2(float64(c.returns))
	if c.rise.evidence() < threshold(alpha) {
		return
	}
	c.bad = false
	c.returns = min(c.returns+1, maxReturns)
	c.run = mean{}
	c.rise.reset()
}

// maxReturns bounds the halving: 10 is a chance of 1 in 20,000.
const maxReturns = 10

// referenceErrors is the error rate that a reference is credited with at least.
// Else a predecessor without any error would make one error of 1,000 a crime.
const referenceErrors = 0.005

// asReference is what a successor must reach.
func (p *past) asReference() float64 {
	return min(p.seen.lower(referenceZ), p.recent.mu)
}
