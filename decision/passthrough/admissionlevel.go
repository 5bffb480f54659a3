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
	// saturatedPrefillWait is the wait of prompts at an engine, as a fraction of the shortest target latency, at which it
	// does little else than prefill. Below it larger models may fill the time that is left.
	saturatedPrefillWait = 0.25
	// spareSlots is the part of the slots that is free if there is room to spare.
	spareSlots = 0.1
	// leastUtilization bounds by how much the room may exceed what is sent to engines now.
	leastUtilization = 0.25
	// tolerablePlainWait is the same as tolerableQueueWait at plain services, whose instances' queues differ: some are full
	// at half of it in the mean. plainFull is the pressure of the queues from which on servers get through what is sent.
	tolerablePlainWait = 0.5 * tolerableQueueWait
	plainFull          = 0.5
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
	admitted, waiting, rejected := 0.0, 0.0, 0.0
	for _, d := range l.pooled {
		if d.Class.Priority == rejectedPriority {
			rejected += d.Waiting
			continue
		}
		room.Offered, admitted, waiting = room.Offered+d.Offered, admitted+d.Admitted, waiting+d.Waiting
	}
	l.admitted = admitted
	perSecond := max(admitted, 1)
	if !s.engine {
		room.Pressure = rejected / perSecond / (tolerableRejections * throttleMemory.Seconds())
		if l.leastTarget > 0 {
			queued := waiting / perSecond / (tolerablePlainWait * l.leastTarget.Seconds())
			room.Pressure += queued
			if queued >= plainFull {
				room.Estimate = admitted
			}
		}
		return room
	}
	target := max(l.leastTarget.Seconds(), minTarget)
	use := w.engineUse(s, target)
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

// engineUse sums up the known load of the engines; target is the shortest target latency in seconds.
//
// Load: engines that are lost during a burst, and come back. Harm prevented: slots of engines in slow start, which take
// one request or two a second, counted as room.
func (w *World) engineUse(s *service, target float64) engineUse {
	use, engines, busy := engineUse{utilization: 1}, 0.0, 0.0
	slots := float64(s.slots)
	if slots <= 0 {
		return use
	}
	for _, v := range w.viewServers(s) {
		use.requests += v.known
		if v.server.inSlowStart(w.now) {
			continue
		}
		engines++
		use.waiting += max(v.known-slots, 0)
		use.free += max(slots-v.known, 0)
		busy += min(v.wait/(saturatedPrefillWait*target), 1) // a slow engine is no more than one that is busy
	}
	if engines == 0 {
		return use
	}
	// Requests that wait at slow engines while others have free slots are no lack of room.
	use.waiting *= max(1-use.free/(spareSlots*slots*engines), 0)
	use.utilization = max(1-use.free/(engines*slots), busy/engines)
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
		if !srv.inService() || w.outliers.Ejected(srv.outlierKey()) && !w.runsTarget(srv) {
			continue // an ejected server gets nothing
		}
		if srv.Slots <= 0 {
			return math.Inf(1)
		}
		slots += srv.Slots
	}
	return float64(slots) / math.Exp(l.workTime.value)
}

// observeWorkTime learns the work time of a plain request from its response time and the load that the server has stated with
// the response: with n requests at a server of fewer slots, a response takes n times the work over the slots.
//
// Load: a burst at a service with few slots. Harm prevented: room that is measured too low while servers are busy, as
// requests that found a queue, and left none behind, count as longer work.
func (w *World) observeWorkTime(r *request, s *server, e AttemptEnded) {
	load := s.reported
	if !w.cfg.SharedAdmission || r.service.engine || e.Result != Completed || e.EventInterval <= 0 {
		return
	}
	if s.reportedAt.Before(r.sent) || load.Slots <= 0 && load.Waiting > 0 {
		return
	}
	work := e.EventInterval.Seconds()
	if n := load.Running + load.Waiting; load.Slots > 0 && n > load.Slots {
		work *= float64(load.Slots) / float64(n)
	}
	w.levelFor(r.service).workTime.add(math.Log(work))
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
