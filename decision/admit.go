package decision

import "time"

// admit queues each arrival or refuses it at once with a retry time. Definite
// reasons are checked before estimates, so that the caller gets the reason that
// matters most.
func (w *World) admit() {
	for _, r := range w.arrived {
		if r.state == stateArrived {
			w.admitOne(r)
		}
	}
}

func (w *World) admitOne(r *request) {
	if !w.fresh {
		// The instance may not know the manifest in force and must not act on an
		// old one. Another instance can take the request now.
		w.refuse(r, ReasonNotFresh, w.retryAfter(0))
		return
	}
	r.team = w.teams[r.Team]
	target := w.resolve(r)
	if target.reason != "" {
		w.refuseFor(r, target.reason)
		return
	}
	if reason := w.blockedReason(r); reason != "" {
		w.refuseFor(r, reason)
		return
	}
	w.assign(r, target)
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

// blockedReason returns why a request that the manifest permits must still be
// refused, or "".
func (w *World) blockedReason(r *request) RefusalReason {
	if w.isQuarantined(r.Fingerprint) {
		// It crashed the servers that ran it and would crash another.
		return ReasonQuarantined
	}
	if w.outage && !r.Idempotent {
		// The claim that keeps it from running twice cannot be recorded.
		return ReasonOutage
	}
	if r.Resend && !r.team.retryBudget.spend(w.now, &w.cfg) {
		return ReasonRetryBudget
	}
	return ""
}

// capacityReason returns why the request cannot be queued or cannot be answered in
// time, or "".
//
// Load: a burst, or sustained demand over capacity. Harm prevented: requests that
// wait past their deadline and are then dropped, while their callers could have
// gone elsewhere. The queue limit only bounds memory; the estimate limits the queue
// to what can still be answered. It includes the time of the answer itself, since
// an answer after the deadline is of no use. Config.WaitMargin covers the error of
// the estimate: without it, about half of the requests that are expected to end
// just before their deadline would miss it.
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

// waitLimit is the longest estimated wait at which a request is still queued.
//
// Load: sustained demand of a team over its share, as opposed to a burst. A burst
// may use all of the time to the deadline: its queue drains afterwards. A queue
// that stands for longer adds nothing to the throughput but adds its wait to every
// answer. Harm prevented: such a standing queue; it is kept short, and callers are
// told at once when to retry. A team without a queue waits for the next slot only
// and is not limited.
func (w *World) waitLimit(r *request, timeLeft time.Duration) time.Duration {
	p := r.pool
	if !w.overloaded(p) || p.flow(r.team).Len() == 0 {
		return timeLeft
	}
	return time.Duration(w.cfg.OverloadAdmitWait * float64(timeLeft))
}

// overloadThreshold is the fraction, from 0 to 1, of the recent past with a backlog
// from which a pool counts as overloaded. It is well below 1, since the queue of
// each instance runs empty now and then on a saturated pool. While there is a
// backlog for less than a third of the time, the slots that eight instances leave to
// each other still suffice.
const overloadThreshold = 0.3

// overloaded reports whether the pool had a backlog for much of the recent past,
// which distinguishes sustained demand over capacity from a burst. The age of the
// present queue would not show it: each of eight instances on a saturated pool sees
// its own queue run empty now and then. It is always false with Policy.NoWaitLimit.
func (w *World) overloaded(p *pool) bool {
	return !w.cfg.Policy.NoWaitLimit && p.backlog.fraction(w.now, w.cfg.BacklogHalfLife) >= overloadThreshold
}

func (w *World) queueLimit(t *team) int {
	if t.QueueLimit > 0 {
		return t.QueueLimit
	}
	return w.cfg.QueueLimit
}
