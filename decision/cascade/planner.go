package cascade

import (
	"cmp"
	"slices"
	"time"
)

// Limit is why a weak response is kept.
type Limit string

// The reasons to keep a weak response.
const (
	// NoRoom: the engines have no time for the larger model before the response is due.
	NoRoom Limit = "no_room"
	// NoTime: a larger model's response would begin too close to the deadline.
	NoTime Limit = "no_time"
	// NoBudget: the retry budget does not pay for another attempt, or the request has none left.
	NoBudget Limit = "no_budget"
)

// Request is a request that may get a larger model.
type Request struct {
	ID    uint64
	Class Class
	// Prefill is the time of its prompt at the larger model, on an engine of unit speed, in seconds.
	Prefill float64
	// Doubt orders the requests of a class, from 0 for the one that needs a larger model most to 1: the confidence of its weak
	// response over the confidence from which on responses are good.
	Doubt float64
	// Target is when a response begins to lose value; at Deadline it has none left.
	Target, Deadline time.Time
}

// Release is a request that waits no longer: for a larger model if Larger is set, else for the smallest one.
type Release struct {
	ID     uint64
	Larger bool
}

// Planner decides who gets the larger models of one service at one instance. It is not safe for concurrent use. The
// zero Planner is ready to use.
//
// Load: hard requests of all priorities, whose prefill at the largest model is more than the engines can do. Harm
// prevented: engines full of it, so that requests of all priorities come late or fail; and weak responses for the
// most urgent callers while others get the larger models.
type Planner struct {
	classes    classes
	waiting    []waiter
	releasedAt time.Time
}

// waiter is a request that waits for room; until is when it waits no longer.
type waiter struct {
	Request
	until time.Time
}

// Record counts a request that may need a larger model.
func (p *Planner) Record(now time.Time, class Class, work Work) { p.classes.record(now, class, work) }

const (
	// beginFraction is the fraction of the time to the deadline within which a larger model must begin its response, to leave
	// time for the rest of it.
	beginFraction = 0.5
	// waitFraction is how fast the backlog is expected to shrink while a request waits, as a fraction of the speed that it would have
	// if no others arrived.
	waitFraction = 0.25
	// maxWaitFraction is the fraction of the time to the deadline for which a request waits at most: a response of the
	// smallest model must still be possible after it.
	maxWaitFraction = 0.25
	// releaseInterval is the least time between two releases of waiting requests: the age of what instances know of each
	// other. More often, they would all fill the same room again before they see that it is filled.
	releaseInterval = 300 * time.Millisecond
)

// Share is the fraction of the request's class, by Doubt, that gets a larger model now or is expected to get it in time by
// waiting. If it is below 1, limit says why. Nobody waits while there is no room for any of the class: in a lasting overload
// it would be in vain.
func (p *Planner) Share(now time.Time, pool Pool, r Request) (share float64, limit Limit) {
	begins := pool.Backlog + r.Prefill
	if !beginsInTime(now, begins, r) {
		return 0, NoTime
	}
	ramp := p.scaled(backlogRamp)
	share = p.share(now, pool, ramp, pool.Backlog, r)
	if spare := r.Target.Sub(now).Seconds() - begins; share > 0 && spare > 0 {
		share = p.share(now, pool, ramp, pool.Backlog-max(waitFraction*spare-p.ahead(pool), 0), r)
	}
	if share < 1 {
		limit = NoRoom
	}
	return share, limit
}

// ShareNow is the same without a wait.
func (p *Planner) ShareNow(now time.Time, pool Pool, r Request) float64 {
	if !beginsInTime(now, pool.Backlog+r.Prefill, r) {
		return 0
	}
	return p.share(now, pool, p.scaled(backlogRamp), pool.Backlog, r)
}

// ShareAtOnce is the fraction of the request's class that is given the largest model at the first attempt, as a second one
// cannot be paid for.
//
// Load: a retry budget that was spent on broken connections, beside idle engines. Harm prevented: weak responses that
// the engines have time to avoid. Engines whose load is not known to all instances are not taken for idle.
func (p *Planner) ShareAtOnce(now time.Time, pool Pool, r Request) float64 {
	begins := pool.Backlog + r.Prefill
	if !pool.Shared || !beginsInTime(now, begins, r) || begins > r.Target.Sub(now).Seconds() {
		return 0
	}
	return p.share(now, pool, p.scaled(ampleRamp), pool.Backlog, r)
}

