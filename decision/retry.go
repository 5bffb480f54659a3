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
		r.team.retryBudget.earn(&w.cfg)
		w.handleCompleted(r, e)
	case AttemptNotRun:
		w.handleNotRun(r, e)
	case AttemptCrashed:
		w.handleCrashed(r, e)
	default:
		w.handleMayHaveRun(r, e)
	}
}

// handleCompleted delivers the answer or holds it for its rating.
func (w *World) handleCompleted(r *request, e endedAttempt) {
	if e.attempt.hold {
		w.hold(r, e.attempt)
		return
	}
	w.deliver(r, e.attempt.key.attempt)
}

// handleNotRun retries on another server, idempotent or not, since nothing has run.
// The server that refused is excluded for a short time: one that refuses at once
// looks idle and would attract all requests.
func (w *World) handleNotRun(r *request, e endedAttempt) {
	w.backOff(e.attempt.server, w.now.Add(w.cfg.RefusedBackoff))
	r.tried = append(r.tried, e.attempt.server)
	if int(r.attempts) >= w.cfg.MaxAttempts || e.event.ResponseStarted {
		w.conclude(r, ReasonNoServer)
		return
	}
	if !e.event.Leaving && !r.team.retryBudget.spend(w.now, &w.cfg) {
		w.conclude(r, ReasonRetryBudget)
		return
	}
	w.requeue(r)
}

// handleCrashed treats a request that crashed a server like any other that may have
// run, until it has crashed Config.MaxCrashes servers or is quarantined: after that
// many crashes the request and not the servers is taken for the cause.
func (w *World) handleCrashed(r *request, e endedAttempt) {
	r.crashes++
	w.backOff(e.attempt.server, w.now.Add(w.cfg.RefusedBackoff)) // it is restarting
	if r.crashes < w.cfg.MaxCrashes && !w.isQuarantined(r.Fingerprint) {
		w.handleMayHaveRun(r, e)
		return
	}
	r.mayHaveRun = true
	w.failOrHeld(r, AttemptCrashed)
}

// handleMayHaveRun retries on another server only if the request is idempotent and
// the caller has received no part of the answer.
func (w *World) handleMayHaveRun(r *request, e endedAttempt) {
	r.mayHaveRun = true
	r.tried = append(r.tried, e.attempt.server)
	final := !r.Idempotent || e.event.ResponseStarted || e.event.Result == AttemptCancelled ||
		int(r.attempts) >= w.cfg.MaxAttempts
	if final || !r.team.retryBudget.spend(w.now, &w.cfg) {
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
	target := w.resolve(r)
	if target.reason != "" {
		w.conclude(r, target.reason)
		return
	}
	w.assign(r, target)
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
