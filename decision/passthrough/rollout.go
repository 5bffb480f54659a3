package passthrough

import "time"

// Phase is how far a roll-out is.
type Phase uint8

const (
	// PhaseCanary gives the new version a small share, and at its end all new work, so
	// that none is left at the old version when the roll-out is completed.
	PhaseCanary Phase = iota + 1
	// PhaseCompleted is the end of a good version's roll-out.
	PhaseCompleted
	// PhaseReverted is the end of a bad version's.
	PhaseReverted
)

// Ended says whether the roll-out is over.
func (p Phase) Ended() bool { return p == PhaseCompleted || p == PhaseReverted }

// Order asks for a service's traffic to move to another version.
type Order struct {
	Service string
	Target  string
	// Duration bounds the whole roll-out.
	Duration time.Duration
}

// Rollout is an order with how far it is.
type Rollout struct {
	Order
	Phase Phase
	// Share is the part of the requests that the new version gets.
	Share float64
	// FirstHalf says that open sessions still stay at the old version.
	FirstHalf bool
	// CompleteAt is when it is to be completed, and LeadMost bounds how long before that
	// requests go to the new version already.
	CompleteAt time.Time
	MaxLead    time.Duration
	// Held says that the roll-out's time is over, and what was seen of the new version neither
	// clears nor condemns it.
	Held bool
	// Opening says that the instances still tell each other which sessions are open; the
	// new version gets none meanwhile.
	CollectingSessions bool
}

const (
	// canaryPart is the canary's part of the share that the platform allows: most of that
	// is needed at the end, when all new work goes to the new version.
	canaryFraction = 0.3
	// openingMost is how long the instances take to tell each other the open sessions: a
	// write and a read of each, a second apart.
	maxCollectingTime = 3 * time.Second
	// openingPart bounds that in short roll-outs.
	collectingFraction = 0.2
	// completeBefore is how long before the deadline the end is written: time for two
	// tries at a store that is slow.
	completionMargin = time.Second
	// tolerancePart is the part of the tolerated number of requests that is used: what
	// all instances saw is known a second late.
	toleranceFraction = 0.6
	// leadFactor stretches the time for which all requests could go to the new version:
	// those of short routes turn to it later than that.
	leadFactor = 1.35
	// judgeAfter is the number of bad answers below which nothing is judged: single
	// failures happen to good versions too.
	minBadForVerdict = 5
	// doubtAfter is the same at the end, where to complete cannot be taken back: two of
	// eleven answers at most.
	minBadAtCompletion = 2
	// badFloor is the part of bad answers that a version is allowed in any case, and
	// badFactor how many times the old version's part it may have: servers that fail
	// and answers that get lost strike both.
	badFloor  = 0.15
	badFactor = 2.5
	// badBeyond bounds that: what strikes a good part of the old version's answers strikes the
	// new one's about as often, and must not excuse it twice over.
	maxExcessBad = 0.3
	// newAdded and oldAdded are the answers added to what was seen of each: an old version
	// of which nothing was seen is taken for a good one.
	newPriorWeight = 1
	oldPriorWeight = 10
)

// Judge says whether the new version is bad, by what all instances saw of both.
//
// Load: a version that fails in a part of its answers or is slow, at once, later, or on
// one route only. Harm prevented: callers who get its answers until a person notices. Recent
// counts are judged too, so that a version that turns bad late is not excused by its start.
func IsBad(newCounts, oldCounts Counts) bool {
	if firstByteTest.exceeds(newCounts.FirstByte) || intervalTest.exceeds(newCounts.EventInterval) || slowTooOften(newCounts.EventInterval, oldCounts.EventInterval) {
		return true
	}
	return failsTooOften(newCounts, oldCounts, minBadForVerdict)
}

// slowMore says whether more of the new version's answers than of the old one's are slow by
// themselves, beyond what it is allowed.
//
// Load: a version that is slow in a part of its answers, under a burst. Harm prevented: its
// mean alone lies near the limit, as the other part is quick at servers that have little to
// do: one slow by six in 60 of 100 was completed at 1.7 times the usual pace.
func slowTooOften(newTimes, oldTimes LogRatioStats) bool {
	return newTimes.slow().exceeds(oldTimes.slow(), minBadForVerdict)
}

