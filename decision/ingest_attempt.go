package decision

// endedAttempt is an attempt's end that the retry system has to handle.
type endedAttempt struct {
	attempt *attempt
	event   AttemptEnded
}

// ingestEnded frees the slot at once, so that the same tick can fill it, and
// records the result. The retry system decides how the request continues.
func (w *World) ingestEnded(e AttemptEnded) {
	a := w.attemptOf(attemptKey{e.Request, e.Attempt})
	if a == nil {
		return // already ended, or never dispatched: nothing to free
	}
	w.release(a.server)
	if e.Leaving {
		w.ingestLeaving(a.server.ID)
	}
	w.learnDuration(a, e)
	w.recordServerResult(a, e)
	w.recordVersionResult(a, e)
	w.recordAttemptEnd(a, e.Result)
	if e.Result == AttemptCrashed {
		w.prefixes.Forget(a.server.ID) // the crash lost its cache
	}
	if a.request.current != a {
		delete(w.orphans, a.key)
		return
	}
	a.request.current = nil
	w.ended = append(w.ended, endedAttempt{attempt: a, event: e})
}

// attemptOf returns the attempt with the key if it has not ended, else nil.
func (w *World) attemptOf(key attemptKey) *attempt {
	r := w.requests[key.request]
	if r != nil && r.current != nil && r.current.key == key {
		return r.current
	}
	return w.orphans[key]
}

// release frees a slot of the server.
func (w *World) release(s *server) {
	s.running--
	if s.gone && s.running == 0 {
		delete(w.departed, s.ID)
	}
	w.refreshFree(s)
}

// learnDuration updates the pool's estimate of service times and corrects the
// team's account by the difference between the actual and the estimated cost.
func (w *World) learnDuration(a *attempt, e AttemptEnded) {
	if e.Result == AttemptNotRun {
		a.team.account.CorrectCharge(-a.cost) // it used no capacity
	}
	if e.Result != AttemptCompleted {
		return
	}
	a.pool.serviceTime.learn(w.now.Sub(a.started), a.cost)
	if a.version != "" {
		w.estimates.ObserveLength(task{Team: a.team.ID, Class: a.request.Class}, a.version, e.Tokens)
	}
	if e.Tokens <= 0 || a.pool.service != "" {
		return
	}
	a.pool.serviceTime.learnTokens(float64(e.Tokens), a.cost-a.promptCost)
	actual := a.promptCost + float64(e.Tokens)
	// The correction is bounded, so that a wrong token count at most doubles the
	// charge.
	a.team.account.CorrectCharge(min(actual-a.cost, a.cost))
}

// ingestRated records a rating for its version and queues it for the escalate
// system.
func (w *World) ingestRated(e AnswerRated) {
	if !e.Late {
		w.recordVersionRating(e)
	}
	w.rated = append(w.rated, e)
}
