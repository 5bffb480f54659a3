package decision

import "time"

// admit answers each arrival: it goes to a queue, or is refused at once with
// when to come back. The order is from the certain to the estimated, so that the
// reason given is the one that matters most to the caller.
func (w *World) admit() {
	for _, r := range w.arrived {
		if r.state == stateArrived {
			w.admitOne(r)
		}
	}
}

func (w *World) admitOne(r *request) {
	if !w.fresh {
		// An instance that may not know the manifest in force must not run by an
		// old one. Another instance can take the request now.
		w.refuse(r, ReasonNotFresh, w.retryAfter(0))
		return
	}
	r.team = w.teams[r.Team]
	to := w.resolve(r)
	if to.reason != "" {
		w.refuseFor(r, to.reason)
		return
	}
	if reason := w.blockedReason(r); reason != "" {
		w.refuseFor(r, reason)
		return
	}
	w.assign(r, to)
	reason := w.capacityReason(r)
	if reason == ReasonWaitTooLong && w.spillover(r) {
		reason = ""
	}
	if reason != "" {
		w.refuse(r, reason, w.retryAfter(w.waitFor(r)))
		return
	}
	w.enqueue(r)
}

// bars gives the reason why a request that may run by the manifest still must
// not.
func (w *World) blockedReason(r *request) RefusalReason {
	if w.isQuarantined(r.Fingerprint) {
		// It crashed the servers that ran it; one more would be lost.
		return ReasonQuarantined
	}
	if w.outage && !r.Idempotent {
		// Nobody can record the claim that keeps it from running twice.
		return ReasonOutage
	}
	if r.Resend && !r.team.retries.spend(w.now, &w.cfg) {
		return ReasonRetryBudget
	}
	return ""
}

// crowded refuses what could not be answered in time.
//
// Load: a burst, or demand over capacity for long. Harm prevented: work that
// waits past its deadline and is then thrown away, while its caller could have
// gone elsewhere. The queue's bound limits memory; the estimate is what keeps
// the queue as long as it is of use, and the time of the answer itself is part
// of it, since a late answer is worth nothing. The margin keeps the estimate's
// error from admitting half of those at the edge in vain.
func (w *World) capacityReason(r *request) RefusalReason {
	if r.team.queued >= w.queueLimit(r.team) {
		return ReasonQueueFull
	}
	if !r.deadline.After(w.now) {
		return ReasonDeadline
	}
	if w.cfg.Policy.NoWaitLimit {
		return ""
	}
	wait := time.Duration(w.cfg.WaitMargin * float64(w.waitFor(r)))
	timeLeft := r.deadline.Sub(w.now)
	if wait+r.pool.serviceTime.upperBound(r.item.Cost) > timeLeft || wait > w.waitLimit(r, timeLeft) {
		return ReasonWaitTooLong
	}
	return ""
}

// waitLimit is the longest wait that a request may be queued for.
//
// Load: demand of a team over its share for long, against a burst. A burst may
// use the whole time to the deadline: its queue is worked off afterwards. A queue
// that stands for longer than a burst adds nothing to what the servers give, but
// adds its wait to every answer; so it is kept short, and callers are told at
// once when to come back. A team without a queue waits for the next slot only,
// and may.
func (w *World) waitLimit(r *request, timeLeft time.Duration) time.Duration {
	p := r.pool
	if !w.overloaded(p) || p.flow(r.team).Len() == 0 {
		return timeLeft
	}
	return time.Duration(w.cfg.OverloadAdmitWait * float64(timeLeft))
}

// overloadPart is the part of the last while for which a queue stood in overload:
// under a third, the slots that eight instances leave each other still suffice.
const overloadThreshold = 0.3

// overloaded tells demand over capacity for long from a burst: the queue stood for
// much of the last while. One of eight instances on a saturated pool sees its own
// queue run empty now and then, so the present queue's age does not tell.
func (w *World) overloaded(p *pool) bool {
	return !w.cfg.Policy.NoWaitLimit && p.backlog.part(w.now, w.cfg.BurstDuration) >= overloadThreshold
}

func (w *World) queueLimit(t *team) int {
	if t.QueueLimit > 0 {
		return t.QueueLimit
	}
	return w.cfg.QueueLimit
}
