package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// throttle bounds what is sent to a plain service that turns requests away.
//
// Load: several times what the service's few servers bear, by hundreds of instances that each see
// too few answers to know how full these are. Harm prevented: a server that is full resets
// connections, which leaves open whether the request ran, so that callers of requests that may run
// once get a failure where a refusal would have told them when to come back; and one team's rush
// that takes the places of all others. Each instance sends little more than what was taken of its
// own requests lately, and what it must refuse it refuses to the lower ranks, and to the teams
// that ask for most.
type throttle struct {
	accepted decayingCount
	// rejected is the number of requests that were not taken, crowded answers in part.
	rejected decayingCount
	demands  []*demand
}

// demand is what was asked for at a rank, in all and by team. The ranks stand in order.
type demand struct {
	priority int
	all      decayingCount
	teams    map[string]*decayingCount
}

const (
	// throttleMemory is how far back the counts reach: long enough for a few requests of an
	// instance that gets two a second, short beside a rush of ten seconds.
	throttleMemory = 2 * time.Second
	// throttleExcess is how many times what was taken lately may be sent, and throttleProbes how
	// many requests more: a service that bears more again must be found out.
	throttleExcess = 1.1
	throttleProbes = 1.0
	// crowdedPart is the part of a request by which an answer from a crowded server counts as not
	// taken: from a quarter of such answers on less is sent, so that answers come in time, before
	// the server is full.
	crowdedWeight = 0.4
	// throttleAfter is how many requests must not have been taken lately for any to be refused:
	// one is no sign of a full service.
	throttleThreshold = 2.0
	// lowPart is the part of what may be sent that is left to the lower ranks in any case.
	lowPriorityShare = 1.0 / lowPriorityTurn
	// cutSign is how much must not have been taken lately for a broken connection to count too:
	// half of one answer from a crowded server.
	connectionLostThreshold = crowdedWeight / 2
	// throttleTeams bounds the teams that are counted.
	throttleTeams = 4096
)

// decayingCount is a count that decays exponentially, with throttleMemory as its time constant.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) valueAt(now time.Time) float64 {
	if !c.at.IsZero() {
		c.value *= math.Exp(-now.Sub(c.at).Seconds() / throttleMemory.Seconds())
	}
	c.at = now
	return c.value
}

func (c *decayingCount) add(now time.Time, x float64) { c.value = max(c.valueAt(now)+x, 0) }

// observeDemand counts a request of a team.
func (q *throttle) observeDemand(priority int, team string, now time.Time) {
	d := q.demandAt(priority)
	d.all.add(now, 1)
	if len(d.teams) > throttleTeams {
		clear(d.teams)
	}
	count := d.teams[team]
	if count == nil {
		count = &decayingCount{}
		d.teams[team] = count
	}
	count.add(now, 1)
}

// rank finds what was asked for at a rank.
func (q *throttle) demandAt(priority int) *demand {
	at, found := slices.BinarySearchFunc(q.demands, priority, func(a *demand, priority int) int { return cmp.Compare(a.priority, priority) })
	if !found {
		q.demands = slices.Insert(q.demands, at, &demand{priority: priority, teams: map[string]*decayingCount{}})
	}
	return q.demands[at]
}

// recordDispatch counts a request that went to a server.
func (q *throttle) recordDispatch(now time.Time) { q.accepted.add(now, 1) }

// observeEnd takes in whether a server took the request. A full one turns it away, or resets the
// connection, and so does one that a request has crashed: a broken connection counts beside
// another sign of a full service, of the last second.
func (q *throttle) observeEnd(e AttemptEnded, now time.Time) {
	if e.Result == Rejected || e.ConnectionLost && q.rejected.valueAt(now) >= connectionLostThreshold {
		q.reject(now, 1)
	}
}

// reject counts a part of a request as not taken.
func (q *throttle) reject(now time.Time, part float64) {
	q.accepted.add(now, -part)
	q.rejected.add(now, part)
}

// observeLoad takes in the load that a server reports with an answer: it is crowded where as many wait
// as run, so that an answer takes twice its work.
func (q *throttle) observeLoad(load Load, now time.Time) {
	if load.Slots > 0 && load.Waiting >= load.Slots {
		q.reject(now, crowdedWeight)
	}
}

// refuses says whether a team's request, which was counted, is refused; draw is a random part
// of 1.
func (q *throttle) refuses(priority int, team string, now time.Time, draw float64) bool {
	if q.rejected.valueAt(now) < throttleThreshold {
		return false
	}
	allowed := throttleExcess*q.accepted.valueAt(now) + throttleProbes
	d := q.demandAt(priority)
	left := max(allowed-q.demandAbove(priority, now), lowPriorityShare*allowed)
	if d.all.valueAt(now) <= left {
		return false
	}
	return draw*d.teams[team].valueAt(now) > d.fairShare(now, left)
}

// above is what was asked for at higher ranks.
func (q *throttle) demandAbove(priority int, now time.Time) float64 {
	sum := 0.0
	for _, other := range q.demands {
		if other.priority < priority {
			sum += other.all.valueAt(now)
		}
	}
	return sum
}

// fairShare is what each team may have of so many requests, if those that ask for less get all
// that they ask for.
func (d *demand) fairShare(now time.Time, allowed float64) float64 {
	counts := make([]float64, 0, len(d.teams))
	for _, count := range d.teams {
		counts = append(counts, count.valueAt(now))
	}
	slices.Sort(counts)
	left := allowed
	for i, count := range counts {
		share := left / float64(len(counts)-i)
		if count >= share {
			return share
		}
		left -= count
	}
	return left
}
