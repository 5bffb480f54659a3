package passthrough

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticplank.example/decision/admission"
)

// sharedAdmission is what this instance knows of the demand at all instances, and the levels that follow.
type sharedAdmission struct {
	startedAt time.Time
	meter     admission.Meter
	peers     admission.Peers
	gate      admission.Gate
	returns   admission.Returns
	levels    map[*service]*serviceLevel
}

// serviceLevel is the admission level of a service.
type serviceLevel struct {
	key    uint32
	limit  admission.Limit
	level  admission.Level
	pooled []admission.Demand
	at     time.Time
	// admitted is the work of all instances that is sent to servers, finished what engines get through, a second.
	admitted, finished float64
	// leastTarget is the shortest target latency of the service's requests.
	leastTarget time.Duration
	// workTime is the mean logarithm of a plain request's response time in seconds, without waiting: one slow server
	// among several changes it little.
	workTime movingAverage
	// meanWork is the mean work of a request, backlog the number of requests at engines.
	meanWork movingAverage
	backlog  trend
	// slots is how many free slots of the engines this instance may take until the next report; see slotShare.
	slots slotShare
}

// AdmissionState is the state of a request's class.
type AdmissionState struct {
	Service  string
	Priority int
	// Returned is true if the caller was probably refused before.
	Returned bool
	// Fraction is the part of the class that is admitted, 1 without a limit.
	Fraction float64
	// Room is what the priority is given and Offered what is asked for at it by all instances, in units of work a
	// second.
	Room, Offered float64
	// Position is how many callers refused here are to return before.
	Position int
	// Known is the number of instances whose demand is known, KnownAge the age of the latest report of the others; 0 if
	// there is none.
	Known    float64
	KnownAge time.Duration
}

const (
	// levelInterval is how often a level is computed anew: reports arrive every 0.15 s or less often.
	levelInterval = 50 * time.Millisecond
	// reportedTeams bounds the teams in a report, for each service and priority.
	reportedTeams = 16
	// tokensPerWork is how many generated tokens are a unit of an engine's work; a plain request is one unit.
	tokensPerWork = 256.0
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
	// hopelessFraction is the part of a class below which its callers are told that there is no room.
	hopelessFraction = 0.01
)

// applyPeerDemand applies what the callers of the other instances ask for. Reports of no instance leave the latest
// one in force until it is too old.
func (w *World) applyPeerDemand(e PeerDemand) {
	if !w.cfg.SharedAdmission || e.Instances <= 0 {
		return
	}
	w.shared.peers = admission.Peers{Demand: e.Demand, Instances: e.Instances, At: w.now}
	for s, l := range w.shared.levels {
		l.at = time.Time{}
		w.currentLevel(s) // also without requests here, so that all instances follow the same room
	}
	w.refuseHopeless()
	for _, s := range w.services {
		if s.engine {
			w.shareSlots(s)
		}
		w.markFreed(s)
	}
}

// OwnDemand returns what the callers of this instance ask for; nothing unless admission is shared.
func (w *World) OwnDemand() []admission.Demand {
	if !w.cfg.SharedAdmission {
		return nil
	}
	return admission.Bounded(w.ownDemand(), reportedTeams)
}

func (w *World) ownDemand() []admission.Demand {
	waiting := map[admission.Class]float64{}
	for _, r := range w.requests {
		if r.queued {
			waiting[w.classOf(r)] += w.work(r)
		}
	}
	for _, s := range w.services {
		if full := s.throttle.rejected.valueAt(w.now); full >= negligibleRejections {
			// What servers rejected, or answered late, waits there like in a queue.
			waiting[admission.Class{Service: admission.ServiceOf(s.name), Priority: math.MaxUint8}] += full
		}
	}
	return w.shared.meter.Demand(w.now, waiting)
}

// negligibleRejections is the count of rejected requests below which it is not reported.
const negligibleRejections = 0.05

// classOf returns the request's class.
func (w *World) classOf(r *request) admission.Class {
	return admission.Class{Service: w.levelFor(r.service).key, Team: admission.TeamOf(r.Team), Priority: uint8(min(max(r.Priority, 0), math.MaxUint8-1)), Returned: r.returned}
}

// work is the room that the request takes.
func (w *World) work(r *request) float64 {
	if !r.service.engine {
		return 1
	}
	tokens := r.MaxTokens
	if r.ExpectedTokens > 0 && (r.ExpectedTokens < tokens || tokens == 0) {
		tokens = r.ExpectedTokens
	}
	if tokens == 0 && r.PromptTokens == 0 {
		return 1 // unknown
	}
	const promptWeight = 0.1 // as in cost
	return (promptWeight*float64(r.PromptTokens) + float64(tokens)) / tokensPerWork
}

func (w *World) levelFor(s *service) *serviceLevel {
	if w.shared.levels == nil {
		w.shared.levels = map[*service]*serviceLevel{}
	}
	l := w.shared.levels[s]
	if l == nil {
		l = &serviceLevel{key: admission.ServiceOf(s.name), level: admission.NewLevel(nil, math.Inf(1)), slots: slotShare{scarce: math.MaxInt}}
		w.shared.levels[s] = l
	}
	return l
}

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
	use, dt := w.engineUse(s), min(w.now.Sub(last), slotCorrection).Seconds()
	if last.IsZero() {
		dt = reportAge.Seconds()
	}
	finished := l.finished / l.meanWork.value
	// Slots become free before the next report is known, and a short wait at an engine costs no response its target.
	ahead := finished * (reportAge.Seconds() + engineWait*l.leastTarget.Seconds())
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
	if r.Priority < l.slots.scarce {
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
	if r.queued && r.service.queue.lowTurn() || !w.urgentWaitsElsewhere(l, r.Priority) {
		return false
	}
	if r.yieldingSince.IsZero() {
		r.yieldingSince = w.now
	}
	return w.now.Sub(r.yieldingSince) < time.Duration(yieldFraction*float64(r.Route.TargetLatency))
}

// urgentWaitsElsewhere reports whether more urgent requests wait at other instances, by their latest report.
func (w *World) urgentWaitsElsewhere(l *serviceLevel, priority int) bool {
	for _, d := range w.shared.peers.Demand {
		if d.Class.Service == l.key && int(d.Class.Priority) < priority && d.Waiting > 0 {
			return true
		}
	}
	return false
}

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
	slices.SortFunc(list, func(a, b *request) int { return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.ID, a.ID)) })
	for _, r := range list {
		if _, limited := w.limitWait(r); !limited && w.expectedWait(r) > MaxQueueWait(&r.Request, r.arrived)-w.now.Sub(r.arrived) {
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
	return told.After, state
}

func (w *World) admissionState(s *service, l *serviceLevel, c admission.Class) *AdmissionState {
	state := &AdmissionState{Service: s.name, Priority: int(c.Priority), Returned: c.Returned, Fraction: l.level.Fraction(c), Known: w.shared.peers.Covered(w.now)}
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
			if seen[p] || p == math.MaxUint8 {
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
