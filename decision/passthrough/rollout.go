package passthrough

import "time"

// Phase is the phase of a roll-out.
type Phase uint8

const (
	// PhaseCanary gives the new version a small share, and near its end all new requests, so
	// that none are left at the old version when the roll-out is completed.
	PhaseCanary Phase = iota + 1
	// PhaseCompleted is the end of a good version's roll-out.
	PhaseCompleted
	// PhaseReverted is the end of a bad version's roll-out.
	PhaseReverted
)

// Ended reports whether the roll-out is over.
func (p Phase) Ended() bool { return p == PhaseCompleted || p == PhaseReverted }

// Order asks to move a service's traffic to the version Target.
type Order struct {
	Service string
	Target  string
	// Duration bounds the whole roll-out.
	Duration time.Duration
}

// Rollout is an order with its state.
type Rollout struct {
	Order
	Phase Phase
	// Share is the fraction of the requests that the new version gets.
	Share float64
	// FirstHalf is true while no request may switch early to the new version, so that open
	// sessions stay at the old one.
	FirstHalf bool
	// CompleteAt is when the roll-out is to be completed; zero if that is not planned. MaxLead
	// bounds how long before CompleteAt all requests may already go to the new version.
	CompleteAt time.Time
	MaxLead    time.Duration
	// Held is true if the roll-out's time is over, but the evidence does not show whether the
	// new version is good or bad.
	Held bool
	// CollectingSessions is true while the instances are still reporting to each other which
	// sessions are open. The new version gets no requests meanwhile.
	CollectingSessions bool
}

const (
	// canaryFraction is the canary's part of the share that the platform allows: most of the
	// share is needed at the end, when all new requests go to the new version.
	canaryFraction = 0.3
	// maxCollectingTime is how long the instances take to report the open sessions to each other: a
	// write and a read of each, a second apart.
	maxCollectingTime = 3 * time.Second
	// collectingFraction bounds that time in short roll-outs, as a fraction of their duration.
	collectingFraction = 0.2
	// completionMargin is how long before the deadline the end is written: enough for two tries
	// at a slow store.
	completionMargin = time.Second
	// toleranceFraction is the part of the tolerated number of requests that is used: the
	// counts of all instances are known a second late.
	toleranceFraction = 0.6
	// leadFactor stretches the time for which all requests may go to the new version, as
	// requests of routes with short responses switch later than the lead allows.
	leadFactor = 1.35
	// minBadForVerdict is the least number of bad responses for a verdict: single failures
	// happen to good versions too.
	minBadForVerdict = 5
	// minBadAtCompletion is the least number of bad responses that may prevent a completion, which
	// cannot be undone. Two bad responses prevent it only if they are among 15 or fewer, or among
	// fewer still if the old version has bad responses too.
	minBadAtCompletion = 2
	// badFloor is the ratio of bad responses that any version is allowed; badFactor times the
	// old version's ratio is added to it, as failing servers and lost responses affect both
	// versions.
	badFloor  = 0.15
	badFactor = 2.5
	// maxExcessBad bounds by how much the allowed ratio exceeds the old version's: what affects
	// a large part of the old version's responses affects about as many of the new one's, and
	// must not excuse twice as many.
	maxExcessBad = 0.3
	// newPriorWeight and oldPriorWeight are the numbers of prior responses that are added to the
	// counts of the two versions, half a bad response among them: an old version without counts
	// is considered good.
	newPriorWeight = 1
	oldPriorWeight = 10
)

// IsBad reports whether the new version is bad, by the counts of all instances.
//
// Load: a version that fails some of its responses or is slow, at once, later, or on one route
// only. Harm prevented: callers who get its responses until a person notices. Evidence also
// judges recent counts, so that a version that turns bad late is not excused by its start.
func IsBad(newCounts, oldCounts Counts) bool {
	if firstByteTest.exceeds(newCounts.FirstByte) || intervalTest.exceeds(newCounts.EventInterval) || slowTooOften(newCounts.EventInterval, oldCounts.EventInterval) {
		return true
	}
	return failsTooOften(newCounts, oldCounts, minBadForVerdict)
}