// failsMore says whether the new version fails more than the old one may, by so many bad
// answers at least.
func failsTooOften(newCounts, oldCounts Counts, minBad int) bool {
	return newCounts.failed().exceeds(oldCounts.failed(), minBad)
}

// proportion is how many of a version's answers were bad in one way.
type proportion struct{ bad, total int }

// more says whether the new version has more bad answers than it is allowed beside the old one,
// and so many at least.
func (p proportion) exceeds(old proportion, minBad int) bool {
	oldRatio := old.smoothed(oldPriorWeight)
	return p.bad >= minBad && p.smoothed(newPriorWeight) > min(badFloor+badFactor*oldRatio, oldRatio+maxExcessBad)
}

// share is the part of bad answers, with so many answers added, half a one of them bad, that a
// few say little.
func (p proportion) smoothed(prior float64) float64 {
	return (float64(p.bad) + 0.5) / (float64(p.total) + prior)
}

// Exposure bounds the requests that a version may get before its roll-out's deadline, be
// it good or bad: whether it is bad may show only under the whole load.
type ExposureLimit struct {
	// Share of all requests, and Tolerance beside it.
	Share     float64
	Tolerance float64
}

// Plan says how far a roll-out is after the time elapsed since its order, by what all
// instances saw of both versions.
func PlanRollout(o Order, now time.Time, elapsed time.Duration, limit ExposureLimit, newCounts, oldCounts Counts, bad bool) Rollout {
	complete := max(o.Duration-completionMargin, o.Duration/2)
	r := Rollout{Order: o, Phase: PhaseCanary, Share: limit.Share * canaryFraction}
	r.FirstHalf = elapsed < o.Duration/2
	r.CollectingSessions = elapsed < min(maxCollectingTime, time.Duration(collectingFraction*float64(o.Duration)))
	r.CompleteAt = now.Add(complete - elapsed)
	r.MaxLead = leadTime(o, elapsed, limit, newCounts, oldCounts)
	inDoubt := intervalTest.mayExceed(newCounts.EventInterval)
	if inDoubt {
		r.CompleteAt, r.MaxLead = time.Time{}, 0
	}
	switch {
	case bad:
		r.Phase, r.Share = PhaseReverted, 0
	case elapsed >= complete && failsTooOften(newCounts, oldCounts, minBadAtCompletion):
		// Load: a version of which little was seen, as instances were killed or cut off.
		// Harm prevented: one that failed two of seven answers completed all the same.
		r.Phase, r.Share = PhaseReverted, 0
	case inDoubt:
		// Load: a version that looks slow under a burst in which little can be told. Harm
		// prevented: old servers that are gone when it turns out to be slow. It may come late.
		r.Held = elapsed >= complete
		if newCounts.suspectCount() >= maxSuspects {
			r.Share = 0
		}
	case elapsed >= complete:
		r.Phase, r.Share = PhaseCompleted, 1
	}
	return r
}

// suspectsMost is how many answers that failed or were slow a version in doubt may give before
// it gets no more: the platform bears 50 of a bad version, and what all instances saw is known
// some ten answers late.
const maxSuspects = 40

// suspects is the number of answers that a bad version would have given.
func (c Counts) suspectCount() int { return c.Bad + c.EventInterval.Slow }

// lead is how long before the end all requests may go to the new version, so that it gets
// no more than the limit allows up to the deadline.
func leadTime(o Order, elapsed time.Duration, limit ExposureLimit, newCounts, oldCounts Counts) time.Duration {
	total := newCounts.Total() + oldCounts.Total()
	if total == 0 || elapsed <= 0 {
		return 0
	}
	rate := float64(total) / elapsed.Seconds()
	allowed := limit.Share*rate*o.Duration.Seconds() + toleranceFraction*limit.Tolerance - float64(newCounts.Total())
	spare := time.Duration(allowed/rate*float64(time.Second)) - completionMargin
	return max(time.Duration(leadFactor*float64(spare)), 0)
}
