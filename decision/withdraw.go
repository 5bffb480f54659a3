package decision

import "slices"

// withdraw makes queued work follow what has changed while it waited: a newer
// manifest, a list without its servers, a bad verdict, lost freshness, a log
// outage.
//
// Load: a season's manifest under full queues. Harm prevented: work that starts
// on a version withdrawn or forbidden since it was admitted. It looks at every
// queued request, but only in a tick in which something changed.
func (w *World) withdraw() {
	if !w.fresh {
		w.withdrawStale()
		return
	}
	if !w.recheck {
		return
	}
	w.recheck = false
	for _, r := range w.queuedRequests() {
		w.recheckRequest(r)
	}
}

// withdrawStale refuses queued work once freshness has been gone for the grace:
// it was not run, and another instance can take it.
func (w *World) withdrawStale() {
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
	to := w.resolve(r)
	if to.reason != "" {
		w.conclude(r, to.reason)
		return
	}
	if to.pool == r.pool {
		return
	}
	w.dequeue(r)
	w.assign(r, to)
	w.enqueue(r)
}

// recheckStep gives up an escalation that may not run any more: the answer that
// is held already is whole and was allowed.
func (w *World) recheckEscalation(r *request) {
	if w.mayEscalate(r, r.version) {
		return
	}
	w.deliver(r, r.held)
}

// giveUp ends a queued request: as refused where it truly was not run.
func (w *World) conclude(r *request, reason RefusalReason) {
	switch {
	case r.held != 0:
		w.deliver(r, r.held)
	case r.ran:
		w.fail(r, r.lastResult)
	default:
		w.refuseFor(r, reason)
	}
}

// queuedRequests lists all queued and parked requests in order of their ids.
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
