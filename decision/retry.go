package decision

// retry handles the ended attempts: it delivers the answer, retries the request on
// another server or ends it.
//
// Load: servers that crash or refuse under load. Harm prevented: a request fails
// although another server could run it, one runs twice although it must not, and
// retries sustain an overload.
func (w *World) retry() {
	for _, e := range w.ended {
		r := e.attempt.request
		if r.state == stateRunning && r.current == nil {
			w.handleEnded(r, e)
		}
	}
}

func (w *World) handleEnded(r *request, e endedAttempt) {
	r.lastResult = e.event.Result
	switch e.event.Result {
	case AttemptCompleted:
		r.team.retries.earn(&w.cfg)
		w.completed(r, e)
	case AttemptNotRun:
		w.notRun(r, e)
	case AttemptCrashed:
		w.crashed(r, e)
	default:
		w.mayHaveRun(r, e)
	}
}

// completed delivers the answer or holds it for its rating.
func (w *World) completed(r *request, e endedAttempt) {
	if e.attempt.hold {
		w.hold(r, e.attempt)
		return
	}
	w.deliver(r, e.attempt.key.attempt)
}

// notRun retries on another server, idempotent or not, since nothing has run. The
// server that refused is excluded for a short time: one that refuses at once looks
// idle and would attract all requests.
func (w *World) notRun(r *request, e endedAttempt) {
	w.backOff(e.attempt.server, w.now.Add(w.cfg.RefusedBackoff))
	r.tried = append(r.tried, e.attempt.server)
	if int(r.attempts) >= w.cfg.MaxAttempts || e.event.ResponseStarted {
		w.conclude(r, ReasonNoServer)
		return
	}
	if !e.event.Leaving && !r.team.retries.spend(w.now, &w.cfg) {
		w.conclude(r, ReasonRetryBudget)
		return
	}
	w.requeue(r)
}

// crashed retries a request that crashed a server until it has crashed
// Config.MaxCrashes servers or is quarantined: a second crash is caused by the
// request and not by the server.
func (w *World) crashed(r *request, e endedAttempt) {
	r.crashes++
	w.backOff(e.attempt.server, w.now.Add(w.cfg.RefusedBackoff)) // it is restarting
	if r.crashes < w.cfg.MaxCrashes && !w.isQuarantined(r.Fingerprint) {
		w.mayHaveRun(r, e)
		return
	}
	r.ran = true
	w.failOrHeld(r, AttemptCrashed)
}

// mayHaveRun retries on another server only if the request is idempotent and the
// caller has received no part of the answer.
func (w *World) mayHaveRun(r *request, e endedAttempt) {
	r.ran = true
	r.tried = append(r.tried, e.attempt.server)
	final := !r.Idempotent || e.event.ResponseStarted || e.event.Result == AttemptCancelled ||
		int(r.attempts) >= w.cfg.MaxAttempts
	if final || !r.team.retries.spend(w.now, &w.cfg) {
		w.failOrHeld(r, e.event.Result)
		return
	}
	w.requeue(r)
}

// requeue queues the request for another attempt, resolved again under the current
// manifest. An escalation keeps its version.
func (w *World) requeue(r *request) {
	if r.held != 0 {
		w.enqueue(r)
		return
	}
	to := w.resolve(r)
	if to.reason != "" {
		w.conclude(r, to.reason)
		return
	}
	w.assign(r, to)
	w.enqueue(r)
}

// failOrHeld delivers the held answer, or fails the request if there is none.
func (w *World) failOrHeld(r *request, result AttemptResult) {
	if r.held != 0 {
		w.deliver(r, r.held)
		return
	}
	w.fail(r, result)
}
