package decision

// retry judges the attempts that ended: deliver, try elsewhere, or end.
//
// Load: servers that die or refuse under load. Harm prevented: a request that is
// lost though another server could run it, one that runs twice though it may
// not, and retries that keep an overload alive.
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

// completed delivers the answer, or holds it for its rating.
func (w *World) completed(r *request, e endedAttempt) {
	if e.attempt.hold {
		w.hold(r, e.attempt)
		return
	}
	w.deliver(r, e.attempt.key.attempt)
}

// notRun tries elsewhere whatever the request is, since nothing has run. The
// server is left alone for a moment: one that refuses at once looks idle and
// would draw all work to itself.
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

// crashed lets a request that took a server down run on one more, then shuts it
// out everywhere: a second crash is the request's doing, not the server's.
func (w *World) crashed(r *request, e endedAttempt) {
	r.crashes++
	w.backOff(e.attempt.server, w.now.Add(w.cfg.RefusedBackoff)) // it starts again
	if r.crashes < w.cfg.MaxCrashes && !w.isQuarantined(r.Fingerprint) {
		w.mayHaveRun(r, e)
		return
	}
	r.ran = true
	w.failOrHeld(r, AttemptCrashed)
}

// mayHaveRun tries elsewhere only what may run twice and of whose answer the
// caller has seen nothing.
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

// again queues the request for another attempt, by the manifest as it is now. An
// escalation keeps its step.
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

// failOrHeld ends the request with the answer that is held, if there is one.
func (w *World) failOrHeld(r *request, result AttemptResult) {
	if r.held != 0 {
		w.deliver(r, r.held)
		return
	}
	w.fail(r, result)
}
