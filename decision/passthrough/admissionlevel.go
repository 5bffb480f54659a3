package passthrough

import (
	"math"
	"time"

	"masticplank.example/decision/admission"
)

const (
	// levelInterval is how often a level is computed anew: reports arrive every 0.15 s or less often.
	levelInterval = 50 * time.Millisecond
	// tolerableQueueWait and tolerableServerWait are the waits in the instances' queues and at engines, as fractions of the
	// shortest target latency, above which there is too little room: what is admitted would be late. Below that a request
	// that waits is served in time, and one that is refused and returns is not.
	tolerableQueueWait  = 0.75 * queueWaitFraction
	tolerableServerWait = 0.75
	// reservedRate is the part of the room that less urgent requests get in any case, minWorkRate the least assumed room.
	reservedRate = 1.0 / lowPriorityTurn
	minWorkRate  = 1.0
	// minTarget is the least target latency in seconds that waits are compared with: the reports are older than shorter
	// waits.
	minTarget = 0.5
	// tolerableRejections is the part of the requests that plain servers reject, or answer late, above which there is too
	// little room; see crowdedWeight.
	tolerableRejections = 0.15
	// saturatedPrefillWait is the mean wait of prompts at engines, in seconds, at which these do little else than prefill.
	saturatedPrefillWait = 0.2
	// spareSlots is the part of the slots that is free if there is room to spare.
	spareSlots = 0.1
	// leastUtilization bounds by how much the room may exceed what is sent to engines now.
	leastUtilization = 0.25
	// returnedShare is the share of the route's timeout that is left to callers that were refused before. At first
	// callers state 0.85 of it or more.
	returnedShare = 0.85
)

// currentLevel returns the service's level, which it computes anew from time to time.
func (w *World) currentLevel(s *service) *serviceLevel {
	l := w.levelFor(s)
	if !l.at.IsZero() && w.now.Sub(l.at) < levelInterval {
		return l
	}
	l.at = w.now
	l.pooled = admission.OfService(admission.Pooled(admission.OfService(w.ownDemand(), l.key), w.shared.peers, w.fleetSize, w.now), l.key)
	l.level = admission.NewLevel(l.pooled, l.limit.Update(w.now, w.roomOf(s, l)))
	return l
}

// roomOf sums up what is known of the service's room.
func (w *World) roomOf(s *service, l *serviceLevel) admission.Room {
	room := admission.Room{Nominal: w.nominalRoom(s, l)}
	admitted, waiting := 0.0, 0.0
	for _, d := range l.pooled {
		room.Offered, admitted, waiting = room.Offered+d.Offered, admitted+d.Admitted, waiting+d.Waiting
	}
	l.admitted = admitted
	if !s.engine {
		room.Pressure = waiting / max(admitted, 1) / (tolerableRejections * throttleMemory.Seconds())
		return room
	}
	use := w.engineUse(s)
	perSecond := max(admitted, 1)
	target := max(l.leastTarget.Seconds(), minTarget)
	room.Pressure = waiting/perSecond/(tolerableQueueWait*target) + use.waiting*l.meanWork.value/perSecond/(tolerableServerWait*target)
	l.finished = max(admitted-l.backlog.slope(w.now, use.requests)*l.meanWork.value, admitted/2)
	room.Estimate = l.finished / max(use.utilization, leastUtilization)
	return room
}

// engineUse is what is known of the use of a service's engines.
type engineUse struct {
	// utilization is the fraction of their slots that is taken, or of their time for prefill if that is more.
	utilization float64
	// requests is the number of requests at them, waiting of those that wait for a slot; free is the number of free slots.
	requests, waiting, free float64
}

func (w *World) engineUse(s *service) engineUse {
	views := w.viewServers(s)
	if s.slots <= 0 || len(views) == 0 {
		return engineUse{utilization: 1}
	}
	var use engineUse
	wait, slots := 0.0, float64(s.slots)
	for _, v := range views {
		use.requests += v.known
		use.waiting += max(v.known-slots, 0)
		use.free += max(slots-v.known, 0)
		wait += v.wait
	}
	// Requests that wait at slow engines while others have free slots are no lack of room.
	use.waiting *= max(1-use.free/(spareSlots*slots*float64(len(views))), 0)
	busy := min(wait/float64(len(views))/saturatedPrefillWait, 1)
	use.utilization = max(1-use.free/(float64(len(views))*slots), busy)
	return use
}

// trend follows a value; its slope is the change a second.
type trend struct {
	value float64
	at    time.Time
}

// trendMemory is the time constant of a trend: longer than the interval of the reports.
const trendMemory = 500 * time.Millisecond

func (t *trend) slope(now time.Time, value float64) float64 {
	if t.at.IsZero() {
		t.value = value
	}
	t.value += (value - t.value) * (1 - math.Exp(-max(now.Sub(t.at), 0).Seconds()/trendMemory.Seconds()))
	t.at = now
	return (value - t.value) / trendMemory.Seconds()
}

// nominalRoom is how many requests a second the slots of a plain service's servers have room for, +Inf if unknown.
func (w *World) nominalRoom(s *service, l *serviceLevel) float64 {
	if s.engine || l.workTime.n == 0 {
		return math.Inf(1)
	}
	slots := 0
	for _, srv := range s.servers {
		if !srv.inService() {
			continue
		}
		if srv.Slots <= 0 {
			return math.Inf(1)
		}
		slots += srv.Slots
	}
	return float64(slots) / math.Exp(l.workTime.value)
}

// observeWorkTime learns the work time of a plain request from responses of servers where nothing waits.
func (w *World) observeWorkTime(e FirstByte) {
	r := w.requests[e.Request]
	if !w.cfg.SharedAdmission || r == nil || r.service.engine || !e.HasLoad || e.Load.Waiting > 0 || e.After <= 0 {
		return
	}
	w.levelFor(r.service).workTime.add(math.Log(e.After.Seconds()))
}

// admits counts an arriving request, and reports whether its class has room for it.
//
// Load: a burst at 70 instances with two to ten requests a second each. Harm prevented: an urgent caller who waits at
// one instance while others fill the servers with what can wait; and refusals after a wait.
func (w *World) admits(r *request) bool {
	r.returned = r.Deadline.Sub(w.now) < time.Duration(returnedShare*float64(r.Route.Timeout))
	c, l := w.classOf(r), w.levelFor(r.service)
	if l.leastTarget == 0 || r.Route.TargetLatency < l.leastTarget {
		l.leastTarget = r.Route.TargetLatency
	}
	l.meanWork.add(w.work(r))
	w.shared.meter.Offer(w.now, c, w.work(r))
	fraction := w.currentLevel(r.service).level.Fraction(c)
	if fraction >= 1 {
		return true
	}
	return w.shared.gate.Admits(c, fraction, w.rng.Float64())
}

// recordAdmitted counts a request that is sent to a server for the first time.
func (w *World) recordAdmitted(r *request) {
	if w.cfg.SharedAdmission && r.dispatches == 0 {
		w.shared.meter.Admit(w.now, w.classOf(r), w.work(r))
	}
}
