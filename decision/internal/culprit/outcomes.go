package culprit

import (
	"math"
	"slices"
	"time"
)

// stageOutcomes are the outcomes of each stage. They decay with the time constant outcomeMemory.
type stageOutcomes struct {
	counts [stages]Outcomes
	at     time.Time
}

func (o *stageOutcomes) decay(now time.Time) {
	elapsed := now.Sub(o.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / outcomeMemory.Seconds())
	for i := range o.counts {
		o.counts[i] = Outcomes{Answered: o.counts[i].Answered * keep, Lost: o.counts[i].Lost * keep}
	}
	o.at = now
}

// add adds outcomes of the stage of the parts.
func (o *stageOutcomes) add(now time.Time, parts []Part, n Outcomes) {
	o.decay(now)
	c := &o.counts[stageOfParts(parts)]
	*c = c.Add(n)
}

// outcomeSample holds the outcomes of all instances within about outcomeMemory before a time.
type outcomeSample struct {
	at     time.Time
	counts [stages]Outcomes
}

// sampleOutcomes records the counts of all instances as of now.
func (f *Finder) sampleOutcomes(now time.Time) {
	f.outcomes.decay(now)
	f.others.decay(now)
	sample := outcomeSample{at: now}
	for i := range sample.counts {
		sample.counts[i] = f.outcomes.counts[i].Add(f.others.counts[i])
	}
	f.samples = append(f.samples, sample)
}

// lostFractions estimates, for each of the crashes of the case, which fraction of the requests of all instances were
// lost at its time in the stage of the part, without those that the case explains. A fraction is below 1, and above 0
// for want of certainty.
//
// Each estimate is the highest one until outcomeMemory after the crash: the reports of other instances arrive late.
func (f *Finder) lostFractions(c indictment) []float64 {
	samples := f.samples[f.firstSample(c.crashes[0].At):]
	bySample := make([]float64, len(samples))
	for i, s := range samples {
		counts := s.counts[c.stage]
		lost := max(counts.Lost-float64(f.explained(s.at, c)), 0)
		bySample[i] = (lost + 1) / (lost + counts.Answered + 2)
	}
	out := make([]float64, len(c.crashes))
	for i, crash := range c.crashes {
		out[i] = unknownFraction
		first := f.firstSample(crash.At)
		end := f.firstSample(crash.At.Add(outcomeMemory))
		if first < end {
			offset := len(f.samples) - len(samples)
			out[i] = slices.Max(bySample[first-offset : end-offset])
		}
	}
	return out
}

// unknownFraction is the lost fraction at a time without a sample.
const unknownFraction = 0.5

// firstSample returns the index of the first sample at the time or later.
func (f *Finder) firstSample(at time.Time) int {
	i, _ := slices.BinarySearchFunc(f.samples, at, func(s outcomeSample, at time.Time) int { return s.at.Compare(at) })
	return i
}

// explained returns the number of suspects within outcomeMemory before the time that the case explains.
func (f *Finder) explained(at time.Time, c indictment) int {
	n := 0
	for i := len(f.crashes) - 1; i >= 0 && at.Sub(f.crashes[i].At) < outcomeMemory; i-- {
		if !f.crashes[i].At.After(at) {
			n += c.explains[i]
		}
	}
	return n
}
