package verdict

import "math"

// channel is one kind of observation of one version, 0 worst and 1 best.
type channel struct {
	// own is the past without the stretches under suspicion: the reference for
	// the version itself.
	own mean
	// seen and recent are the past with everything: the reference for a
	// successor.
	seen   mean
	recent mean
	// run is the present stretch under suspicion.
	run  mean
	fall detector
	rise detector
	bad  bool
	// proof is the mean that a bad version must prove to pass.
	proof   float64
	returns int
}

func newChannel(s stakes) channel {
	return channel{
		fall: detector{stakes: s, restart: true},
		rise: detector{stakes: s},
	}
}

// suspicion is the evidence from which a version's own reference stops
// learning: else a version that goes bad would teach its reference to be bad.
const suspicion = 2.0

// watch takes in an observation of a version that is not barred.
func (c *channel) watch(x, line float64, cfg *VersionConfig) {
	c.run.add(x, cfg.Memory)
	c.fall.addBelow(x, line)
	evidence := c.fall.evidence()
	if evidence < suspicion {
		c.own.add(x, cfg.Memory)
		c.run = mean{}
	}
	if evidence < threshold(cfg.FalseAlarm) {
		return
	}
	c.bad = true
	// Halfway from what it did to the line tells mended from still bad in the
	// fewest probes. After each return that did not last, the proof moves
	// halfway on to the line, so that half mended does not come and go for ever.
	gap := max(line-c.run.mu, 0)
	c.proof = line - gap/math.Exp2(float64(c.returns+1))
	c.fall.reset()
	c.rise.reset()
}

// recentMemory is how many observations of the predecessor tell that a fault
// hits it now as well.
const recentMemory = 50

// probeEnded collects evidence that a bad version is good again. A version that
// was taken back wrongly must prove itself twice as well the next time.
func (c *channel) probeEnded(x float64, cfg *VersionConfig) {
	c.rise.addAbove(x, c.proof)
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
func (c *channel) asReference() float64 {
	return min(c.seen.lower(referenceZ), c.recent.mu)
}
