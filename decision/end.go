package decision

import "time"

// The functions in this file end requests and cancel attempts. A request always
// ends through end, which makes it unknown to later events; this guarantees that at
// most one command ends it.

func (w *World) emit(c Command) { w.out = append(w.out, c) }

func (w *World) deliver(r *request, attempt AttemptID) {
	w.cancelCurrent(r)
	w.emit(Deliver{Request: r.ID, Attempt: attempt})
	w.end(r)
}

// refuse ends a request that provably did not run. One that may have run fails
// instead, whatever the reason.
func (w *World) refuse(r *request, reason RefusalReason, retryAfter time.Duration) {
	if r.mayHaveRun {
		w.fail(r, r.lastResult)
		return
	}
	w.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter})
	w.end(r)
}

// refuseFor refuses with the retry time that fits the reason: 0 if only a different
// manifest or request would help.
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

// cancelCurrent cancels the running attempt, if any. Its slot stays occupied until
// the router reports its end.
func (w *World) cancelCurrent(r *request) {
	if r.current == nil {
		return
	}
	w.emit(CancelAttempt{Request: r.ID, Attempt: r.current.key.attempt})
	w.orphans[r.current.key] = r.current
	r.current = nil
}

// end removes a request from its queue, the timeouts and the requests table. A
// parked request stays in the list of parked ones until unpark drops it.
func (w *World) end(r *request) {
	w.dequeue(r)
	w.clearDue(r)
	delete(w.requests, r.ID)
	r.state = stateEnded
}
