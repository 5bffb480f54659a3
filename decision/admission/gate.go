package admission

import "time"

// Gate admits a part of the requests of each class at one instance, by error diffusion: of any n consecutive ones it
// admits the part to within one.
//
// Load: instances with two requests a second, all of which know the same level. Harm prevented: instances that admit
// or refuse together.
type Gate struct{ credits map[Class]float64 }

// gateClasses bounds the classes that are kept; without the oldest credits a request more or less is admitted.
const gateClasses = 4096

// Admits reports whether a request is admitted. phase, in [0, 1), is where a new class begins; it must differ between
// the instances.
func (g *Gate) Admits(c Class, fraction, phase float64) bool {
	if fraction >= 1 {
		return true
	}
	if len(g.credits) > gateClasses || g.credits == nil {
		g.credits = map[Class]float64{}
	}
	credit, known := g.credits[c]
	if !known {
		credit = phase
	}
	credit += fraction
	admitted := credit >= 1
	if admitted {
		credit--
	}
	g.credits[c] = credit
	return admitted
}

// Returns tells refused callers when to return: one after the other, as there will be room.
//
// Load: hundreds of callers that are refused within a second. Harm prevented: all of them returning together, to be
// refused again.
type Returns struct{ next map[lane]time.Time }

// lane is what waits in one line.
type lane struct {
	service  uint32
	priority uint8
}

// Return is what a refused caller is told.
type Return struct {
	// After is 0 if there is no room at any time.
	After time.Duration
	// Position is the number of callers that were told to return before.
	Position int
}

const (
	// honoured is the part of their time left up to which callers wait as they are told.
	honoured = 1.0 / 3
	// honouredSpread is the part of that bound over which the callers are spread whose turn comes later.
	honouredSpread = 0.3
)

// Refused returns when the caller of a refused request is to return. perSecond is how many of the requests of its
// service and priority this instance admits, 0 if none has room; left is its time left, least the shortest time that
// it is told; draw is a random number in [0, 1).
func (q *Returns) Refused(now time.Time, c Class, perSecond float64, left, least time.Duration, draw float64) Return {
	if q.next == nil {
		q.next = map[lane]time.Time{}
	}
	key := lane{c.Service, c.Priority}
	if perSecond <= 0 {
		return Return{}
	}
	interval := time.Duration(min(float64(time.Second)/perSecond, float64(maxInterval)))
	at := q.next[key]
	if at.Before(now) {
		at = now
	}
	bound := time.Duration(honoured * float64(left))
	out := Return{After: max(at.Sub(now)+time.Duration(draw*float64(interval)), least), Position: int(at.Sub(now) / max(interval, 1))}
	if out.After > bound {
		out.After = bound - time.Duration(draw*honouredSpread*float64(bound))
	}
	// A line longer than callers wait is no better known than that.
	q.next[key] = at.Add(min(interval, max(left-at.Sub(now), 0)))
	return out
}

// maxInterval bounds the time between two callers of a line.
const maxInterval = 10 * time.Second
