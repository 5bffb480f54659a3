package decision

import "slices"

// recheckQueued re-evaluates queued requests after a change: a newer manifest, a
// new list of servers, a leaving server, a verdict on a version, lost freshness, a
// log outage.
//
// Load: a large manifest change while queues are full. Harm prevented: a request
// starts on a version that was withdrawn or forbidden after its admission. It
// visits every queued request, but only in ticks with a change.
func (w *World) recheckQueued() {
	if !w.fresh {
		w.concludeStale()
		return
	}
	if !w.recheckNeeded {
		return
	}
	w.recheckNeeded = false
	for _, r := range w.queuedRequests() {
		w.recheckRequest(r)
	}
}

// concludeStale ends queued requests once freshness has been lost for longer than
// the grace period: they did not run, and another instance can take them.
func (w *World) concludeStale() {
	if len(w.queuedPools)+len(w.parked) == 0 || w.now.Sub(w.staleSince) < w.cfg.FreshnessGrace {
		return
	}
	for _, r := range w.queuedRequests() {
		w.conclude(r, ReasonNotFresh)
	}
}

func (w *World) recheckRequest(r *request) {
	if w.outage && !r.Idempotent {
		w.conclude(r, ReasonOutage)
		return
	}
	if r.held != 0 {
		w.recheckEscalation(r)
		return
	}
	target := w.resolve(r)
	if target.reason != "" {
		w.conclude(r, target.reason)
		return
	}
	if target.pool == r.pool {
		return
	}
	w.dequeue(r)
	w.assign(r, target)
	w.enqueue(r)
}

// recheckEscalation drops an escalation that is no longer permitted and delivers
// the held answer, which is complete and was permitted when it was generated.
func (w *World) recheckEscalation(r *request) {
	if w.mayEscalate(r, r.version) {
		return
	}
	w.deliver(r, r.held)
}

// conclude ends a request that gets no further attempt: it delivers a held answer,
// fails a request that may have run, and refuses any other with the reason.
func (w *World) conclude(r *request, reason RefusalReason) {
	switch {
	case r.held != 0:
		w.deliver(r, r.held)
	case r.mayHaveRun:
		w.fail(r, r.lastResult)
	default:
		w.refuseFor(r, reason)
	}
}

// queuedRequests returns all queued and parked requests in order of their ids.
func (w *World) queuedRequests() []*request {
	var list []*request
	for _, e := range w.due {
		r := e.request
		if r.state == stateQueued || r.state == stateParked {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
