package verdict

import "math"

// signal judges one kind of observation of one version: the results of its
// attempts or the ratings of its answers. 0 is the worst observation and 1 the
// best.
type signal struct {
	// classes holds the history by class of requests; the results of attempts
	// have one class only.
	classes map[string]*classHistory
	// decline tests whether a version that is not blocked is worse than its
	// reference, and recovery whether a blocked one is good again.
	decline  detector
	recovery detector
	// bad is the verdict of this signal alone.
	bad bool
	// suspectDiff is the mean difference of the observations from the reference
	// since the evidence last reached suspicionEvidence.
	suspectDiff discountedMean
	// recoveryMargin, 0 or negative, is added to the reference; a bad version
	// recovers by exceeding the sum.
	recoveryMargin float64
	// recoveries counts the recoveries, up to maxRecoveries.
	recoveries int
}

// classHistory holds the observations of one class of requests.
type classHistory struct {
	// baseline leaves out the observations that were made while the evidence was
	// at least suspicionEvidence or the version was judged bad: it is the reference
	// for the version itself.
	baseline discountedMean
	// all and recent include every observation: they are the reference for a
	// successor.
	all    discountedMean
	recent discountedMean
}

// maxClasses bounds the classes of one version, since callers choose them;
// further ones share the history of overflowClass.
const maxClasses = 32

const overflowClass = ""

// newSignal returns a signal whose detectors use the given bets.
func newSignal(bets betFractions) signal {
	return signal{
		classes:  make(map[string]*classHistory),
		decline:  detector{fractions: bets, restart: true},
		recovery: detector{fractions: bets},
	}
}

// history returns the history of a class, created if missing.
func (s *signal) history(class string) *classHistory {
	if h := s.classes[class]; h != nil {
		return h
	}
	if len(s.classes) >= maxClasses {
		class = overflowClass
	}
	h := s.classes[class]
	if h == nil {
		h = &classHistory{}
		s.classes[class] = h
	}
	return h
}

// suspicionEvidence is the evidence from which observations no longer update a
// reference, the baseline of a version or the mean of a group of servers:
// otherwise a version or server that turns bad would lower its own reference.
const suspicionEvidence = 2.0

// observeAllowed adds an observation of a version that this signal has not judged
// bad.
func (s *signal) observeAllowed(h *classHistory, x, reference float64, cfg *VersionConfig) {
	s.suspectDiff.add(x-reference, cfg.Memory)
	s.decline.addBelow(x, reference)
	evidence := s.decline.evidence()
	if evidence < suspicionEvidence {
		h.baseline.add(x, cfg.Memory)
		s.suspectDiff = discountedMean{}
	}
	if evidence >= threshold(cfg.FalseAlarmRate) {
		s.markBad()
	}
}

// suspected reports whether there is half of the evidence for a bad verdict, but
// no verdict yet. Evidence is the log of a probability ratio, so two instances
// with half of it each have all of it together.
func (s *signal) suspected(cfg *VersionConfig) bool {
	return !s.bad && s.decline.evidence() >= threshold(cfg.FalseAlarmRate)/2
}

// markBad sets the verdict to bad.
func (s *signal) markBad() {
	s.bad = true
	// A margin halfway between the observed mean and the reference separates a
	// repaired version from a bad one in the fewest probes. After each recovery
	// that did not last, the margin is halved, so that a version that is only
	// partly repaired does not alternate between good and bad for ever.
	s.recoveryMargin = min(s.suspectDiff.mean, 0) / math.Exp2(float64(s.recoveries+1))
	s.decline.reset()
	s.recovery.reset()
}

// recentMemory is the window of classHistory.recent, in observations: a fault that
// shows in the predecessor within it counts as common to both versions.
const recentMemory = 50

// observeProbe adds an observation of a version that this signal has judged bad,
// as evidence that it is good again. Each recovery halves the probability that
// the next one is false.
func (s *signal) observeProbe(x, reference float64, cfg *VersionConfig) {
	s.recovery.addAbove(x, reference+s.recoveryMargin)
	alpha := cfg.FalseRecoveryRate / math.Exp2(float64(s.recoveries))
	if s.recovery.evidence() < threshold(alpha) {
		return
	}
	s.bad = false
	s.recoveries = min(s.recoveries+1, maxRecoveries)
	s.suspectDiff = discountedMean{}
	s.recovery.reset()
}

// maxRecoveries bounds the halving: 10 halvings of the default 0.02 give a
// probability of about 1 in 50,000.
const maxRecoveries = 10

// minReferenceErrorRate is the lowest error rate that a reference is assumed to
// have. Otherwise, after a predecessor without any error, one error in 1,000
// would count against a version.
const minReferenceErrorRate = 0.005

// successorReference is the mean that a successor must reach: a lower bound of the
// long-term mean, or the recent mean if that is lower.
func (h *classHistory) successorReference() float64 {
	return min(h.all.lowerBound(referenceZ), h.recent.mean)
}
