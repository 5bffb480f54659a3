package outlier

import (
	"math"
	"time"
)

const (
	// minEjectionTime is how long a server is ejected at first. The time doubles with each further ejection, up to
	// maxEjectionTime: a retry costs one caller an attempt, and a sound server that is left out makes others full.
	minEjectionTime = 1500 * time.Millisecond
	maxEjectionTime = 6 * time.Second
	// ejectionMemory is how long a server has to be in use until its next ejection is as short as the first one.
	ejectionMemory = 10 * time.Second
	// minTrialStep is the least time between two attempts of an instance at a server that is tried again. It is longer
	// than two reports, so that an instance knows how another one's attempt has ended.
	minTrialStep = 600 * time.Millisecond
	// trialStepIntervals is the same in usual times between two reports.
	trialStepIntervals = 2
	// firstTriers is how many instances may try a server first, trialGrowth how many times as many with each step, as
	// those that may have no request for it.
	firstTriers = 2
	trialGrowth = 4
	// trialResponses is how many responses show that a server has recovered.
	trialResponses = 3
)

// phase is how a server is used.
type phase uint8

const (
	inUse phase = iota
	ejected
	// onTrial: few instances use it, until it is known whether it has recovered.
	onTrial
)

// ejection is the state of a server's ejection.
type ejection struct {
	phase phase
	// until is the end of the ejection, span its length.
	until time.Time
	span  time.Duration
	// reinstatedAt is when the server was used again.
	reinstatedAt time.Time
	// draw, from 0 to 1, says when this instance tries the server; triedAt is when it did so last.
	draw    float64
	triedAt time.Time
	// trialFailed and trialTotal count the attempts of all instances since until.
	trialFailed, trialTotal float64
}

// eject ejects the server for a time; if that is 0, for twice as long as before.
func (e *entry) eject(s Server, now time.Time, evidence counts, by time.Duration, draw float64) Change {
	if e.phase == inUse && now.Sub(e.reinstatedAt) > ejectionMemory {
		e.span = 0
	}
	e.span = min(max(2*e.span, minEjectionTime), maxEjectionTime)
	if by == 0 {
		by = e.span
	}
	e.phase, e.until, e.draw = ejected, now.Add(by), draw
	return Change{Server: s, Ejected: true, Failed: evidence.failed, Total: evidence.total, For: by}
}

// adopts reports whether so many other instances have ejected the server that this one does as well, as one does that has
// just started. A server that it has just taken back is left to its own evidence.
func (t *Table) adopts(e *entry, now time.Time) bool {
	const adoptedFraction, pauseSteps = 0.25, 3
	return e.peersEjecting >= max(minFailingInstances, int(adoptedFraction*float64(t.instances))) &&
		e.peersEjectUntil.After(now) && now.Sub(e.reinstatedAt) > pauseSteps*t.trialStep()
}

// prolongs reports whether the other instances have seen the server fail again, before this one has tried it.
func (t *Table) prolongs(e *entry, now time.Time) bool {
	return e.peersEjecting >= minFailingInstances && e.peersEjectUntil.After(later(e.until, now).Add(t.trialStep()))
}

// reinstate ends the ejection.
func (e *entry) reinstate(s Server, now time.Time) Change {
	e.phase, e.reinstatedAt, e.score = inUse, now, 0
	return Change{Server: s, Failed: e.trialFailed, Total: e.trialTotal}
}

// beginTrial ends the ejection for the instances that try the server first.
func (e *entry) beginTrial() {
	e.phase, e.triedAt, e.trialFailed, e.trialTotal = onTrial, time.Time{}, 0, 0
}

// judgeTrial decides on a server that is on trial by the new attempts of all instances.
func (t *Table) judgeTrial(s Server, e *entry, now time.Time, fresh counts) (Change, bool) {
	e.trialFailed += fresh.failed
	e.trialTotal += fresh.total
	failed := e.trialFailed >= 0.5 && !e.failedAt.Before(e.until)
	responses := e.trialTotal - e.trialFailed
	switch {
	case failed && responses < 2*e.trialFailed:
		return e.eject(s, now, counts{failed: e.trialFailed, total: e.trialTotal}, 0, t.rng.Float64()), true
	case responses >= trialResponses, t.trialShare(e, now.Add(-t.trialStep())) >= 1:
		return e.reinstate(s, now), true
	}
	return Change{}, false
}

// trialStep is the time in which all instances learn how an attempt has ended.
func (t *Table) trialStep() time.Duration {
	return max(minTrialStep, trialStepIntervals*t.interval)
}

// trialShare is the part of the instances that may try the server.
func (t *Table) trialShare(e *entry, now time.Time) float64 {
	if now.Before(e.until) {
		return 0
	}
	steps := float64(now.Sub(e.until) / t.trialStep())
	return firstTriers * math.Pow(trialGrowth, steps) / float64(max(t.instances, 1))
}

// Usable reports whether this instance may send the server a request now. Tried is to be called if it does.
func (t *Table) Usable(now time.Time, s Server) bool {
	e := t.entries[s]
	switch {
	case e == nil || e.phase == inUse:
		return true
	case e.phase == ejected:
		return false
	}
	return e.draw < t.trialShare(e, now) && now.Sub(e.triedAt) >= t.trialStep()
}

// Tried records that this instance sends the server a request.
func (t *Table) Tried(now time.Time, s Server) {
	if e := t.entries[s]; e != nil {
		e.triedAt = now
	}
}

// Suspected reports whether the server is ejected, on trial, or about to be ejected.
func (t *Table) Suspected(s Server) bool {
	e := t.entries[s]
	return e != nil && (e.phase != inUse || e.score >= ejectionScore/2)
}

// Ejected reports whether the server is ejected or on trial.
func (t *Table) Ejected(s Server) bool {
	e := t.entries[s]
	return e != nil && e.phase != inUse
}
