package passthrough

import (
	"cmp"
	"time"
)

// arrive admits a request: it dispatches it, queues it, or refuses it with a retry-after time.
func (w *World) arrive(in Request) {
	r := &request{Request: in, arrived: w.now, model: noModel}
	r.service, r.urgency = w.serviceOf(in.Service), w.urgencyOf(&in)
	w.requests[r.ID] = r
	r.service.budget.RecordRequest(w.now)
	w.recordLargerWork(r)
	if w.crashes.quarantined(r.Fingerprint, w.now) {
		w.refuse(r, ReasonQuarantined)
		return
	}
	if w.isQuarantined(r) {
		w.refuse(r, ReasonPartQuarantined)
		return
	}
	if !r.Deadline.After(w.now) {
		w.refuse(r, ReasonDeadline)
		return
	}
	if w.exceedsMemory(r) {
		w.refuse(r, ReasonTooLarge)
		return
	}
	if w.outlivesInstance(w.now, r) {
		w.refuse(r, ReasonStopping)
		return
	}
	if reason := w.admissionRefusal(r); reason != "" {
		w.refuse(r, reason)
		return
	}
	if r.service.queue.len == 0 && w.tryDispatch(r) {
		return
	}
	w.enqueue(r)
}

// durationFactor is applied to the mean response time as a safety margin, as many responses take
// longer than the mean.
const durationFactor = 1.3

// admissionRefusal counts the request, and returns the reason for a refusal if there is too little room for its class,
// or "" if it is admitted.
func (w *World) admissionRefusal(r *request) Reason {
	switch {
	case w.cfg.SharedAdmission && !w.admits(r):
		return ReasonNoRoom
	case !w.cfg.SharedAdmission && w.throttled(r):
		return ReasonServersFull
	}
	return ""
}

// throttled counts the request, and reports whether it is refused because its service's servers
// reject too many.
func (w *World) throttled(r *request) bool {
	t := &r.service.throttle
	if r.service.engine {
		return false // engines are chosen by their load
	}
	t.observeDemand(r.Priority, r.Team, w.now)
	return t.refuses(r.Priority, r.Team, w.now, w.rng.Float64())
}

// enqueue queues a request, or refuses it at once.
//
// Load: demand above capacity. Harm prevented: callers who wait for responses that come too late.
// The queue is no longer than what drains within the wait that the request can afford; others are
// refused at once with a retry-after time.
func (w *World) enqueue(r *request) {
	s := r.service
	if reason := w.serverRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	if reason := w.waitRefusal(r); reason != "" {
		w.finishOrRefuse(r, reason)
		return
	}
	r.queued = true
	s.queue.push(r, w.cost(r))
	if w.cfg.SharedAdmission {
		w.markFreed(s) // those before it may wait for more urgent ones elsewhere
	}
}

// waitRefusal returns the reason for a refusal if the request would wait too long in the queue, or
// "" if it would not.
func (w *World) waitRefusal(r *request) Reason {
	if w.holdsDropped(r) {
		return ""
	}
	maxWait := MaxQueueWait(&r.Request, w.now)
	if wait, limited := w.grantWait(r); limited {
		if wait > maxWait {
			return w.grantRefusalReason(r.service)
		}
		return ""
	}
	if w.expectedWait(r) > maxWait {
		return ReasonBusy
	}
	return ""
}

// expectedWait is how long the request would wait in the queue.
func (w *World) expectedWait(r *request) time.Duration {
	wait := r.service.intervals.departures.wait(r.service.queue.ahead(r))
	if w.cfg.SharedAdmission {
		return w.pooledWait(r, wait)
	}
	return wait
}

// serverRefusal returns the reason for a refusal if no server may take the request, now or once it
// has a free slot, or "" if one may.
func (w *World) serverRefusal(r *request) Reason {
	fits := w.versionFilter(r)
	reason := ReasonNoServer
	for _, srv := range r.service.servers {
		switch {
		case !srv.inService() || !fits(srv):
		case srv.backingOff(w.now):
			if reason == ReasonNoServer {
				reason = ReasonBackoff
			}
		case !srv.inSlowStart(w.now) || len(w.holders(srv)) > 0:
			return ""
		default:
			reason = ReasonSlowStart
		}
	}
	return reason
}

// cost returns the request's cost in the teams' fair shares, in units of one generated token.
// Prompt tokens cost less, as they are processed in parallel.
func (w *World) cost(r *request) float64 {
	const promptWeight = 0.1 // of a generated token's cost
	return promptWeight*float64(r.PromptTokens) + float64(r.MaxTokens)
}

// queueWaitExpired refuses a request that has waited for as long as it may, unless a server has
// a free slot by now: load reports of engines expire without an event that would dispatch the
// request earlier.
func (w *World) queueWaitExpired(id RequestID) {
	r := w.requests[id]
	if r == nil || !r.queued || w.holdsDropped(r) {
		return
	}
	r.service.queue.remove(r)
	r.queued = false
	if !w.tryDispatch(r) {
		w.finishOrRefuse(r, cmp.Or(w.serverRefusal(r), ReasonBusy))
	}
}

// cancel removes a request that needs no response any more. The end of its attempt is reported
// separately.
func (w *World) cancel(id RequestID) {
	r := w.requests[id]
	if r == nil {
		return
	}
	w.releaseServer(r)
	w.endResponse(r, false)
	w.remove(r)
}

// remove takes a request out of all tables.
func (w *World) remove(r *request) {
	if r.queued {
		r.service.queue.remove(r)
		r.queued = false
	}
	w.stopWaitingForLarger(r)
	delete(w.requests, r.ID)
}

// releaseServer ends the request's attempt at its server.
func (w *World) releaseServer(r *request) {
	if r.server == nil {
		return
	}
	r.endPrefill()
	r.releasePermit()
	r.server.ownRequests--
	r.releaseTokens()
	w.markFreed(r.service)
	r.server = nil
}

// markFreed notes that a slot may have become free.
func (w *World) markFreed(s *service) {
	if !s.slotFreed && s.queue.len > 0 {
		s.slotFreed = true
		w.freed = append(w.freed, s)
	}
}

// dispatchQueued dispatches queued requests to free slots.
func (w *World) dispatchQueued() {
	for _, s := range w.freed {
		s.slotFreed = false
		for r := s.queue.next(); r != nil; r = s.queue.next() {
			if !w.tryDispatch(r) {
				break
			}
		}
	}
}

// finishOrRefuse ends a request without another attempt: it refuses it if it has not run, else it
// finishes it with the result of its last attempt.
func (w *World) finishOrRefuse(r *request, reason Reason) {
	if !r.mayHaveRun {
		w.refuse(r, reason)
		return
	}
	w.emit(Finish{Request: r.ID, Reason: reason})
	w.remove(r)
}
