package decision

import "time"

// Each function here ends a request, or stops an attempt, in exactly one way. All
// of them go through end, which takes the request out of every table: that is
// what makes "answered exactly once" hold.

func (w *World) emit(c Command) { w.out = append(w.out, c) }

func (w *World) deliver(r *request, attempt AttemptID) {
	w.cancelCurrent(r)
	w.emit(Deliver{Request: r.ID, Attempt: attempt})
	w.end(r)
}

// refuse ends a request that truly was not run. One that may have run is failed
// instead, whatever asked for the refusal.
func (w *World) refuse(r *request, reason RefusalReason, retryAfter time.Duration) {
	if r.ran {
		w.fail(r, r.lastResult)
		return
	}
	w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter})
	w.end(r)
}

// refuseFor refuses with the time to come back that fits the reason: none where
// only another manifest or another request would help.
func (w *World) refuseFor(r *request, reason RefusalReason) {
	switch reason {
	case ReasonNotAllowed, ReasonUnknownModel, ReasonVersionWithdrawn:
		w.refuse(r, reason, 0)
	case ReasonQuarantined:
		w.refuse(r, reason, w.quarantineLeft(r.Fingerprint))
	default:
		w.refuse(r, reason, w.retryAfter(w.waitFor(r)))
	}
}

func (w *World) fail(r *request, result AttemptResult) {
	w.emit(Fail{Request: r.ID, Result: result})
	w.end(r)
}

// cancelCurrent stops the attempt that runs, if any. Its slot stays taken until
// the router says that it has ended.
func (w *World) cancelCurrent(r *request) {
	if r.current == nil {
		return
	}
	w.emit(CancelAttempt{Request: r.ID, Attempt: r.current.key.attempt})
	w.orphans[r.current.key] = r.current
	r.current = nil
}

// end takes a request out of all tables.
func (w *World) end(r *request) {
	w.dequeue(r)
	w.clearDue(r)
	delete(w.requests, r.ID)
	r.state = stateEnded
}
