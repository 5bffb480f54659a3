package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticplank.example/decision/admission"
)

// hopelessFraction is the part of a class below which its callers are told that there is no room.
const hopelessFraction = 0.01

// pooledWait is how long the request would wait if what waits at all instances is served in order; own is the estimate
// from this instance's queue alone.
func (w *World) pooledWait(r *request, own time.Duration) time.Duration {
	l := w.currentLevel(r.service)
	if !r.service.engine {
		if n := float64(max(w.fleetSize, 1)); !math.IsInf(l.level.Room, 1) {
			own = min(own, seconds(float64(r.service.queue.ahead(r))*n/l.level.Room))
		}
		return own
	}
	if w.now.Sub(w.shared.peers.At) > peerLoadTTL {
		return own
	}
	ahead, same, ofTeam, urgent := 0.0, 0.0, 0.0, 0.0
	c := w.classOf(r)
	teams := map[uint32]bool{c.Team: true}
	for _, d := range l.pooled {
		if d.Class.Priority < c.Priority {
			urgent += d.Offered
		}
		switch {
		case d.Waiting <= 0:
		case d.Class.Priority < c.Priority:
			ahead += d.Waiting
		case d.Class.Priority == c.Priority && (d.Class.Returned || !c.Returned):
			same += d.Waiting
			teams[d.Class.Team] = true
			if d.Class.Team == c.Team {
				ofTeam += d.Waiting
			}
		}
	}
	ahead += min(same, ofTeam*float64(len(teams)))
	// More urgent requests that arrive meanwhile go first.
	rate := max(l.admitted-urgent, reservedRate*l.admitted, minWorkRate)
	return seconds(min(ahead/rate, queueWaitCap.Seconds()*2))
}

// refuseHopeless refuses queued requests that will not be served within their wait, as long as it is early.
func (w *World) refuseHopeless() {
	var list []*request
	for _, r := range w.requests {
		age := w.now.Sub(r.arrived)
		early := time.Duration(yieldFraction * float64(r.Route.TargetLatency))
		if r.queued && !r.mayHaveRun && r.service.engine && age <= early && w.expectedWait(r) > MaxQueueWait(&r.Request, r.arrived)-age {
			list = append(list, r)
		}
	}
	// In the order of their arrival, and the least urgent first: each makes room for those that stay.
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(b.ID, a.ID)) })
	for _, r := range list {
		if _, limited := w.grantWait(r); !limited && w.expectedWait(r) > MaxQueueWait(&r.Request, r.arrived)-w.now.Sub(r.arrived) {
			w.refuse(r, ReasonBusy)
		}
	}
}

// returnTime is when the caller of a refused request is to return, and the state that this comes from. It is late
// enough for the caller to be known as one that has come back.
func (w *World) returnTime(r *request) (time.Duration, *AdmissionState) {
	l, c := w.currentLevel(r.service), w.classOf(r)
	state := w.admissionState(r.service, l, c)
	left := r.Deadline.Sub(w.now)
	back := c
	back.Returned = true
	perSecond := 0.0
	if l.level.Fraction(back) > hopelessFraction {
		perSecond = max(state.Room, 1) / max(float64(w.fleetSize), 1) / w.work(r)
	}
	least := max(left-time.Duration(returnedShare*float64(r.Route.Timeout))+minRetryAfter/2, minRetryAfter)
	told := w.shared.returns.Refused(w.now, c, perSecond, left, least, w.rng.Float64())
	state.Position = told.Position
	if told.After < 0 {
		told.After = minRetryAfter // the deadline has passed: the caller's next request has its own
	}
	return told.After, state
}

func (w *World) admissionState(s *service, l *serviceLevel, c admission.Class) *AdmissionState {
	state := &AdmissionState{Service: s.name, Returned: c.Returned, Fraction: l.level.Fraction(c), Known: w.shared.peers.Covered(w.now)}
	state.Priority, state.RoutePriority = prioritiesOf(c.Priority)
	state.Room, state.Offered = l.level.PriorityRoom(c.Priority)
	if !w.shared.peers.At.IsZero() {
		state.KnownAge = w.now.Sub(w.shared.peers.At)
	}
	return state
}

// AdmissionLevels returns the state of each service and priority for which there is demand; nothing unless admission is
// shared. Fraction is room over demand, for all teams together.
func (w *World) AdmissionLevels() []AdmissionState {
	var out []AdmissionState
	for s, l := range w.shared.levels {
		seen := map[uint8]bool{}
		for _, d := range l.pooled {
			p := d.Class.Priority
			if seen[p] || p == rejectedPriority {
				continue
			}
			seen[p] = true
			state := *w.admissionState(s, l, admission.Class{Service: l.key, Priority: p})
			state.Fraction = min(state.Room/max(state.Offered, 1e-9), 1)
			out = append(out, state)
		}
	}
	return out
}