// HasRoom reports whether the request gets a larger model now.
func (p *Planner) HasRoom(now time.Time, pool Pool, r Request) bool {
	return beginsInTime(now, pool.Backlog+r.Prefill, r) && pool.level(p.scaled(backlogRamp), pool.Backlog) >= p.position(now, pool, r)
}

// beginsInTime reports whether a response that begins after some seconds leaves time for the rest of it.
func beginsInTime(now time.Time, begins float64, r Request) bool {
	return begins < beginFraction*r.Deadline.Sub(now).Seconds()
}

// minTarget is the least target in seconds that the bounds on the backlog come from: no engine begins a response sooner.
const minTarget = 0.1

// scaled returns a ramp that is stated as a fraction of the target.
func (p *Planner) scaled(r ramp) ramp {
	target := max(p.classes.target(), minTarget)
	return ramp{r.full * target, r.none * target}
}

// share is the fraction of the request's class that has room at a backlog.
func (p *Planner) share(now time.Time, pool Pool, backlog ramp, at float64, r Request) float64 {
	level := pool.level(backlog, at)
	from, to := p.interval(now, pool, r)
	switch {
	case level >= to:
		return 1
	case level <= from:
		return 0
	}
	return (level - from) / (to - from)
}

// interval is that of the request's class. A request that would be late comes after all others of its class: its caller
// gains a third of what theirs do by the same work.
func (p *Planner) interval(now time.Time, pool Pool, r Request) (from, to float64) {
	from, to = p.classes.interval(r.Class)
	if pool.Backlog+r.Prefill > r.Target.Sub(now).Seconds() {
		from = to
	}
	return from, to
}

// position is where the request is in the order of all work, from 0 to 1.
func (p *Planner) position(now time.Time, pool Pool, r Request) float64 {
	from, to := p.interval(now, pool, r)
	return from + min(max(r.Doubt, 0), 1)*(to-from)
}

// ahead is how long the engines take for what already waits, if as much waits at each instance.
func (p *Planner) ahead(pool Pool) float64 {
	sum := 0.0
	for _, x := range p.waiting {
		sum += x.Prefill
	}
	return sum * float64(max(pool.Instances, 1)) / max(pool.Capacity, 1)
}

// Wait adds a request that waits for room.
func (p *Planner) Wait(now time.Time, pool Pool, r Request) {
	left := r.Deadline.Sub(now).Seconds()
	wait := r.Target.Sub(now).Seconds() - pool.Backlog - r.Prefill
	if wait <= 0 {
		wait = left
	}
	wait = max(min(wait, maxWaitFraction*left), 0)
	p.waiting = append(p.waiting, waiter{r, now.Add(time.Duration(wait * float64(time.Second)))})
}

// Waiting is the number of requests that wait.
func (p *Planner) Waiting() int { return len(p.waiting) }

// Remove removes a request that no longer waits.
func (p *Planner) Remove(id uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(x waiter) bool { return x.ID == id })
}

// DueForRelease reports whether Release could release a request now.
func (p *Planner) DueForRelease(now time.Time) bool {
	if len(p.waiting) == 0 {
		return false
	}
	return now.Sub(p.releasedAt) >= releaseInterval || slices.ContainsFunc(p.waiting, func(x waiter) bool { return !x.until.After(now) })
}

// Release removes and returns the requests that wait no longer, in order: those that find room, and those that have
// waited for as long as they may. draw returns a random number in [0, 1).
//
// Load: hundreds of instances with a request or two that wait each, and room for some of them. Harm prevented: all of them
// are sent at once. Each instance fills its part of the room; a prompt that is larger than that goes with the
// probability that makes the sum over all instances right.
func (p *Planner) Release(now time.Time, pool Pool, draw func() float64) []Release {
	var out []Release
	paced := now.Sub(p.releasedAt) >= releaseInterval
	if paced {
		p.releasedAt = now
	}
	slices.SortStableFunc(p.waiting, func(a, b waiter) int {
		return cmp.Compare(p.position(now, pool, a.Request), p.position(now, pool, b.Request))
	})
	released := 0.0
	kept := p.waiting[:0]
	for _, x := range p.waiting {
		part := pool.room(p.scaled(backlogRamp), p.position(now, pool, x.Request))/float64(max(pool.Instances, 1)) - released
		switch {
		case !x.until.After(now):
			out = append(out, Release{x.ID, p.HasRoom(now, pool, x.Request)})
		case paced && part > 0 && draw()*x.Prefill < part:
			released += x.Prefill
			out = append(out, Release{x.ID, true})
		default:
			kept = append(kept, x)
		}
	}
	p.waiting = kept
	return out
}