// slowTooOften reports whether the new version has more slow responses than it is allowed,
// relative to the old one.
//
// Load: a version that is slow in part of its responses, in a burst. Harm prevented: it is
// completed because its mean is below the limit, as the other part is fast on servers that have
// little to do: six times as slow in 60 of 100 responses, it may have a mean of only 1.7 times the
// usual event interval.
func slowTooOften(newTimes, oldTimes LogRatioStats) bool {
	return newTimes.slow().exceeds(oldTimes.slow(), minBadForVerdict)
}

// failsTooOften reports whether the new version has at least minBad bad responses and fails more
// than it is allowed, relative to the old one.
func failsTooOften(newCounts, oldCounts Counts, minBad int) bool {
	return newCounts.failed().exceeds(oldCounts.failed(), minBad)
}

// doubtMargin is by how much the new version's ratio of bad responses exceeds the old one's if it is in doubt.
const doubtMargin = 0.1

// MayFailTooOften reports whether the new version has bad responses, and more of them than the old one, although too few
// for a verdict.
func MayFailTooOften(newCounts, oldCounts Counts) bool {
	newRatio, oldRatio := newCounts.failed().smoothed(newPriorWeight), oldCounts.failed().smoothed(oldPriorWeight)
	return newCounts.Bad >= minBadAtCompletion && newRatio > oldRatio+doubtMargin
}

// proportion counts the responses of a version that were bad in one way.
type proportion struct{ bad, total int }

// exceeds reports whether the new version has at least minBad bad responses and a larger
// proportion of them than it is allowed, relative to the old one.
func (p proportion) exceeds(old proportion, minBad int) bool {
	oldRatio := old.smoothed(oldPriorWeight)
	return p.bad >= minBad && p.smoothed(newPriorWeight) > min(badFloor+badFactor*oldRatio, oldRatio+maxExcessBad)
}

// smoothed is the ratio of bad responses with the given number of prior responses added, half a
// bad response among them, so that a few responses have little weight.
func (p proportion) smoothed(prior float64) float64 {
	return (float64(p.bad) + 0.5) / (float64(p.total) + prior)
}

// ExposureLimit bounds the requests that a version may get before its roll-out's deadline, good
// or bad: whether it is bad may show only under full load.
type ExposureLimit struct {
	// Share is the allowed fraction of all requests, Tolerance the number of requests allowed
	// in addition.
	Share     float64
	Tolerance float64
}

// PlanRollout returns the state of a roll-out at a time elapsed after its order, given the
// counts of all instances for both versions and the verdict on the new one.
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
		// Load: a version of which little is known, as instances were killed or disconnected.
		// Harm prevented: one that failed two of seven responses is completed.
		r.Phase, r.Share = PhaseReverted, 0
	case inDoubt:
		// Load: a version that looks slow in a burst, without enough responses to be sure. Harm
		// prevented: the old servers are gone when it turns out to be slow. A late completion is
		// better than a wrong one.
		r.Held = elapsed >= complete
		if newCounts.suspectCount() >= maxSuspects {
			r.Share = 0
		}
	case elapsed >= complete:
		r.Phase, r.Share = PhaseCompleted, 1
	}
	return r
}

// maxSuspects is how many failed or slow responses a version in doubt may give before it gets no
// more requests: the platform tolerates 50 of a bad version, and the counts of all instances lag
// by some ten responses.
const maxSuspects = 40

// suspectCount is the number of responses that count as bad if the version turns out to be bad.
func (c Counts) suspectCount() int { return c.Bad + c.EventInterval.Slow }

// leadTime is how long before the end all requests may go to the new version, so that it stays
// within the limit up to the deadline.
func leadTime(o Order, elapsed time.Duration, limit ExposureLimit, newCounts, oldCounts Counts) time.Duration {
	total := newCounts.Total() + oldCounts.Total()
	if total == 0 || elapsed <= 0 {
		return 0
	}
	rate := float64(total) / elapsed.Seconds()
	allowed := limit.Share*rate*o.Duration.Seconds() + toleranceFraction*limit.Tolerance - float64(newCounts.Total())
	remaining := time.Duration(allowed/rate*float64(time.Second)) - completionMargin
	return max(time.Duration(leadFactor*float64(remaining)), 0)
}
