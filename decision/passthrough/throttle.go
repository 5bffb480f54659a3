package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// throttle bounds what is sent to a plain service whose servers reject requests.
//
// Load: several times what the service's few servers can serve, from hundreds of instances that each
// see too few responses to know how full the servers are. Harm prevented: a full server that resets
// connections, which leaves open whether the request ran, so that callers of requests that may run
// at most once get a failure instead of a refusal with a retry-after time; and one team's
// burst that takes the slots of all others. Each instance sends little more than what was recently
// accepted of its own requests. It refuses low priorities first, and the teams that ask for the
// most.
type throttle struct {
	accepted decayingCount
	// rejected is the number of requests that were not accepted; responses of crowded servers count
	// in part.
	rejected decayingCount
	demands  []*demand
}

// demand is what was asked for at a priority, in total and by team.
type demand struct {
	priority int
	all      decayingCount
	teams    map[string]*decayingCount
}

const (
	// throttleMemory is the time constant of the counts: long enough for a few requests of an
	// instance that gets two per second, short compared to a burst of ten seconds.
	throttleMemory = 2 * time.Second
	// throttleExcess is how many times the recently accepted number may be sent, plus
	// throttleProbes requests: otherwise an instance would not notice that a service takes more
	// again.
	throttleExcess = 1.1
	throttleProbes = 1.0
	// crowdedWeight is the part of a request that counts as not accepted for a response of a
	// crowded server. Once a quarter of the responses are of that kind, less is sent, so that
	// responses come in time and before the server is full.
	crowdedWeight = 0.4
	// throttleThreshold is how high the count rejected must be for this instance to refuse
	// requests: a single rejection is no sign of a full service.
	throttleThreshold = 2.0
	// lowPriorityShare is the part of what may be sent that lower priorities get in any case.
	lowPriorityShare = 1.0 / lowPriorityTurn
	// connectionLostThreshold is how high the count rejected must be for a lost connection to be
	// added to it: half of what one response of a crowded server adds.
	connectionLostThreshold = crowdedWeight / 2
	// throttleTeams bounds the teams that are counted per priority.
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
func (t *throttle) observeDemand(priority int, team string, now time.Time) {
	d := t.demandAt(priority)
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

// demandAt returns the demand at a priority, which it adds if needed; t.demands is sorted by
// priority.
func (t *throttle) demandAt(priority int) *demand {
	at, found := slices.BinarySearchFunc(t.demands, priority, func(a *demand, priority int) int { return cmp.Compare(a.priority, priority) })
	if !found {
		t.demands = slices.Insert(t.demands, at, &demand{priority: priority, teams: map[string]*decayingCount{}})
	}
	return t.demands[at]
}

// recordDispatch counts a request that went to a server as accepted; reject corrects the count.
func (t *throttle) recordDispatch(now time.Time) { t.accepted.add(now, 1) }

// observeEnd counts a request that a server did not accept. A full server rejects the request or
// resets the connection; but a server that the request has crashed resets it too. So a lost
// connection counts only if there was another sign of a full service recently: one response of a
// crowded server counts for about a second, a rejection for about three.
func (t *throttle) observeEnd(e AttemptEnded, now time.Time) {
	if e.Result == Rejected || e.ConnectionLost && t.rejected.valueAt(now) >= connectionLostThreshold {
		t.reject(now, 1)
	}
}

// reject counts part of a request as not accepted.
func (t *throttle) reject(now time.Time, part float64) {
	t.accepted.add(now, -part)
	t.rejected.add(now, part)
}

// observeLoad applies the load that a server reports with a response. The server is crowded if as
// many requests wait as it has slots, so that a response takes twice the time of its work.
func (t *throttle) observeLoad(load Load, now time.Time) {
	if load.Slots > 0 && load.Waiting >= load.Slots {
		t.reject(now, crowdedWeight)
	}
}

// refuses reports whether to refuse a team's request, which has been counted; draw is a random
// number in [0, 1).
func (t *throttle) refuses(priority int, team string, now time.Time, draw float64) bool {
	if t.rejected.valueAt(now) < throttleThreshold {
		return false
	}
	allowed := throttleExcess*t.accepted.valueAt(now) + throttleProbes
	d := t.demandAt(priority)
	left := max(allowed-t.demandAbove(priority, now), lowPriorityShare*allowed)
	if d.all.valueAt(now) <= left {
		return false
	}
	return draw*d.teams[team].valueAt(now) > d.fairShare(now, left)
}

// demandAbove is what was asked for at higher priorities.
func (t *throttle) demandAbove(priority int, now time.Time) float64 {
	sum := 0.0
	for _, other := range t.demands {
		if other.priority < priority {
			sum += other.all.valueAt(now)
		}
	}
	return sum
}

// fairShare is how many of the allowed requests each team may have, if teams that ask for less get
// all that they ask for (max-min fairness).
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
