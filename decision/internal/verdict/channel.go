package verdict

import "math"

// channel is one kind of observation of one version, 0 worst and 1 best.
type signal struct {
	// byClass holds the pasts of the classes of requests; errors have one only.
	classes  map[string]*classHistory
	decline  detector
	recovery detector
	bad      bool
	// run is the present stretch under suspicion, as differences to the line.
	suspectDiff discountedMean
	// proof is how far above the line, and so mostly below 0, a bad version must
	// prove itself to be.
	recoveryMargin float64
	recoveries     int
}

// past is what was observed of one class of requests.
type classHistory struct {
	// own leaves out the stretches under suspicion: the reference for the version
	// itself.
	baseline discountedMean
	// seen and recent have everything: the reference for a successor.
	all    discountedMean
	recent discountedMean
}

// maxClasses bounds the classes of one version, which callers choose; further
// ones share one past.
const maxClasses = 32

const overflowClass = ""

func newSignal(s betFractions) signal {
	return signal{
		classes:  make(map[string]*classHistory),
		decline:  detector{fractions: s, restart: true},
		recovery: detector{fractions: s},
	}
}

// past returns the past of a class, made if need be.
func (c *signal) history(class string) *classHistory {
	if p := c.classes[class]; p != nil {
		return p
	}
	if len(c.classes) >= maxClasses {
		class = overflowClass
	}
	p := c.classes[class]
	if p == nil {
		p = &classHistory{}
		c.classes[class] = p
	}
	return p
}

// suspicion is the evidence from which a version's own reference stops
// learning: else a version that goes bad would teach its reference to be bad.
const suspicionEvidence = 2.0

// watch takes in an observation of a version that is not barred.
func (c *signal) observeAllowed(p *classHistory, x, reference float64, cfg *VersionConfig) {
	c.suspectDiff.add(x-reference, cfg.Memory)
	c.decline.addBelow(x, reference)
	evidence := c.decline.evidence()
	if evidence < suspicionEvidence {
		p.baseline.add(x, cfg.Memory)
		c.suspectDiff = discountedMean{}
	}
	if evidence >= threshold(cfg.FalseAlarmRate) {
		c.markBad()
	}
}

// suspected reports whether half of the evidence for a verdict is there, as the
// log of a chance: two instances that each have half have it whole together.
func (c *signal) suspected(cfg *VersionConfig) bool {
	return !c.bad && c.decline.evidence() >= threshold(cfg.FalseAlarmRate)/2
}

// condemn turns the verdict to bad.
func (c *signal) markBad() {
	c.bad = true
	// Halfway from what it did to the line tells mended from still bad in the
	// fewest probes. After each return that did not last, the proof moves
	// halfway on to the line, so that half mended does not come and go for ever.
	c.recoveryMargin = min(c.suspectDiff.mean, 0) / math.Exp2(float64(c.recoveries+1))
	c.decline.reset()
	c.recovery.reset()
}

// recentMemory is how many observations of the predecessor tell that a fault
// hits it now as well.
const recentMemory = 50

// probeEnded collects evidence that a bad version is good again. A version that
// was taken back wrongly must prove itself twice as well the next time.
func (c *signal) observeProbe(x, reference float64, cfg *VersionConfig) {
	c.recovery.addAbove(x, reference+c.recoveryMargin)
	alpha := cfg.FalseRecoveryRate / math.Exp2(float64(c.recoveries))
	if c.recovery.evidence() < threshold(alpha) {
		return
	}
	c.bad = false
	c.recoveries = min(c.recoveries+1, maxRecoveries)
	c.suspectDiff = discountedMean{}
	c.recovery.reset()
}

// maxReturns bounds the halving: 10 is a chance of 1 in 20,000.
const maxRecoveries = 10

// referenceErrors is the error rate that a reference is credited with at least.
// Else a predecessor without any error would make one error of 1,000 a crime.
const minReferenceErrorRate = 0.005

// asReference is what a successor must reach.
func (p *classHistory) successorReference() float64 {
	return min(p.all.lowerBound(referenceZ), p.recent.mean)
}
