package passthrough

import (
	"math"
	"time"

	"masticplank.example/decision/admission"
)

// startPeriod is how long an instance waits for the first report of the others.
const startPeriod = 1500 * time.Millisecond

// exceedsStartShare reports whether the request must wait because this instance has its part of the service's slots,
// and knows nothing of the others yet.
//
// Load: all instances start anew, and all callers return at once. Harm prevented: servers filled several times over
// within the first 0.3 s by instances that each consider them idle.
func (w *World) exceedsStartShare(r *request) bool {
	if !w.cfg.SharedAdmission || !w.shared.peers.At.IsZero() || w.fleetSize <= 1 || r.mayHaveRun || w.now.Sub(w.shared.startedAt) > startPeriod {
		return false
	}
	slots, own := 0, 0
	for _, srv := range r.service.servers {
		if srv.usable(w.now) {
			slots += max(srv.Slots, r.service.slots)
			own += srv.ownRequests
		}
	}
	return slots > 0 && own >= max(slots/w.fleetSize, 1)
}

// slotShare is this instance's part of what an engine service's slots take until the next report.
type slotShare struct {
	// scarce is the most urgent priority from which on all instances have more requests than that; credit is how many
	// of these requests may be sent here. sharedAt is when the slots were last shared.
	scarce   int
	credit   float64
	sharedAt time.Time
}

const (
	// slotCorrection is the time in which free slots are filled: longer than the reports' delay.
	slotCorrection = 500 * time.Millisecond
	// reportAge is how old the known load of engines is in the mean.
	reportAge = 300 * time.Millisecond
	// engineWait is the wait at engines that is aimed at, as a fraction of the shortest target latency: engines that are
	// kept just full are idle at times.
	engineWait = 0.25
	// maxIdleCredit bounds the requests that an instance may send at once after a pause.
	maxIdleCredit = 2
)

// shareSlots gives this instance its part of the slots that are free and of those that become free.
//
// Load: a hundred requests that wait or arrive at 70 instances, and three slots that become free. Harm prevented: all
// instances send to the same three engines, as each sees them free; and slots that go to requests that can wait.
func (w *World) shareSlots(s *service) {
	l := w.levelFor(s)
	last := l.slots.sharedAt
	l.slots.sharedAt, l.slots.scarce = w.now, math.MaxInt
	if l.meanWork.value <= 0 {
		return
	}
	use, dt := w.engineUse(s, max(l.leastTarget.Seconds(), minTarget)), min(w.now.Sub(last), slotCorrection).Seconds()
	if last.IsZero() {
		dt = reportAge.Seconds()
	}
	finished := l.finished / l.meanWork.value
	if w.expectsLoads(s) && s.flow.scarce && s.flow.finishing > 0 {
		finished = min(finished, s.flow.finishing) // rejected requests count as admitted, and never end at engines
	}
	// Slots become free before the next report is known, and a short wait at an engine costs no response its target.
	ahead := finished * (reportAge.Seconds() + engineWait*l.leastTarget.Seconds())
	s.flow.wait, s.flow.waiting = engineWait*l.leastTarget.Seconds(), ahead/float64(max(s.flow.usable, 1))
	left := (finished + (use.free+max(ahead-use.waiting, 0))/slotCorrection.Seconds()) * dt
	own, _ := w.slotDemand(admission.OfService(w.ownDemand(), l.key), l.meanWork.value, dt)
	all, order := w.slotDemand(l.pooled, l.meanWork.value, dt)
	credit := 0.0
	for _, p := range order {
		if all[p] > left && l.slots.scarce == math.MaxInt {
			l.slots.scarce = p
		}
		if all[p] > 0 {
			credit += min(left/all[p], 1) * own[p]
		}
		left = max(left-all[p], 0)
	}
	l.slots.credit = min(l.slots.credit, maxIdleCredit) + credit
}

// slotDemand is how many requests of each priority need a slot within dt seconds, with the priorities in order.
func (w *World) slotDemand(rows []admission.Demand, meanWork, dt float64) (byPriority map[int]float64, order []int) {
	byPriority = map[int]float64{}
	for _, d := range rows {
		p := int(d.Class.Priority)
		if _, known := byPriority[p]; !known {
			order = append(order, p) // rows are in the order of the priorities
		}
		byPriority[p] += (d.Waiting + d.Offered*dt) / meanWork
	}
	return byPriority, order
}

// yieldFraction is the fraction of a request's target time for which it leaves free slots to others.
const yieldFraction = 1.0 / 8

// yieldsSlot reports whether the request leaves a free slot to others: to those that have it as their part, or for a short
// time to a more urgent one that waits at another instance. Every eighth slot is not left to the latter.
func (w *World) yieldsSlot(r *request) bool {
	if !w.cfg.SharedAdmission || !r.service.engine || r.mayHaveRun || r.dispatches > 0 || w.now.Sub(w.shared.peers.At) > peerLoadTTL {
		return false
	}
	l := w.levelFor(r.service)
	if r.urgency < l.slots.scarce {
		return false
	}
	if l.slots.credit < 1 || w.leavesToUrgent(r, l) {
		return true
	}
	l.slots.credit--
	return false
}

// leavesToUrgent reports whether the request leaves its slot to a more urgent one elsewhere, for a short time.
func (w *World) leavesToUrgent(r *request, l *serviceLevel) bool {
	if r.queued && r.service.queue.lowTurn() || !w.urgentWaitsElsewhere(l, r.urgency) {
		return false
	}
	if r.yieldingSince.IsZero() {
		r.yieldingSince = w.now
	}
	return w.now.Sub(r.yieldingSince) < time.Duration(yieldFraction*float64(r.Route.TargetLatency))
}

// urgentWaitsElsewhere reports whether more urgent requests wait at other instances, by their latest report.
func (w *World) urgentWaitsElsewhere(l *serviceLevel, urgency int) bool {
	for _, d := range w.shared.peers.Demand {
		if d.Class.Service == l.key && int(d.Class.Priority) < urgency && d.Waiting > 0 {
			return true
		}
	}
	return false
}
