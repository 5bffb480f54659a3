package passthrough

import "time"

// Phase is how far a roll-out is.
type Phase uint8

const (
	// PhaseCanary gives the new version a small share.
	PhaseCanary Phase = iota + 1
	// PhaseRamp gives it all new work, so that none is left at the old one.
	PhaseRamp
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
	// Opening says that the instances still tell each other which sessions are open; the
	// new version gets none meanwhile.
	Opening bool
}

// Counts are the answers of one version, by all instances.
type Counts struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
	// First and Pace compare its times with the old version's.
	First Shift `json:"first"`
	Pace  Shift `json:"pace"`
}

// Add counts one answer.
func (c Counts) Add(o Observed) Counts {
	if o.Bad {
		c.Bad++
	} else {
		c.Good++
	}
	c.First, c.Pace = c.First.plus(o.First), c.Pace.plus(o.Pace)
	return c
}

// Plus sums two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, First: c.First.plus(o.First), Pace: c.Pace.plus(o.Pace)}
}

// Total is the number of answers.
func (c Counts) Total() int { return c.Good + c.Bad }

// badShare is the part of bad answers, with one half bad answer added to each side, so
// that a few answers say little.
func (c Counts) badShare() float64 { return (float64(c.Bad) + 0.5) / (float64(c.Total()) + 1) }

const (
	// canaryPart is the canary's part of the share that the platform allows: what is
	// left pays for the ramp, should the version turn bad only then.
	canaryPart = 0.55
	// rampAt is the part of the duration after which the new version gets all new
	// work: a bad one shows within seconds, and the old servers need the rest to finish.
	rampAt = 0.56
	// openingMost is how long the instances take to tell each other the open sessions: a
	// write and a read of each, a second apart.
	openingMost = 3 * time.Second
	// openingPart bounds that in short roll-outs.
	openingPart = 0.2
	// completeAt is the part after which the roll-out is completed: late enough for
	// streams of ten seconds at the old servers to end.
	completeAt = 0.9
	// judgeAfter is the number of bad answers below which nothing is judged: single
	// failures happen to good versions too.
	judgeAfter = 5
	// badFloor is the part of bad answers that a version is allowed in any case, and
	// badFactor how many times the old version's part it may have: servers that fail
	// and answers that get lost strike both.
	badFloor  = 0.15
	badFactor = 2.5
)

// Judge says whether the new version is bad, by what all instances saw of both.
//
// Load: a version that fails in a part of its answers or is slow, at once, later, or on
// one route only. Harm prevented: callers who get its answers until a person notices. Recent
// counts are judged, so that a version that turns bad late is not excused by its start.
func Judge(fresh, old Counts) bool {
	if fresh.First.over(firstLimit) || fresh.Pace.over(paceLimit) {
		return true
	}
	if fresh.Bad < judgeAfter {
		return false
	}
	return fresh.badShare() > badFloor+badFactor*old.badShare()
}

// Plan says how far a roll-out is after the time elapsed since its order. canaryShare is
// the part of all requests that a bad version may get.
func Plan(o Order, elapsed time.Duration, canaryShare float64, bad bool) Rollout {
	r := Rollout{Order: o, Phase: PhaseCanary, Share: canaryShare * canaryPart}
	part := 1.0
	if o.Duration > 0 {
		part = float64(elapsed) / float64(o.Duration)
	}
	r.FirstHalf = part < 0.5
	r.Opening = elapsed < min(openingMost, time.Duration(openingPart*float64(o.Duration)))
	switch {
	case bad:
		r.Phase, r.Share = PhaseReverted, 0
	case part >= completeAt:
		r.Phase, r.Share = PhaseCompleted, 1
	case part >= rampAt:
		r.Phase, r.Share = PhaseRamp, 1
	}
	return r
}

// sessionMemory is how long a session's version is kept after its last request, beyond
// the platform's own bound: clocks differ, and an answer may end late.
const sessionMemory = 2 * time.Second

// sessionRow is where a session last ran.
type sessionRow struct {
	service string
	version string
	share   float64
	until   time.Time
}

// wantsNew says whether a request goes to the roll-out's target.
//
// Load: sessions whose requests come to any instance, during an order. Harm prevented: a
// session that changes its version midway. Sessions that are open when the order comes
// stay at the old version through the first half: the instances tell each other those in
// the canary's share, a few each, before it gets any. All others in the share belong to
// the new version, by a hash that is alike everywhere, and stay there.
func (w *World) wantsNew(r *request, ro *Rollout) bool {
	switch ro.Phase {
	case PhaseCompleted, PhaseRamp:
		return true
	case PhaseReverted:
		return false
	}
	if r.version != "" {
		return r.version == ro.Target // it has begun, maybe before the order
	}
	if r.Session == "" {
		return r.Share < ro.Share
	}
	if ro.Opening || w.keptOld[r.Session] {
		return false
	}
	row, known := w.sessions.Get(r.Session)
	if known && w.now.Before(row.until) && row.service == r.service.name {
		return row.version == ro.Target
	}
	return r.Share < ro.Share
}

// noteSession keeps the version that the session runs on.
func (w *World) noteSession(r *request, version string) {
	if r.Session == "" {
		return
	}
	until := r.Deadline.Add(w.cfg.SessionLife + sessionMemory)
	w.sessions.Add(r.Session, sessionRow{service: r.service.name, version: version, share: r.Share, until: until})
}

// OpenSessions lists the sessions of a service that may be open at another version than
// the target, in the share.
func (w *World) OpenSessions(service, target string, share float64) []string {
	var out []string
	for _, id := range w.sessions.Keys() {
		row, ok := w.sessions.Peek(id)
		if ok && row.service == service && row.version != target && row.share < share && w.now.Before(row.until) {
			out = append(out, id)
		}
	}
	return out
}

// keptLimit bounds the sessions that are kept at the old version in all roll-outs.
const keptLimit = 1 << 16

// keepOld takes in sessions that other instances saw open.
func (w *World) keepOld(sessions []string) {
	if len(w.keptOld) > keptLimit {
		clear(w.keptOld)
	}
	for _, id := range sessions {
		w.keptOld[id] = true
	}
}
